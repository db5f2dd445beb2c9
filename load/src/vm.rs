//! An entry VM of the soak: the state machines of the `decision` package, connected as in the entry
//! process.
//!
//! The VM turns messages into events of the state machines, and their actions into outputs that the
//! world carries out. It keeps no state across restarts.

use coltsfoothook_decision::claim::{ClaimSettings, ClaimTable};
use coltsfoothook_decision::config::ConfigFold;
use coltsfoothook_decision::control::{ControlFold, ControlVerdict};
use coltsfoothook_decision::id::{
    GroupName, MICROS_PER_MILLI, OwnerEpoch, ServerName, TimePoint, VmIdentity, VmName,
};
use coltsfoothook_decision::invariant::InvariantLog;
use coltsfoothook_decision::job::{JobFold, JobRunner, JobSettings};
use coltsfoothook_decision::member::{
    ListedVm, MemberAction, MemberEvent, MemberFacts, MemberPlace, MemberSettings, MemberState,
    MemberTable,
};
use coltsfoothook_decision::message::{CatchUpCall, CatchUpReply};
use coltsfoothook_decision::outcome::RefusalReason;
use coltsfoothook_decision::owner::{GroupOwner, OwnerEvent};
use coltsfoothook_decision::record::{ConfigRecord, ControlRecord, JobEntry};
use coltsfoothook_decision::retry::{RetryBudget, RetrySettings};
use coltsfoothook_decision::route::GroupMap;
use coltsfoothook_decision::snapshot::{SnapshotPlan, SnapshotSettings};
use coltsfoothook_decision::takeover::{TakeoverGroup, TakeoverPlan, TakeoverSettings};
use rand::Rng;

use crate::effect::{
    AbandonedRun, CallPhase, IssuedGrant, OpenCall, OpenRelease, OpenWithdrawal, PeerMessage,
    VmOutput,
};
use crate::fake::{LogPage, LogRecord, LogStream};
use crate::safeguard::BrokenSafeguard;

/// Interval between catch-up queries of a VM that cannot read the log, in milliseconds.
const CATCH_UP_INTERVAL_MS: u64 = 1_000;
/// Number of low bits of an id that count within an incarnation of a VM.
const ID_BITS: u32 = 32;
/// Ticks between reads of the log.
const READ_INTERVAL_TICKS: u64 = 2;

/// A group that the VM owns, with its owner.
pub struct OwnedGroup {
    /// The name of the group.
    pub group: GroupName,
    /// The owner's state machine.
    pub owner: GroupOwner,
    /// Engines that check fencing numbers and have received this owner's epoch.
    pub fenced: Vec<ServerName>,
}

/// One incarnation of an entry VM.
pub struct SoakVm {
    /// Its name and incarnation.
    pub identity: VmIdentity,
    /// Its view of the other VMs.
    pub members: MemberTable,
    /// The configuration in force.
    pub config: ConfigFold,
    /// Ownership, intents, drains and suspects.
    pub control: ControlFold,
    /// Claims of idempotency keys, and the keys that this VM issued.
    pub claims: ClaimTable,
    /// Audit jobs.
    pub jobs: JobFold,
    /// Invariant checks of owners that ended.
    pub past_invariants: InvariantLog,
    /// The groups that it owns.
    pub owners: Vec<OwnedGroup>,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// The disabled safeguard.
    pub(crate) broken: BrokenSafeguard,
    pub(crate) groups: GroupMap,
    pub(crate) takeover: TakeoverPlan,
    pub(crate) runner: JobRunner,
    pub(crate) snapshots: [SnapshotPlan; 2],
    pub(crate) budget: RetryBudget,
    pub(crate) calls: Vec<OpenCall>,
    pub(crate) releases: Vec<OpenRelease>,
    pub(crate) abandoned: Vec<AbandonedRun>,
    pub(crate) withdrawals: Vec<OpenWithdrawal>,
    /// Grants issued by its owners and not released yet.
    pub(crate) issued_grants: Vec<IssuedGrant>,
    /// The oldest epoch of a group whose grants may be used; a group without an entry has no limit.
    pub(crate) min_epochs: Vec<(GroupName, OwnerEpoch)>,
    /// Requests for grants pending at its owners: ticket, requester, the requester's number, group.
    pub(crate) tickets: Vec<(u64, VmName, u64, GroupName)>,
    /// Jobs whose acceptance has not been read back from the log.
    pub(crate) submitting: Vec<JobEntry>,
    /// Whether a read is in flight, by stream.
    pub(crate) reading: [bool; 4],
    /// When engine reports were requested last.
    pub(crate) reports_requested: TimePoint,
    /// When a catch-up query was sent last.
    pub(crate) catch_up_sent: TimePoint,
    pub(crate) next_id: u64,
    pub(crate) ticks: u64,
    /// Probes from other VMs that are not answered yet: call and sender.
    pub(crate) inbound_probes: Vec<(u64, VmName)>,
}

/// Returns job settings that fit the short retention of the soak's log.
fn job_settings() -> JobSettings {
    JobSettings { rewrite_ms: 8_000, result_ms: 3_600_000, ..Default::default() }
}

fn snapshot_settings() -> SnapshotSettings {
    SnapshotSettings { age_ms: 6_000, records: 200, rank_ms: 1_000, repeat_ms: 3_000 }
}

impl SoakVm {
    /// Creates a VM with empty state.
    #[must_use]
    pub fn new(
        identity: VmIdentity,
        place: MemberPlace,
        now: TimePoint,
        broken: BrokenSafeguard,
    ) -> Self {
        // Ids differ between incarnations, so that replies to an earlier one are ignored.
        let next_id = identity.incarnation.0 << ID_BITS;
        let plan = |stream| SnapshotPlan::new(snapshot_settings(), stream, now);
        Self {
            members: MemberTable::new(MemberSettings::default(), identity.clone(), place),
            config: ConfigFold::default(),
            control: ControlFold::default(),
            claims: ClaimTable::new(ClaimSettings::default(), identity.clone()),
            jobs: JobFold::default(),
            past_invariants: InvariantLog::default(),
            owners: Vec::new(),
            log_up: false,
            broken,
            groups: GroupMap::new(&Default::default()),
            takeover: TakeoverPlan::new(TakeoverSettings::default(), now),
            runner: JobRunner::new(job_settings()),
            snapshots: [plan("config"), plan("control")],
            budget: RetryBudget::new(RetrySettings::default()),
            calls: Vec::new(),
            releases: Vec::new(),
            abandoned: Vec::new(),
            withdrawals: Vec::new(),
            issued_grants: Vec::new(),
            min_epochs: Vec::new(),
            tickets: Vec::new(),
            submitting: Vec::new(),
            reading: [false; 4],
            reports_requested: now,
            catch_up_sent: now,
            next_id,
            ticks: 0,
            inbound_probes: Vec::new(),
            identity,
        }
    }

    /// Returns the invariant checks since the start of this incarnation.
    #[must_use]
    pub fn invariants(&self) -> InvariantLog {
        let mut log = self.past_invariants.clone();
        log.merge(self.config.invariants());
        log.merge(self.control.invariants());
        log.merge(self.claims.invariants());
        log.merge(self.jobs.invariants());
        for owner in &self.owners {
            log.merge(owner.owner.invariants());
        }
        log
    }

    /// Returns the number of callers' requests in progress.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.iter().filter(|call| call.request.is_some()).count()
    }

    /// Does the periodic work: probes, reads of the log, planned records, timeouts and repeats.
    pub fn tick(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        let facts = MemberFacts {
            config: self.config.version(),
            control: self.control.next(),
            reads_log: self.log_up,
            weight: 1,
            usage: Vec::new(),
        };
        self.member(now, MemberEvent::Facts(facts), rng, out);
        self.member(now, MemberEvent::Tick, rng, out);
        self.ticks += 1;
        if self.ticks.is_multiple_of(READ_INTERVAL_TICKS) {
            self.read_streams(out);
        }
        self.plan_records(now, out);
        self.plan_jobs(now, rng, out);
        self.tick_calls(now, rng, out);
        self.tick_owners(now, rng, out);
        self.send_releases(now, rng, out);
        self.send_withdrawals(now, rng, out);
        self.request_catch_up(now, rng, out);
        if let Some(record) = self.claims.batcher().take_due(now) {
            out.push(VmOutput::Append(LogRecord::Claim(record)));
        }
    }

    /// Handles the VM list of the platform.
    pub fn listed(
        &mut self,
        now: TimePoint,
        list: Vec<ListedVm>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        self.member(now, MemberEvent::Listed(list), rng, out);
    }

    /// Sends an event to the member table and carries out its actions.
    pub(crate) fn member(
        &mut self,
        now: TimePoint,
        event: MemberEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let mut actions = Vec::new();
        self.members.handle(now, event, rng, &mut actions);
        for action in actions {
            match action {
                MemberAction::SendProbe { to, message, .. }
                | MemberAction::SendIndirect { via: to, message, .. } => {
                    out.push(VmOutput::Peer(to, PeerMessage::Probe(message.number, message)));
                }
                MemberAction::Reply { call, reply } => {
                    let at = self.inbound_probes.iter().position(|(known, _)| *known == call);
                    if let Some(at) = at {
                        let (_, from) = self.inbound_probes.swap_remove(at);
                        out.push(VmOutput::Peer(from, PeerMessage::ProbeReply(reply)));
                    }
                }
                MemberAction::Changed(change) => {
                    if change.state == MemberState::Dead {
                        self.drop_tickets(now, &change.vm.vm, rng, out);
                        let event = OwnerEvent::VmDead { vm: change.vm };
                        self.notify_owners(now, &event, rng, out);
                    }
                }
            }
        }
    }

    /// Withdraws the pending requests for grants of a dead VM, as when its connection breaks.
    fn drop_tickets(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let (dropped, kept) =
            std::mem::take(&mut self.tickets).into_iter().partition(|ticket| ticket.1 == *vm);
        self.tickets = kept;
        let dropped: Vec<(u64, VmName, u64, GroupName)> = dropped;
        for (ticket, _, _, group) in dropped {
            let epoch = self.control.epoch(group.as_str());
            self.owner_event(now, &group, epoch, OwnerEvent::Withdraw { ticket }, rng, out);
        }
    }

    fn read_streams(&mut self, out: &mut Vec<VmOutput>) {
        for stream in LogStream::ALL {
            if !std::mem::replace(&mut self.reading[stream as usize], true) {
                out.push(VmOutput::Read(stream, self.next_of(stream)));
            }
        }
    }

    fn next_of(&self, stream: LogStream) -> u64 {
        match stream {
            LogStream::Config => self.config.next(),
            LogStream::Control => self.control.next(),
            LogStream::Claims => self.claims.fold().next(),
            LogStream::Jobs => self.jobs.next(),
        }
    }

    /// Handles the end of a read of the log; `page` is `None` if it failed.
    pub fn page(
        &mut self,
        now: TimePoint,
        stream: LogStream,
        page: Option<LogPage>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        self.reading[stream as usize] = false;
        self.log_up = page.is_some();
        let Some(page) = page else { return self.log_unavailable(out) };
        match stream {
            LogStream::Config => self.config.retained_from(page.first),
            LogStream::Control => self.control.retained_from(page.first),
            _ => {}
        }
        let end = page.from + page.records.len() as u64 >= page.end;
        for (offset, record) in (page.from..).zip(page.records) {
            self.fold(now, offset, record, rng, out);
        }
        if stream == LogStream::Jobs && end {
            self.jobs.set_caught_up();
        }
        if !end {
            self.reading[stream as usize] = true;
            out.push(VmOutput::Read(stream, self.next_of(stream)));
        }
    }

    /// Answers the requests that wait for a claim, as the log is unavailable.
    fn log_unavailable(&mut self, out: &mut Vec<VmOutput>) {
        for call in std::mem::take(&mut self.calls) {
            if !matches!(call.phase, CallPhase::Claiming) {
                self.calls.push(call);
                continue;
            }
            let reason = RefusalReason::LogUnavailable;
            let answer = self.claims.give_up(TENANT, &call.key, reason);
            let output = call.request.map(|(request, attempt_number)| {
                VmOutput::Answer(request, attempt_number, answer.outcome)
            });
            out.extend(output);
        }
    }

    fn fold(
        &mut self,
        now: TimePoint,
        offset: u64,
        record: LogRecord,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        match record {
            LogRecord::Config(record) => {
                if let ConfigRecord::Snapshot { through, .. } = &*record {
                    self.snapshots[0].note(now, *through);
                }
                let before = self.config.version();
                self.config.fold(offset, *record);
                if self.config.version() != before {
                    self.config_changed(now, rng, out);
                }
            }
            LogRecord::Control(record) => {
                if let ControlRecord::Snapshot(state) = &record {
                    self.snapshots[1].note(now, state.through);
                }
                let resolutions = self.control.fold(offset, record);
                self.sync_owners(now, rng, out);
                for resolution in resolutions {
                    self.apply_verdict(now, resolution.verdict, rng, out);
                }
            }
            LogRecord::Claim(record) => {
                for outcome in self.claims.read_back(offset, record) {
                    self.claim_decided(now, outcome.key.as_str(), outcome.start, out);
                }
            }
            LogRecord::Job(record) => {
                if let Some(resolution) = self.jobs.fold(now, offset, record) {
                    self.runner.note(&resolution);
                    self.job_resolved(resolution.job.as_str(), out);
                }
            }
        }
    }

    /// Notifies the owners of the verdict on a control record.
    fn apply_verdict(
        &mut self,
        now: TimePoint,
        verdict: ControlVerdict,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let (intent, valid) = match verdict {
            ControlVerdict::IntentValid(intent) => (intent, true),
            ControlVerdict::IntentVoid(intent, _) => (intent, false),
            ControlVerdict::Crashed(_) | ControlVerdict::Cleared(_) => {
                let event = OwnerEvent::Suspects(self.control.suspects().to_vec());
                return self.notify_owners(now, &event, rng, out);
            }
            ControlVerdict::ServerDrain(server, draining) => {
                let event = OwnerEvent::ServerDraining { server, draining };
                return self.notify_owners(now, &event, rng, out);
            }
            ControlVerdict::Adopted => return self.send_all_state(now, rng, out),
            _ => return,
        };
        let event = OwnerEvent::IntentRead { number: intent.number, valid };
        self.owner_event(now, &intent.group, intent.epoch, event, rng, out);
    }

    /// Reports the acceptance of a submitted job and its end, once the job stream contains them.
    fn job_resolved(&mut self, job: &str, out: &mut Vec<VmOutput>) {
        let known = self.jobs.row(TENANT, job).is_some_and(|row| row.entry().is_some());
        let waiting = self.submitting.iter().position(|entry| entry.job.as_str() == job);
        if let (true, Some(at)) = (known, waiting) {
            self.submitting.swap_remove(at);
            out.push(VmOutput::JobAccepted(job.to_owned()));
        }
        // During the replay of the stream, a result that was superseded may be read first.
        let end = self.jobs.row(TENANT, job).and_then(|row| row.end());
        if let (Some(end), true) = (end, self.jobs.is_caught_up()) {
            let end = format!("{:?} {}", end.outcome, end.result);
            out.push(VmOutput::JobEnded(job.to_owned(), end));
        }
    }

    fn config_changed(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        self.groups = GroupMap::new(self.config.manifest());
        let topologies: Vec<_> = self
            .groups
            .groups()
            .iter()
            .map(|group| self.groups.topology(group, self.config.manifest()))
            .collect();
        for topology in topologies {
            let group = topology.group.clone();
            let epoch = self.control.epoch(group.as_str());
            self.owner_event(now, &group, epoch, OwnerEvent::Topology(topology), rng, out);
        }
        self.sync_owners(now, rng, out);
        out.push(VmOutput::InForce);
    }

    fn plan_records(&mut self, now: TimePoint, out: &mut Vec<VmOutput>) {
        if !self.log_up {
            return;
        }
        let groups: Vec<TakeoverGroup> = self
            .groups
            .groups()
            .iter()
            .map(|group| TakeoverGroup { name: group.name.clone(), region: group.region.0.clone() })
            .collect();
        for record in self.takeover.plan(now, &groups, &self.members, &self.control) {
            out.push(VmOutput::Append(LogRecord::Control(record)));
        }
        if self.snapshots[0].due(now, self.config.next(), &self.members) {
            let record = self.config.snapshot().map(Box::new);
            out.extend(record.map(LogRecord::Config).map(VmOutput::Append));
        }
        if self.snapshots[1].due(now, self.control.next(), &self.members) {
            let record =
                self.control.snapshot().map(|state| ControlRecord::Snapshot(Box::new(state)));
            out.extend(record.map(LogRecord::Control).map(VmOutput::Append));
        }
    }

    /// Queries a random live VM for newer state, at an interval, while this VM cannot read the log
    /// or its state is incomplete.
    fn request_catch_up(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        let behind = !self.log_up || !self.config.is_complete() || !self.control.is_complete();
        if !behind || now.since(self.catch_up_sent) < CATCH_UP_INTERVAL_MS * MICROS_PER_MILLI {
            return;
        }
        self.catch_up_sent = now;
        let call =
            CatchUpCall { config: self.config.version(), control_through: self.control.next() };
        let others: Vec<VmName> = self
            .members
            .live()
            .map(|row| row.identity().vm.clone())
            .filter(|vm| *vm != self.identity.vm)
            .collect();
        if others.is_empty() {
            return;
        }
        let at = rand::RngExt::random_range(rng, 0..others.len());
        out.push(VmOutput::Peer(others[at].clone(), PeerMessage::CatchUp(call)));
    }

    /// Adopts the newer state in a catch-up reply.
    pub(crate) fn apply_catch_up(
        &mut self,
        now: TimePoint,
        reply: CatchUpReply,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let adopted = reply.config.and_then(|record| self.config.adopt(record));
        if adopted.is_some() {
            self.config_changed(now, rng, out);
        }
        if reply.control.is_some_and(|state| self.control.adopt(state)) {
            self.sync_owners(now, rng, out);
            self.send_all_state(now, rng, out);
        }
    }

    /// Returns the snapshots that are newer than the state in the query.
    pub(crate) fn catch_up_reply(&self, call: &CatchUpCall) -> CatchUpReply {
        let newer = self.config.version() > call.config;
        let config = if newer { self.config.snapshot() } else { None };
        let control = self.control.snapshot().filter(|state| state.through > call.control_through);
        CatchUpReply { config, control }
    }
}

/// The only tenant of the soak.
pub const TENANT: &str = "wanjiru";
