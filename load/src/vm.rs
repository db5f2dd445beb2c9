//! One entry VM of the soak: the decisions of coltsfoothook, wired as in the entry process.
//!
//! The VM turns messages into events of the state machines and their actions into outputs, which
//! the world carries. It keeps nothing between lives.

use coltsfoothook_decision::attempt::AttemptState;
use coltsfoothook_decision::claim::{ClaimSettings, ClaimTable};
use coltsfoothook_decision::config::ConfigFold;
use coltsfoothook_decision::control::{ControlFold, ControlVerdict};
use coltsfoothook_decision::grant::{
    GrantId, GrantRefusal, HeldGrant, ReleaseCall, ReserveCall, SlotGrant,
};
use coltsfoothook_decision::id::{
    AdapterVersion, GroupName, MICROS_PER_MILLI, OwnerEpoch, RequestFingerprint, ServerIncarnation,
    ServerName, TimePoint, VmIdentity, VmName,
};
use coltsfoothook_decision::invariant::InvariantLog;
use coltsfoothook_decision::job::{JobFold, JobRunner, JobSettings};
use coltsfoothook_decision::limit::{RetryBudget, RetrySettings};
use coltsfoothook_decision::manifest::ServerKind;
use coltsfoothook_decision::member::{
    ListedVm, MemberAction, MemberEvent, MemberFacts, MemberPlace, MemberSettings, MemberState,
    MemberTable, ProbeMessage, ProbeReply,
};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, HeldCall, HeldReply, RevokeCall, RevokeReply,
};
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::owner::{
    EngineOrder, GroupOwner, OrderResult, OwnerAction, OwnerEvent, OwnerSettings,
};
use coltsfoothook_decision::record::{ConfigRecord, ControlRecord, JobEntry};
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_decision::route::{EngineGroup, GroupMap};
use coltsfoothook_decision::snapshot::{SnapshotPlan, SnapshotSettings};
use coltsfoothook_decision::takeover::{TakeoverGroup, TakeoverPlan, TakeoverSettings};
use rand::Rng;

use crate::fake::{LogPage, LogRecord, LogStream};

/// Milliseconds between questions for engines' reports.
const REPORT_MS: u64 = 250;
/// Milliseconds between questions for what a VM missed while it cannot read the log.
const CATCH_UP_MS: u64 = 1_000;
/// Bits for the numbers of one life of a VM.
const ID_BITS: u32 = 32;
/// Ticks between reads of the log.
const READ_TICKS: u64 = 2;

/// A safeguard that a run breaks on purpose, to show that the checks would notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenSafeguard {
    /// None.
    None,
    /// A new owner is told that no VM holds anything.
    HeldUnasked,
    /// A claim is taken for won when it is appended.
    ClaimUnread,
    /// A restarted VM runs keys of its earlier life.
    IssuedReused,
    /// An intent is taken for valid when it is appended.
    IntentUnread,
    /// A grant is used however late it comes.
    GrantLate,
    /// A VM uses grants of earlier epochs after it told the new owner what it holds.
    OldEpochUsed,
    /// A resend to another VM runs there without asking the issuer.
    RevokeUnasked,
    /// A new owner does not tell engines that check fencing numbers of its epoch.
    FenceUntold,
}

impl BrokenSafeguard {
    /// All of them, with their names on the command line.
    pub const ALL: [(Self, &'static str); 9] = [
        (Self::None, "none"),
        (Self::HeldUnasked, "held-unasked"),
        (Self::ClaimUnread, "claim-unread"),
        (Self::IssuedReused, "issued-reused"),
        (Self::IntentUnread, "intent-unread"),
        (Self::GrantLate, "grant-late"),
        (Self::OldEpochUsed, "old-epoch-used"),
        (Self::RevokeUnasked, "revoke-unasked"),
        (Self::FenceUntold, "fence-untold"),
    ];
}

impl std::fmt::Display for BrokenSafeguard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = Self::ALL.iter().find(|(known, _)| known == self).map_or("", |(_, name)| name);
        f.write_str(name)
    }
}

impl std::str::FromStr for BrokenSafeguard {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(_, name)| *name == text).map(|(known, _)| *known);
        found.ok_or_else(|| format!("no safeguard is called {text:?}"))
    }
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A probe; the number names the call.
    Probe(u64, ProbeMessage),
    /// The answer to a probe.
    ProbeReply(ProbeReply),
    /// A question for a grant; the number names the question.
    Reserve(u64, ReserveCall),
    /// The answer to it.
    Reserved(u64, Result<SlotGrant, GrantRefusal>),
    /// A grant is given back.
    Release(ReleaseCall),
    /// It was taken back.
    Released(GrantId),
    /// A question for a grant is withdrawn; if it was granted, the grant is void.
    Withdraw(u64, GroupName),
    /// That was heard.
    Withdrawn(u64),
    /// A new owner asks what is held.
    Held(HeldCall),
    /// The answer to it.
    HeldReply(GroupName, OwnerEpoch, HeldReply),
    /// A key is to be revoked; the number names the question.
    Revoke(u64, RevokeCall),
    /// The answer to it.
    Revoked(u64, RevokeReply),
    /// What was missed?
    CatchUp(CatchUpCall),
    /// The answer to it.
    CaughtUp(Box<CatchUpReply>),
}

/// What a VM wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum VmOutput {
    /// Send a message to another VM.
    Peer(VmName, PeerMessage),
    /// Append to the log.
    Append(LogRecord),
    /// Read a stream from an offset.
    Read(LogStream, u64),
    /// Run a request on an engine; the number names the run.
    Run(u64, SlotGrant, RunSubject),
    /// Call the plain service, which must not be called twice for a key.
    Serve(u64, String),
    /// Send an order to an engine.
    Order {
        /// The owner's group.
        group: GroupName,
        /// The owner's epoch.
        epoch: OwnerEpoch,
        /// The order's number.
        number: u64,
        /// The engine and its life.
        server: ServerName,
        /// The engine's life; none for an order to any.
        incarnation: Option<ServerIncarnation>,
        /// The order.
        order: EngineOrder,
    },
    /// Ask an engine for its report.
    Report(GroupName, ServerName),
    /// Answer a caller; the numbers name the request and its try.
    Answer(u64, u64, RequestOutcome),
    /// Tell a caller that its job is accepted.
    JobAccepted(String),
    /// A job's end was read: the job, and the outcome and result.
    JobEnded(String, String),
    /// An accepted configuration came into force.
    InForce,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderEnd {
    /// The engine.
    pub server: ServerName,
    /// The group of the owner that sent it.
    pub group: GroupName,
    /// The owner's epoch.
    pub epoch: OwnerEpoch,
    /// The order's number.
    pub number: u64,
    /// How it ended.
    pub result: OrderResult,
}

/// What runs on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSubject {
    /// The name by which the oracle knows it.
    pub name: String,
    /// The adapter that it must run on.
    pub adapter: AdapterVersion,
    /// Whether it must not run twice.
    pub once: bool,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakRequest {
    /// The world's number for it; a resend has the same.
    pub number: u64,
    /// Which try it is, from 1.
    pub number_of_try: u64,
    /// The name by which the oracle knows it; a resend has the same.
    pub name: String,
    /// What it asks for.
    pub kind: SoakKind,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakKind {
    /// A completion.
    Model {
        /// The adapter.
        adapter: AdapterVersion,
        /// Whether it may run twice.
        repeatable: bool,
    },
    /// A call that must not run twice, under this key.
    Service {
        /// The idempotency key.
        key: String,
        /// Whether the caller sent it nowhere before.
        first_try: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum CallPhase {
    /// Waits for a grant since then.
    Reserving { asked: TimePoint },
    /// Runs under the grant.
    Running { grant: SlotGrant },
    /// Waits for its claim.
    Claiming,
    /// Waits for another VM's word on its key.
    Revoking { asked: TimePoint },
    /// The service runs it.
    Serving,
}

/// A request or job run in progress.
#[derive(Clone, Debug)]
pub(crate) struct OpenCall {
    pub(crate) id: u64,
    pub(crate) request: Option<(u64, u64)>,
    pub(crate) job: Option<JobEntry>,
    pub(crate) subject: RunSubject,
    pub(crate) key: String,
    pub(crate) attempt: AttemptState,
    pub(crate) phase: CallPhase,
    pub(crate) avoid: Vec<ServerName>,
    pub(crate) group: GroupName,
}

/// A run whose caller was answered already, while the engine may still run it.
#[derive(Clone, Debug)]
pub(crate) struct AbandonedRun {
    pub(crate) id: u64,
    pub(crate) grant: SlotGrant,
}

/// A question that its asker gave up, until the owner has heard of it.
#[derive(Clone, Debug)]
pub(crate) struct OpenWithdrawal {
    pub(crate) id: u64,
    pub(crate) group: GroupName,
    pub(crate) sent: Option<TimePoint>,
}

/// A grant that this VM, as owner, gave on another VM's question.
#[derive(Clone, Debug)]
pub(crate) struct GivenGrant {
    pub(crate) asker: VmName,
    pub(crate) question: u64,
    pub(crate) grant: GrantId,
}

#[derive(Clone, Debug)]
pub(crate) struct OpenRelease {
    pub(crate) call: ReleaseCall,
    pub(crate) sent: Option<TimePoint>,
}

/// A group that the VM owns.
pub struct OwnedGroup {
    /// The group.
    pub group: GroupName,
    /// Its owner's state.
    pub owner: GroupOwner,
    /// Engines that check fencing numbers and know this epoch.
    pub fenced: Vec<ServerName>,
}

/// The number of the order that only tells an engine the epoch.
const FENCE_ORDER: u64 = u64::MAX;

/// One life of an entry VM.
pub struct SoakVm {
    /// Who it is.
    pub identity: VmIdentity,
    /// The VMs it knows.
    pub members: MemberTable,
    /// The configuration in force.
    pub config: ConfigFold,
    /// Ownership and orders.
    pub control: ControlFold,
    /// Claims and issued keys.
    pub claims: ClaimTable,
    /// Jobs.
    pub jobs: JobFold,
    /// The checks of owners that are no more.
    pub past: InvariantLog,
    /// The groups it owns.
    pub owners: Vec<OwnedGroup>,
    /// Whether the log answered its last read.
    pub log_up: bool,
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
    pub(crate) given: Vec<GivenGrant>,
    pub(crate) least_epochs: Vec<(GroupName, OwnerEpoch)>,
    pub(crate) tickets: Vec<(u64, VmName, u64, GroupName)>,
    pub(crate) submitting: Vec<JobEntry>,
    pub(crate) reading: [bool; 4],
    pub(crate) reported: TimePoint,
    pub(crate) caught_up: TimePoint,
    pub(crate) next_id: u64,
    pub(crate) ticks: u64,
    pub(crate) foreign_calls: Vec<(u64, VmName)>,
}

/// The settings of the soak's jobs: retention is short there.
fn job_settings() -> JobSettings {
    JobSettings { rewrite_ms: 8_000, result_ms: 3_600_000, ..Default::default() }
}

fn snapshot_settings() -> SnapshotSettings {
    SnapshotSettings { age_ms: 6_000, records: 200, rank_ms: 1_000, repeat_ms: 3_000 }
}

impl SoakVm {
    /// Starts a VM that knows nothing.
    #[must_use]
    pub fn new(
        identity: VmIdentity,
        place: MemberPlace,
        now: TimePoint,
        broken: BrokenSafeguard,
    ) -> Self {
        // Numbers of an earlier life must mean nothing to this one, as with connections that broke.
        let next_id = identity.incarnation.0 << ID_BITS;
        let plan = |stream| SnapshotPlan::new(snapshot_settings(), stream, now);
        Self {
            members: MemberTable::new(MemberSettings::default(), identity.clone(), place),
            config: ConfigFold::default(),
            control: ControlFold::default(),
            claims: ClaimTable::new(ClaimSettings::default(), identity.clone()),
            jobs: JobFold::default(),
            past: InvariantLog::default(),
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
            given: Vec::new(),
            least_epochs: Vec::new(),
            tickets: Vec::new(),
            submitting: Vec::new(),
            reading: [false; 4],
            reported: now,
            caught_up: now,
            next_id,
            ticks: 0,
            foreign_calls: Vec::new(),
            identity,
        }
    }

    /// All checks made in this life.
    #[must_use]
    pub fn invariants(&self) -> InvariantLog {
        let mut log = self.past.clone();
        log.merge(self.config.invariants());
        log.merge(self.control.invariants());
        log.merge(self.claims.invariants());
        log.merge(self.jobs.invariants());
        for owner in &self.owners {
            log.merge(owner.owner.invariants());
        }
        log
    }

    /// Requests in progress.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.iter().filter(|call| call.request.is_some()).count()
    }

    /// Time passes: reads the log, probes, plans.
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
        if self.ticks.is_multiple_of(READ_TICKS) {
            self.read_streams(out);
        }
        self.plan_records(now, out);
        self.plan_jobs(now, rng, out);
        self.tick_calls(now, rng, out);
        self.tick_owners(now, rng, out);
        self.send_releases(now, rng, out);
        self.send_withdrawals(now, rng, out);
        self.ask_catch_up(now, rng, out);
        if let Some(record) = self.claims.batcher().take_due(now) {
            out.push(VmOutput::Append(LogRecord::Claim(record)));
        }
    }

    /// The platform's list was read.
    pub fn listed(
        &mut self,
        now: TimePoint,
        list: Vec<ListedVm>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        self.member(now, MemberEvent::Listed(list), rng, out);
    }

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
                    let at = self.foreign_calls.iter().position(|(known, _)| *known == call);
                    if let Some(at) = at {
                        let (_, from) = self.foreign_calls.swap_remove(at);
                        out.push(VmOutput::Peer(from, PeerMessage::ProbeReply(reply)));
                    }
                }
                MemberAction::Changed(change) => {
                    if change.state == MemberState::Dead {
                        self.drop_tickets(now, &change.vm.vm, rng, out);
                        let event = OwnerEvent::VmGone { vm: change.vm };
                        self.tell_owners(now, &event, rng, out);
                    }
                }
            }
        }
    }

    /// The questions of a VM that is gone are withdrawn, as when its connection breaks.
    fn drop_tickets(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let (gone, kept) =
            std::mem::take(&mut self.tickets).into_iter().partition(|ticket| ticket.1 == *vm);
        self.tickets = kept;
        let gone: Vec<(u64, VmName, u64, GroupName)> = gone;
        for (ticket, _, _, group) in gone {
            let epoch = self.control.epoch(group.as_str());
            self.owner(now, &group, epoch, OwnerEvent::Withdraw { ticket }, rng, out);
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

    /// A read of the log ended; none if it failed.
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
        let Some(page) = page else { return self.log_lost(out) };
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
            self.jobs.caught_up();
        }
        if !end {
            self.reading[stream as usize] = true;
            out.push(VmOutput::Read(stream, self.next_of(stream)));
        }
    }

    /// The log went down: requests that wait for a claim are answered at once.
    fn log_lost(&mut self, out: &mut Vec<VmOutput>) {
        for call in std::mem::take(&mut self.calls) {
            if !matches!(call.phase, CallPhase::Claiming) {
                self.calls.push(call);
                continue;
            }
            let reason = RefusalReason::LogUnavailable;
            let answer = self.claims.give_up(TENANT, &call.key, reason);
            let told = call.request.map(|(request, number_of_try)| {
                VmOutput::Answer(request, number_of_try, answer.outcome)
            });
            out.extend(told);
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
                let rulings = self.control.fold(offset, record);
                self.sync_owners(now, rng, out);
                for ruling in rulings {
                    self.control_ruled(now, ruling.verdict, rng, out);
                }
            }
            LogRecord::Claim(record) => {
                for outcome in self.claims.read_back(offset, record) {
                    self.claim_decided(now, outcome.key.as_str(), outcome.start, out);
                }
            }
            LogRecord::Job(record) => {
                if let Some(ruling) = self.jobs.fold(now, offset, record) {
                    self.runner.note(&ruling);
                    self.job_ruled(ruling.job.as_str(), out);
                }
            }
        }
    }

    fn control_ruled(
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
                return self.tell_owners(now, &event, rng, out);
            }
            ControlVerdict::ServerDrain(server, draining) => {
                let event = OwnerEvent::ServerDraining { server, draining };
                return self.tell_owners(now, &event, rng, out);
            }
            ControlVerdict::Adopted => return self.tell_all_state(now, rng, out),
            _ => return,
        };
        let event = OwnerEvent::IntentRead { number: intent.number, valid };
        self.owner(now, &intent.group, intent.epoch, event, rng, out);
    }

    fn job_ruled(&mut self, job: &str, out: &mut Vec<VmOutput>) {
        let known = self.jobs.row(TENANT, job).is_some_and(|row| row.entry().is_some());
        let waits = self.submitting.iter().position(|entry| entry.job.as_str() == job);
        if let (true, Some(at)) = (known, waits) {
            self.submitting.swap_remove(at);
            out.push(VmOutput::JobAccepted(job.to_owned()));
        }
        // While the stream is replayed, a late result may be read before the one that counts.
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
            self.owner(now, &group, epoch, OwnerEvent::Topology(topology), rng, out);
        }
        self.sync_owners(now, rng, out);
        out.push(VmOutput::InForce);
    }

    /// Begins and ends ownership as the log says.
    fn sync_owners(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        for owned in std::mem::take(&mut self.owners) {
            let in_force = self.control.owner(owned.group.as_str());
            let mine = in_force
                .is_some_and(|now| now.epoch == owned.owner.epoch() && now.owner == self.identity);
            if mine {
                self.owners.push(owned);
            } else {
                self.past.merge(owned.owner.invariants());
                self.refuse_tickets(&owned.group, now, rng, out);
            }
        }
        let groups: Vec<_> = self.groups.groups().to_vec();
        for group in groups {
            let Some(owned) = self.control.owner(group.name.as_str()).cloned() else { continue };
            let known = self.owners.iter().any(|owned| owned.group == group.name);
            if owned.owner != self.identity || known {
                continue;
            }
            let topology = self.groups.topology(&group, self.config.manifest());
            let owner = GroupOwner::new(OwnerSettings::default(), topology, owned.epoch, now);
            self.owners.push(OwnedGroup { group: group.name.clone(), owner, fenced: Vec::new() });
            let intents: Vec<_> = self.control.intents(group.name.as_str()).cloned().collect();
            for intent in intents.into_iter().filter(|intent| intent.epoch < owned.epoch) {
                let event = OwnerEvent::OldIntent { server: intent.server, evict: intent.evict };
                self.owner(now, &group.name, owned.epoch, event, rng, out);
            }
            self.owner(now, &group.name, owned.epoch, self.vm_live(), rng, out);
            self.tell_state(now, &group, owned.epoch, rng, out);
        }
    }

    /// A state that was adopted whole brings no single events; owners are told all that it says.
    fn tell_all_state(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        for group in self.groups.groups().to_vec() {
            let epoch = self.control.epoch(group.name.as_str());
            self.tell_state(now, &group, epoch, rng, out);
        }
    }

    /// Tells a new owner what the control stream said before it took over: it missed those events.
    fn tell_state(
        &mut self,
        now: TimePoint,
        group: &EngineGroup,
        epoch: OwnerEpoch,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        for server in &group.servers {
            let draining = self.control.server_drains(server.as_str());
            let event = OwnerEvent::ServerDraining { server: server.clone(), draining };
            self.owner(now, &group.name, epoch, event, rng, out);
        }
        let event = OwnerEvent::Suspects(self.control.suspects().to_vec());
        self.owner(now, &group.name, epoch, event, rng, out);
    }

    fn refuse_tickets(
        &mut self,
        group: &GroupName,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let of_group = self.tickets.iter().filter(|(_, _, _, other)| other == group);
        let tickets: Vec<u64> = of_group.map(|(ticket, ..)| *ticket).collect();
        for ticket in tickets {
            let refusal = GrantRefusal { reason: RefusalReason::NotOwner, retry_after_ms: 100 };
            self.ticket_done(now, ticket, Err(refusal), rng, out);
        }
    }

    fn vm_live(&self) -> OwnerEvent {
        let region = self.members.own().place().region.as_str();
        let own = std::iter::once(self.identity.vm.clone());
        let others = self.members.others().iter().map(|row| row.identity().vm.clone());
        OwnerEvent::VmLive {
            vms: own.chain(others).collect(),
            majority: self.members.majority(region),
        }
    }

    fn tell_owners(
        &mut self,
        now: TimePoint,
        event: &OwnerEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let owned: Vec<_> =
            self.owners.iter().map(|owned| (owned.group.clone(), owned.owner.epoch())).collect();
        for (group, epoch) in owned {
            self.owner(now, &group, epoch, event.clone(), rng, out);
        }
    }

    pub(crate) fn owner(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        epoch: OwnerEpoch,
        event: OwnerEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let mut actions = Vec::new();
        let found = self.owners.iter_mut().find(|owned| owned.group == *group);
        let Some(owned) = found.filter(|owned| owned.owner.epoch() == epoch) else { return };
        owned.owner.handle(now, event, rng, &mut actions);
        for action in actions {
            self.owner_action(now, group, epoch, action, rng, out);
        }
    }

    fn owner_action(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        epoch: OwnerEpoch,
        action: OwnerAction,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        match action {
            OwnerAction::Grant { ticket, grant } => {
                self.ticket_done(now, ticket, Ok(grant), rng, out)
            }
            OwnerAction::Refuse { ticket, refusal } => {
                self.ticket_done(now, ticket, Err(refusal), rng, out);
            }
            OwnerAction::AppendIntent { number, server, incarnation, evict, load } => {
                let group_name = group.clone();
                let record = ControlRecord::Intent {
                    group: group_name,
                    epoch,
                    number,
                    server,
                    incarnation,
                    evict,
                    load,
                };
                out.push(VmOutput::Append(LogRecord::Control(record)));
                if self.broken == BrokenSafeguard::IntentUnread {
                    let event = OwnerEvent::IntentRead { number, valid: true };
                    self.owner(now, group, epoch, event, rng, out);
                }
            }
            OwnerAction::SendOrder { number, server, incarnation, epoch, order } => {
                let group = group.clone();
                let incarnation = Some(incarnation);
                out.push(VmOutput::Order { group, epoch, number, server, incarnation, order });
            }
            OwnerAction::AskHeld { vms } => self.ask_held(now, group, epoch, vms, rng, out),
            OwnerAction::RecordCrash { server, incarnation, suspects } => {
                let record = ControlRecord::Crash { server, incarnation, suspects };
                out.push(VmOutput::Append(LogRecord::Control(record)));
            }
            OwnerAction::RecordCleared { fingerprint } => {
                out.push(VmOutput::Append(LogRecord::Control(ControlRecord::Cleared {
                    fingerprint,
                })));
            }
            OwnerAction::Note(_) => {}
        }
    }

    fn ask_held(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        epoch: OwnerEpoch,
        vms: Vec<VmName>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        for vm in vms {
            if self.broken == BrokenSafeguard::HeldUnasked {
                let Some(row) = self.members.row(vm.as_str()) else { continue };
                let vm = row.identity().clone();
                let event = OwnerEvent::Held { vm, grants: Vec::new() };
                self.owner(now, group, epoch, event, rng, out);
                continue;
            }
            let call = HeldCall { group: group.clone(), epoch, asker: self.identity.clone() };
            if vm == self.identity.vm {
                let reply = self.held(&call);
                let event = OwnerEvent::Held { vm: reply.vm, grants: reply.grants };
                self.owner(now, group, epoch, event, rng, out);
            } else {
                out.push(VmOutput::Peer(vm, PeerMessage::Held(call)));
            }
        }
    }

    /// Tells what is held, and uses no grant of an earlier epoch from then on.
    pub(crate) fn held(&mut self, call: &HeldCall) -> HeldReply {
        match self.least_epochs.iter_mut().find(|(group, _)| *group == call.group) {
            Some((_, epoch)) => *epoch = call.epoch.max(*epoch),
            None => self.least_epochs.push((call.group.clone(), call.epoch)),
        }
        let running = self.calls.iter().filter_map(|call| match &call.phase {
            CallPhase::Running { grant } => Some((grant, call)),
            _ => None,
        });
        let running = running.map(|(grant, open)| (grant, open.id));
        let abandoned = self.abandoned.iter().map(|run| (&run.grant, run.id));
        let of_group = running.chain(abandoned).filter(|(grant, _)| grant.id.group == call.group);
        let earlier = of_group.filter(|(grant, _)| grant.id.epoch < call.epoch);
        let grants: Vec<HeldGrant> = earlier
            .map(|(grant, id)| HeldGrant {
                grant: grant.id.clone(),
                server: grant.server.clone(),
                slot: grant.slot.clone(),
                fingerprint: RequestFingerprint(id),
            })
            .collect();
        HeldReply { vm: self.identity.clone(), grants }
    }

    pub(crate) fn ticket_done(
        &mut self,
        now: TimePoint,
        ticket: u64,
        answer: Result<SlotGrant, GrantRefusal>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let Some(at) = self.tickets.iter().position(|(known, ..)| *known == ticket) else { return };
        let (_, from, theirs, _) = self.tickets.swap_remove(at);
        if let Ok(grant) = &answer {
            let given =
                GivenGrant { asker: from.clone(), question: theirs, grant: grant.id.clone() };
            self.given.push(given);
        }
        if from == self.identity.vm {
            self.reserved(now, theirs, answer, rng, out);
        } else {
            out.push(VmOutput::Peer(from, PeerMessage::Reserved(theirs, answer)));
        }
    }

    fn tick_owners(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        self.tell_owners(now, &OwnerEvent::LogState { writable: self.log_up }, rng, out);
        let live = self.vm_live();
        self.tell_owners(now, &live, rng, out);
        self.tell_owners(now, &OwnerEvent::Tick, rng, out);
        if now.since(self.reported) < REPORT_MS * MICROS_PER_MILLI {
            return;
        }
        self.reported = now;
        for owned in &self.owners {
            let listed = self.groups.find_group(owned.group.as_str());
            let servers = listed.map(|group| group.servers.clone()).unwrap_or_default();
            for server in servers {
                match self.must_fence(owned, &server) {
                    true => out.push(fence_order(owned, server)),
                    false => out.push(VmOutput::Report(owned.group.clone(), server)),
                }
            }
        }
    }

    /// An engine that checks fencing numbers learns a new epoch only from an order. Until then a
    /// deposed owner that was paused may still evict there, under the requests of the new owner;
    /// so the new owner tells the engine its epoch before it takes any slot over.
    fn must_fence(&self, owned: &OwnedGroup, server: &ServerName) -> bool {
        let entry = self.config.manifest().server(server.as_str());
        let kind = entry.map(|entry| &entry.serves);
        let checks = matches!(kind, Some(ServerKind::Engine(engine)) if engine.checks_fencing);
        let broken = self.broken == BrokenSafeguard::FenceUntold;
        checks && !broken && !owned.fenced.contains(server)
    }

    /// An engine's report came, or none did.
    pub fn report(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        server: ServerName,
        report: Option<EngineReport>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let epoch = self.control.epoch(group.as_str());
        let event = match report {
            Some(report) => OwnerEvent::Report { server, report },
            None => OwnerEvent::ReportFailed { server },
        };
        self.owner(now, group, epoch, event, rng, out);
    }

    /// An order ended.
    pub fn ordered(
        &mut self,
        now: TimePoint,
        end: OrderEnd,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let OrderEnd { server, group, epoch, number, result } = end;
        if number == FENCE_ORDER {
            let owned = self.owners.iter_mut().find(|owned| owned.group == group);
            if let (OrderResult::Done, Some(owned)) = (result, owned) {
                owned.fenced.push(server);
            }
            return;
        }
        self.owner(now, &group, epoch, OwnerEvent::OrderDone { number, result }, rng, out);
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

    fn ask_catch_up(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        let behind = !self.log_up || !self.config.whole() || !self.control.whole();
        if !behind || now.since(self.caught_up) < CATCH_UP_MS * MICROS_PER_MILLI {
            return;
        }
        self.caught_up = now;
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

    pub(crate) fn take_caught_up(
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
            self.tell_all_state(now, rng, out);
        }
    }

    pub(crate) fn catch_up(&self, call: &CatchUpCall) -> CatchUpReply {
        let newer = self.config.version() > call.config;
        let config = if newer { self.config.snapshot() } else { None };
        let control = self.control.snapshot().filter(|state| state.through > call.control_through);
        CatchUpReply { config, control }
    }
}

/// The only tenant of the soak.
pub const TENANT: &str = "wanjiru";

fn fence_order(owned: &OwnedGroup, server: ServerName) -> VmOutput {
    let epoch = owned.owner.epoch();
    VmOutput::Order {
        group: owned.group.clone(),
        epoch,
        number: FENCE_ORDER,
        server,
        incarnation: None,
        order: EngineOrder::Unload { slot: format!("none#{epoch}.0").into() },
    }
}
