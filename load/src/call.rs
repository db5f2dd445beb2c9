//! Requests and jobs at a soak VM: grants, runs, claims, retries and releases.

use coltsfoothook_decision::attempt::{AttemptNext, AttemptState, CallStage};
use coltsfoothook_decision::claim::{
    ClaimAnswer, ClaimRequest, ClaimStart, ClaimTable, parse_issued,
};
use coltsfoothook_decision::grant::{
    GrantEnd, GrantRefusal, ReleaseCall, RequestSpec, ReserveCall, SlotGrant,
};
use coltsfoothook_decision::id::{
    AdapterVersion, GroupName, MICROS_PER_MILLI, RequestFingerprint, ServiceName, TimePoint,
    VmIdentity, VmName,
};
use coltsfoothook_decision::job::{JobAction, JobEnd};
use coltsfoothook_decision::member::MemberEvent;
use coltsfoothook_decision::message::{RevokeCall, RevokeReply};
use coltsfoothook_decision::outcome::{RefusalReason, RequestClass, RequestOutcome};
use coltsfoothook_decision::owner::OwnerEvent;
use coltsfoothook_decision::record::{JobEntry, JobRecord};
use coltsfoothook_decision::retry::CallDeadline;
use rand::Rng;

use crate::effect::{
    AbandonedRun, CallPhase, OpenCall, OpenRelease, OpenWithdrawal, PeerMessage, RunSubject,
    SoakKind, SoakRequest, VmOutput,
};
use crate::fake::LogRecord;
use crate::safeguard::BrokenSafeguard;
use crate::vm::{SoakVm, TENANT};

/// Timeout of a revocation by another VM, in milliseconds.
const REVOKE_TIMEOUT_MS: u64 = 1_500;
/// Deadline of a request or job run at a VM, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 20_000;
/// Retry interval of releases and withdrawals that are not acknowledged, in milliseconds.
const RELEASE_RETRY_MS: u64 = 500;
/// The only base model of the soak.
pub const MODEL: &str = "base";

/// Returns the service under which retries are counted.
fn retry_target() -> ServiceName {
    ServiceName::from(MODEL)
}

/// The end of a run on an engine, as reported to the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The complete answer was received.
    Done,
    /// The call failed at this stage.
    Failed(CallStage),
}

impl SoakVm {
    /// Handles a caller's request; `wall_ms` is the VM's wall clock.
    pub fn request(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        request: SoakRequest,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let number = (request.number, request.attempt_number);
        match request.kind {
            SoakKind::Model { adapter, repeatable } => {
                let subject = RunSubject { name: request.name, adapter, once: !repeatable };
                let call = self.open(now, Some(number), subject, repeatable);
                self.reserve(now, call, rng, out);
            }
            SoakKind::Service { key, first_try } => {
                self.begin_once(now, wall_ms, number, key, first_try, out);
            }
        }
    }

    /// Handles a job submission, the first or a repeated one. Accepts at once if the job is in the
    /// log.
    pub fn submit(&mut self, entry: JobEntry, out: &mut Vec<VmOutput>) {
        let known =
            self.jobs.row(TENANT, entry.job.as_str()).is_some_and(|row| row.entry().is_some());
        if known {
            out.push(VmOutput::JobAccepted(entry.job.0));
            return;
        }
        if !self.submitting.iter().any(|waiting| waiting.job == entry.job) {
            self.submitting.push(entry.clone());
        }
        out.push(VmOutput::Append(LogRecord::Job(JobRecord::Submitted(entry))));
    }

    fn open(
        &mut self,
        now: TimePoint,
        request: Option<(u64, u64)>,
        subject: RunSubject,
        repeatable: bool,
    ) -> OpenCall {
        self.next_id += 1;
        let deadline = CallDeadline::after(now, Some(REQUEST_TIMEOUT_MS));
        self.budget.first_try(&retry_target(), now);
        OpenCall {
            id: self.next_id,
            request,
            job: None,
            subject,
            key: String::new(),
            attempt: AttemptState::new(repeatable, deadline),
            phase: CallPhase::Reserving { since: now },
            avoid: Vec::new(),
            group: GroupName::default(),
        }
    }

    fn reserve(
        &mut self,
        now: TimePoint,
        mut call: OpenCall,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        call.phase = CallPhase::Reserving { since: now };
        let region = self.members.own().place().region.0.clone();
        let name = call.subject.adapter.adapter.as_str();
        let group = match self.groups.route(name, &region) {
            Ok(routes) => self.groups.group(routes[0]).name.clone(),
            Err(_) => return self.end_call(call, RequestOutcome::NotRun, out),
        };
        let Some(owned) = self.control.owner(group.as_str()).cloned() else {
            return self.fail_call(now, call, CallStage::OwnerLost, rng, out);
        };
        call.group = group.clone();
        let spec = self.spec(now, &call);
        let requester = self.identity.clone();
        let id = call.id;
        self.calls.push(call);
        let message = ReserveCall { requester, group, spec };
        if owned.owner == self.identity {
            self.handle_reserve(now, self.identity.vm.clone(), id, message, rng, out);
        } else {
            out.push(VmOutput::Peer(owned.owner.vm, PeerMessage::Reserve(id, message)));
        }
    }

    fn spec(&self, now: TimePoint, call: &OpenCall) -> RequestSpec {
        RequestSpec {
            id: format!("{}-{}-{}", self.identity.vm, self.identity.incarnation, call.id).into(),
            tenant: TENANT.into(),
            adapter: call.subject.adapter.clone(),
            model: MODEL.into(),
            class: RequestClass::Scheduled,
            deadline_left_ms: call.attempt.deadline.left_ms(now),
            repeatable: call.attempt.repeatable,
            fingerprint: RequestFingerprint(call.id),
            parts: Vec::new(),
            prefix: 0,
            prompt_tokens: 10,
            max_tokens: 10,
            avoid: call.avoid.clone(),
        }
    }

    /// Handles a request for a grant; refuses it if this VM does not own the group.
    pub(crate) fn handle_reserve(
        &mut self,
        now: TimePoint,
        from: VmName,
        remote_id: u64,
        call: ReserveCall,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        self.next_id += 1;
        let ticket = self.next_id;
        let epoch = self.control.epoch(call.group.as_str());
        let owns = self.owners.iter().any(|owned| owned.group == call.group);
        self.tickets.push((ticket, from, remote_id, call.group.clone()));
        if !owns {
            let refusal = GrantRefusal { reason: RefusalReason::NotOwner, retry_after_ms: 100 };
            return self.ticket_done(now, ticket, Err(refusal), rng, out);
        }
        let event = OwnerEvent::Reserve { ticket, requester: call.requester, spec: call.spec };
        self.owner_event(now, &call.group, epoch, event, rng, out);
    }

    /// Handles the reply to a request for a grant.
    pub(crate) fn handle_reserved(
        &mut self,
        now: TimePoint,
        id: u64,
        reply: Result<SlotGrant, GrantRefusal>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let waiting = self
            .calls
            .iter()
            .position(|call| call.id == id && matches!(call.phase, CallPhase::Reserving { .. }));
        let Some(at) = waiting else {
            // The request gave up before; releases the grant, so that its slot does not stay
            // pinned.
            if let Ok(grant) = reply {
                self.release(&grant, GrantEnd::NotRun);
            }
            return;
        };
        let mut call = self.calls.swap_remove(at);
        let grant = match reply {
            Ok(grant) => grant,
            Err(refusal) if refusal.reason == RefusalReason::NotOwner => {
                return self.fail_call(now, call, CallStage::OwnerLost, rng, out);
            }
            Err(_) => return self.fail_call(now, call, CallStage::OwnerRefused, rng, out),
        };
        let CallPhase::Reserving { since } = call.phase else { return };
        if !self.usable(now, since, &grant) {
            self.release(&grant, GrantEnd::NotRun);
            return self.fail_call(now, call, CallStage::GrantVoid, rng, out);
        }
        out.push(VmOutput::Run(call.id, grant.clone(), call.subject.clone()));
        call.phase = CallPhase::Running { grant };
        self.calls.push(call);
    }

    /// Returns whether a grant may be used. The slot of a grant that arrives after its time limit,
    /// as at a VM that was paused, may hold another adapter by then. So may the slot of a grant
    /// from a deposed owner, if this VM reported its held grants to a later owner before.
    fn usable(&self, now: TimePoint, requested: TimePoint, grant: &SlotGrant) -> bool {
        let late = now.since(requested) > grant.use_within_ms * MICROS_PER_MILLI;
        let min_epoch = self.min_epochs.iter().find(|(group, _)| *group == grant.id.group);
        let old = min_epoch.is_some_and(|(_, epoch)| grant.id.epoch < *epoch);
        let late = late && self.broken != BrokenSafeguard::GrantLate;
        let old = old && self.broken != BrokenSafeguard::OldEpochUsed;
        !late && !old
    }

    /// Handles the end of a run on an engine.
    pub fn run_ended(
        &mut self,
        now: TimePoint,
        id: u64,
        end: RunEnd,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        if let Some(at) = self.abandoned.iter().position(|run| run.id == id) {
            let grant = self.abandoned.swap_remove(at).grant;
            return self.release(&grant, GrantEnd::Cancelled);
        }
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        if !matches!(self.calls[at].phase, CallPhase::Running { .. }) {
            return;
        }
        let mut call = self.calls.swap_remove(at);
        let CallPhase::Running { grant } = &call.phase else { return };
        let grant = grant.clone();
        match end {
            RunEnd::Done => {
                self.release(&grant, GrantEnd::Done);
                self.end_call(call, RequestOutcome::Done, out);
            }
            RunEnd::Failed(stage) => {
                let broken = matches!(stage, CallStage::SentNoAnswer | CallStage::SentTimeout);
                let end = match stage {
                    CallStage::SlotMissing => GrantEnd::SlotMissing,
                    CallStage::Connecting => GrantEnd::NotRun,
                    _ if broken => GrantEnd::Broken,
                    _ => GrantEnd::Failed,
                };
                self.release(&grant, end);
                call.avoid.push(grant.server);
                self.fail_call(now, call, stage, rng, out);
            }
        }
    }

    fn fail_call(
        &mut self,
        now: TimePoint,
        mut call: OpenCall,
        stage: CallStage,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        if stage == CallStage::WaitedTooLong {
            self.withdraw(&call);
        }
        let settings = self.budget.settings().clone();
        let take = || self.budget.take(&retry_target(), now).allowed;
        match call.attempt.fail(now, stage, &settings, take) {
            AttemptNext::Again | AttemptNext::Resume => self.reserve(now, call, rng, out),
            AttemptNext::End(outcome) => self.end_call(call, outcome, out),
        }
    }

    /// Withdraws a request for a grant that waited too long. Without the withdrawal, a grant in a
    /// lost reply would keep its slot pinned forever.
    fn withdraw(&mut self, call: &OpenCall) {
        let group = call.group.clone();
        self.withdrawals.push(OpenWithdrawal { id: call.id, group, sent: None });
    }

    /// Sends due withdrawals to the owners in force.
    pub(crate) fn send_withdrawals(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let repeat = RELEASE_RETRY_MS * MICROS_PER_MILLI;
        let mut due = Vec::new();
        for open in &mut self.withdrawals {
            if open.sent.is_none_or(|sent| now.since(sent) >= repeat) {
                open.sent = Some(now);
                due.push((open.id, open.group.clone()));
            }
        }
        for (id, group) in due {
            let owner = self.control.owner(group.as_str()).map(|owned| owned.owner.clone());
            match owner {
                Some(owner) if owner == self.identity => {
                    let own = self.identity.vm.clone();
                    self.handle_withdrawal(now, &own, id, &group, rng, out);
                    self.withdrawals.retain(|open| open.id != id);
                }
                Some(owner) => {
                    out.push(VmOutput::Peer(owner.vm, PeerMessage::Withdraw(id, group)));
                }
                None => {}
            }
        }
    }

    /// Withdraws a pending request for a grant, or releases the grant that was issued for it.
    fn handle_withdrawal(
        &mut self,
        now: TimePoint,
        from: &VmName,
        id: u64,
        group: &GroupName,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let epoch = self.control.epoch(group.as_str());
        let same = |requester: &VmName, request: u64| requester == from && request == id;
        let waiting =
            self.tickets.iter().position(|(_, requester, request, _)| same(requester, *request));
        if let Some(at) = waiting {
            let (ticket, ..) = self.tickets.swap_remove(at);
            self.owner_event(now, group, epoch, OwnerEvent::Withdraw { ticket }, rng, out);
        }
        let issued = self.issued_grants.iter().position(|open| same(&open.requester, open.request));
        if let Some(at) = issued {
            let grant = self.issued_grants.swap_remove(at).grant;
            let identity = self.members.row(from.as_str()).map(|row| row.identity().clone());
            let Some(holder) = identity else { return };
            let call = ReleaseCall { holder, grant, end: GrantEnd::NotRun, tokens: 0 };
            self.owner_event(now, group, epoch, OwnerEvent::Release(call), rng, out);
        }
    }

    fn end_call(&mut self, call: OpenCall, outcome: RequestOutcome, out: &mut Vec<VmOutput>) {
        if let Some(job) = &call.job {
            let result = format!("{outcome:?} by {}", self.identity.vm);
            // A job may run more than once, so it also runs again after an unknown outcome.
            let outcome = match outcome {
                RequestOutcome::Unknown => RequestOutcome::NotRun,
                outcome => outcome,
            };
            self.runner.finish(TENANT, job.job.as_str(), JobEnd { outcome, result });
        }
        if let Some((request, attempt_number)) = call.request {
            out.push(VmOutput::Answer(request, attempt_number, outcome));
        }
    }

    fn release(&mut self, grant: &SlotGrant, end: GrantEnd) {
        let holder = self.identity.clone();
        let call = ReleaseCall { holder, grant: grant.id.clone(), end, tokens: 10 };
        self.releases.push(OpenRelease { call, sent: None });
    }

    /// Sends due releases to the owners in force and repeats them until they are acknowledged. A
    /// lost release would keep the slot pinned forever.
    pub(crate) fn send_releases(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let repeat = RELEASE_RETRY_MS * MICROS_PER_MILLI;
        let mut due = Vec::new();
        for release in &mut self.releases {
            if release.sent.is_none_or(|sent| now.since(sent) >= repeat) {
                release.sent = Some(now);
                due.push(release.call.clone());
            }
        }
        for call in due {
            let Some(owned) = self.control.owner(call.grant.group.as_str()).cloned() else {
                continue;
            };
            if owned.owner == self.identity {
                let grant = call.grant.clone();
                self.issued_grants.retain(|issued| issued.grant != grant);
                self.owner_event(
                    now,
                    &grant.group,
                    owned.epoch,
                    OwnerEvent::Release(call),
                    rng,
                    out,
                );
                self.releases.retain(|open| open.call.grant != grant);
            } else {
                out.push(VmOutput::Peer(owned.owner.vm, PeerMessage::Release(call)));
            }
        }
    }

    /// Ends or retries calls that are past their deadline, or whose key's issuer does not reply in
    /// time.
    pub(crate) fn tick_calls(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        for call in std::mem::take(&mut self.calls) {
            let late = call.attempt.deadline.passed(now);
            match call.phase {
                CallPhase::Reserving { .. } if late => {
                    self.fail_call(now, call, CallStage::WaitedTooLong, rng, out);
                }
                CallPhase::Running { ref grant } if late => {
                    // The engine may still run it: keeps the grant until the run has ended.
                    let abandoned = AbandonedRun { id: call.id, grant: grant.clone() };
                    self.abandoned.push(abandoned);
                    self.fail_call(now, call, CallStage::SentTimeout, rng, out);
                }
                CallPhase::Claiming if late => {
                    let answer =
                        self.claims.give_up(TENANT, &call.key, RefusalReason::DeadlinePassed);
                    self.end_call(call, answer.outcome, out);
                }
                CallPhase::Revoking { since }
                    if now.since(since) > REVOKE_TIMEOUT_MS * MICROS_PER_MILLI =>
                {
                    let answer = ClaimTable::answer_after_revocation(None);
                    self.end_call(call, answer.outcome, out);
                }
                CallPhase::Serving if late => {
                    self.claims.end(TENANT, &call.key, RequestOutcome::Unknown);
                    self.end_call(call, RequestOutcome::Unknown, out);
                }
                _ => self.calls.push(call),
            }
        }
    }

    fn begin_once(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        number: (u64, u64),
        key: String,
        first_try: bool,
        out: &mut Vec<VmOutput>,
    ) {
        let adapter = AdapterVersion { adapter: "service".into(), version: "1".into() };
        let subject = RunSubject { name: key.clone(), adapter, once: true };
        let mut call = self.open(now, Some(number), subject, false);
        call.key = key;
        let claim = ClaimRequest {
            tenant: TENANT,
            key: &call.key,
            fingerprint: RequestFingerprint(1),
            first_try,
            wall_ms,
            log_up: self.log_up,
        };
        let mut start = self.claims.begin(now, &claim);
        if self.breaks_claim(&call.key, &start) {
            start = ClaimStart::Run;
        }
        self.start_once(now, call, start, out);
    }

    /// Returns whether the disabled safeguard lets the call run although its claim does not.
    fn breaks_claim(&self, key: &str, start: &ClaimStart) -> bool {
        let earlier = parse_issued(key).is_some_and(|issued| {
            issued.issuer.vm == self.identity.vm && issued.issuer != self.identity
        });
        match self.broken {
            BrokenSafeguard::ClaimUnread => *start == ClaimStart::Claiming,
            BrokenSafeguard::RevocationSkipped => matches!(start, ClaimStart::RequestRevocation(_)),
            BrokenSafeguard::IssuedReused => earlier,
            _ => false,
        }
    }

    fn start_once(
        &mut self,
        now: TimePoint,
        mut call: OpenCall,
        start: ClaimStart,
        out: &mut Vec<VmOutput>,
    ) {
        match start {
            ClaimStart::Run => {
                out.push(VmOutput::Serve(call.id, call.key.clone()));
                call.phase = CallPhase::Serving;
            }
            ClaimStart::Claiming => call.phase = CallPhase::Claiming,
            ClaimStart::RequestRevocation(vm) => {
                self.send_revoke(&call, &vm, out);
                call.phase = CallPhase::Revoking { since: now };
            }
            ClaimStart::Answer(ClaimAnswer { outcome, .. }) => {
                return self.end_call(call, outcome, out);
            }
        }
        self.calls.push(call);
    }

    fn send_revoke(&self, call: &OpenCall, vm: &VmIdentity, out: &mut Vec<VmOutput>) {
        let message = RevokeCall {
            tenant: TENANT.into(),
            key: call.key.as_str().into(),
            fingerprint: RequestFingerprint(1),
        };
        out.push(VmOutput::Peer(vm.vm.clone(), PeerMessage::Revoke(call.id, message)));
    }

    /// Continues the call that waits for this claim, after it was read back from the log.
    pub(crate) fn claim_decided(
        &mut self,
        now: TimePoint,
        key: &str,
        start: ClaimStart,
        out: &mut Vec<VmOutput>,
    ) {
        let waiting = self
            .calls
            .iter()
            .position(|call| call.key == key && matches!(call.phase, CallPhase::Claiming));
        let Some(at) = waiting else { return };
        let call = self.calls.swap_remove(at);
        self.start_once(now, call, start, out);
    }

    /// Handles the issuer's reply to a revocation, which ends the call.
    pub(crate) fn handle_revoked(&mut self, id: u64, reply: RevokeReply, out: &mut Vec<VmOutput>) {
        let waiting = self
            .calls
            .iter()
            .position(|call| call.id == id && matches!(call.phase, CallPhase::Revoking { .. }));
        let Some(at) = waiting else { return };
        let call = self.calls.swap_remove(at);
        self.end_call(call, ClaimTable::answer_after_revocation(Some(reply)).outcome, out);
    }

    /// Handles the outcome of a call of the plain service.
    pub fn served(&mut self, id: u64, outcome: RequestOutcome, out: &mut Vec<VmOutput>) {
        let waiting = self
            .calls
            .iter()
            .position(|call| call.id == id && matches!(call.phase, CallPhase::Serving));
        let Some(at) = waiting else { return };
        let call = self.calls.swap_remove(at);
        if self.broken == BrokenSafeguard::None {
            self.claims.end(TENANT, &call.key, outcome);
        }
        self.end_call(call, outcome, out);
    }

    /// Appends the job records and starts the job runs that the plan contains. Does nothing while
    /// the log is down.
    pub(crate) fn plan_jobs(&mut self, now: TimePoint, rng: &mut dyn Rng, out: &mut Vec<VmOutput>) {
        if !self.log_up {
            return;
        }
        for action in self.runner.plan(now, &mut self.jobs, &self.members) {
            match action {
                JobAction::Append(record) => out.push(VmOutput::Append(LogRecord::Job(record))),
                JobAction::Run(entry) => {
                    let name = format!("{}/{}", entry.job, self.next_id);
                    let adapter = entry.adapter.clone();
                    let subject = RunSubject { name, adapter, once: false };
                    let mut call = self.open(now, None, subject, true);
                    call.job = Some(entry);
                    self.reserve(now, call, rng, out);
                }
                JobAction::Abort { job, .. } => {
                    for call in &mut self.calls {
                        if call.job.as_ref().is_some_and(|entry| entry.job == job) {
                            call.job = None;
                        }
                    }
                }
            }
        }
    }

    /// Handles a message from another VM.
    pub fn peer(
        &mut self,
        now: TimePoint,
        from: VmName,
        message: PeerMessage,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        match message {
            PeerMessage::Probe(_, message) => {
                self.next_id += 1;
                let call = self.next_id;
                self.inbound_probes.push((call, from));
                self.member(now, MemberEvent::Probe { call, message }, rng, out);
            }
            PeerMessage::ProbeReply(reply) => self.member(now, MemberEvent::Reply(reply), rng, out),
            PeerMessage::Reserve(id, call) => self.handle_reserve(now, from, id, call, rng, out),
            PeerMessage::Reserved(id, reply) => self.handle_reserved(now, id, reply, rng, out),
            PeerMessage::Release(call) => {
                let grant = call.grant.clone();
                self.issued_grants.retain(|issued| issued.grant != grant);
                let epoch = self.control.epoch(grant.group.as_str());
                self.owner_event(now, &grant.group, epoch, OwnerEvent::Release(call), rng, out);
                if self.owners.iter().any(|owned| owned.group == grant.group) {
                    out.push(VmOutput::Peer(from, PeerMessage::Released(grant)));
                }
            }
            PeerMessage::Withdraw(id, group) => {
                self.handle_withdrawal(now, &from, id, &group, rng, out);
                out.push(VmOutput::Peer(from, PeerMessage::Withdrawn(id)));
            }
            PeerMessage::Withdrawn(id) => self.withdrawals.retain(|open| open.id != id),
            PeerMessage::Released(grant) => self.releases.retain(|open| open.call.grant != grant),
            PeerMessage::Held(call) => {
                let reply = self.held_reply(&call);
                let message = PeerMessage::HeldReply(call.group, call.epoch, reply);
                out.push(VmOutput::Peer(from, message));
            }
            PeerMessage::HeldReply(group, epoch, reply) => {
                let event = OwnerEvent::GrantsReported { vm: reply.vm, grants: reply.grants };
                self.owner_event(now, &group, epoch, event, rng, out);
            }
            PeerMessage::Revoke(id, call) => {
                let reply = self.claims.revoke(&call);
                out.push(VmOutput::Peer(from, PeerMessage::Revoked(id, reply)));
            }
            PeerMessage::Revoked(id, reply) => self.handle_revoked(id, reply, out),
            PeerMessage::CatchUp(call) => {
                let reply = self.catch_up_reply(&call);
                out.push(VmOutput::Peer(from, PeerMessage::CaughtUp(Box::new(reply))));
            }
            PeerMessage::CaughtUp(reply) => self.apply_catch_up(now, *reply, rng, out),
        }
    }
}
