//! Permits for requests to servers that state limits or bear few refusals: questions to the issuers, and their answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::{TimePoint, VmName};
use coltsfoothook_decision::issuer::vm_position;
use coltsfoothook_decision::permit::{PermitQuestion, PermitReply};
use coltsfoothook_decision::room::{MAX_UNANSWERED, RoomQuestion, UNUSED_PERMIT_US};
use coltsfoothook_decision::room_issuer::{FIRST_HEARD_US, RoomIssue};
use coltsfoothook_decision::statement::{ReportedStatement, StatementChange};
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_telemetry::event;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::clock;
use crate::message::PeerMessage;
use crate::roster::OwnIssuer;
use crate::state::{Gateway, SystemView};

/// How long a VM that left questions without an answer is passed over, in microseconds.
const SILENT_US: u64 = 2_000_000;
/// How long a VM that has started may know few others, in microseconds.
const NEW_US: u64 = 3_000_000;
/// How long a VM that has started and knows no other one counts them as possible issuers, in microseconds: it
/// finds them by then, as the store names those that order servers.
const ALONE_US: u64 = 10_000_000;
/// Maximum number of VMs of which it is kept where they asked from. Each asks again within half a second.
const MAX_ASKERS: usize = 1_024;

/// What a permit was used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsedPermit {
    /// A request to a server with a limit, or to one without.
    Request,
    /// A place at a server that bears few refusals.
    Place {
        /// When the place is proven, unless the request is refused.
        proven_at: TimePoint,
    },
}

impl UsedPermit {
    /// Returns when its place is proven, if it is one for a place.
    pub(crate) fn proven_at(self) -> Option<TimePoint> {
        match self {
            Self::Request => None,
            Self::Place { proven_at } => Some(proven_at),
        }
    }
}

/// Where the VMs that ask for places are reached: one that has just started may not be known otherwise.
#[derive(Debug, Default)]
pub(crate) struct PlaceAskers {
    /// Sorted by VM.
    askers: Vec<(VmName, SocketAddr)>,
}

impl PlaceAskers {
    fn record(&mut self, vm: &VmName, address: SocketAddr) {
        match self.askers.binary_search_by(|(known, _)| known.cmp(vm)) {
            Ok(at) => self.askers[at].1 = address,
            Err(_) if self.askers.len() >= MAX_ASKERS => self.askers.clear(),
            Err(at) => self.askers.insert(at, (vm.clone(), address)),
        }
    }

    fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        let found = self.askers.binary_search_by(|(known, _)| known.cmp(vm));
        found.ok().map(|at| self.askers[at].1)
    }
}

/// Messages to send, and whether permits of this VM changed.
#[derive(Default)]
struct IssueResult {
    sends: Vec<(PeerMessage, SocketAddr)>,
    is_answered: bool,
    /// Whether some of them are for places.
    has_places: bool,
}

/// Sends the open questions of this VM. Those for servers whose permits it issues itself are
/// answered at once.
pub(crate) fn ask(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut guard = gateway.view();
    let view = &mut *guard;
    view.pass_over_silent(gateway, now);
    let mut result = IssueResult::default();
    let mut questions = view.permits.questions(now);
    questions.extend(view.room_questions(now));
    for mut question in questions {
        let start = &question.start;
        let first = view.first_issuer(gateway, start, now);
        let issuer = match question.room {
            Some(_) => view.place_issuer(gateway, start, now),
            None => first,
        };
        let Some(state) = view.backends.get(start.server.as_str()) else { continue };
        let statement = state.limit_report(now);
        if let Some(address) = issuer {
            if let Some(asked) = &mut question.room {
                // One that knows nothing of the server may ask any VM, which passes it on.
                asked.stands_in = first != issuer && !asked.risk.is_assumed;
            }
            result.sends.push((PeerMessage::PermitQuestion(question, statement), address));
            continue;
        }
        if let Some(asked) = question.room.clone() {
            let issues = view.issue_places(gateway, &question, &asked, now);
            view.deliver(gateway, issues, &mut result, now);
            continue;
        }
        let reply = view.issue(gateway, &question, now);
        result.is_answered |= view.permits.apply(now, &reply);
    }
    drop(guard);
    send_issues(gateway, result);
}

/// Issues permits for places that became free, and drops permits that no request uses.
pub(crate) fn update_places(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut guard = gateway.view();
    let view = &mut *guard;
    view.rooms.expire(now);
    let issues = view.issuer.issue_waiting(now);
    let mut result = IssueResult::default();
    view.deliver(gateway, issues, &mut result, now);
    drop(guard);
    send_issues(gateway, result);
    ask(gateway);
}

fn send_issues(gateway: &Arc<Gateway>, result: IssueResult) {
    if result.is_answered {
        gateway.changed.notify_waiters();
    }
    if result.has_places {
        expire_later(gateway, UNUSED_PERMIT_US);
    }
    for (message, address) in result.sends {
        gateway.peers.send(&message, &[address]);
    }
}

/// Drops what is not used by then, in `after_us` microseconds, and tells the issuers.
pub(crate) fn expire_later(gateway: &Arc<Gateway>, after_us: u64) {
    // Requests may be dropped with the runtime, when there is nothing left to tell.
    let Ok(runtime) = Handle::try_current() else { return };
    let gateway = Arc::clone(gateway);
    runtime.spawn(async move {
        sleep(Duration::from_micros(after_us) + Duration::from_millis(1)).await;
        gateway.view().rooms.expire(clock::now());
        ask(&gateway);
    });
}

/// Answers another VM's question. `statement` is what that VM knows of the limit, which this one
/// may not have been told yet.
pub(crate) fn answer_question(
    gateway: &Arc<Gateway>,
    mut question: PermitQuestion,
    statement: ReportedStatement,
    from: SocketAddr,
) {
    let now = clock::now();
    let mut guard = gateway.view();
    let view = &mut *guard;
    view.apply_reported_statements(std::slice::from_ref(&statement), now);
    let mut result = IssueResult::default();
    if let Some(asked) = question.room.clone() {
        let first = view.place_issuer(gateway, &question.start, now);
        if let Some(first) = first.filter(|first| !asked.stands_in && *first != from) {
            // The asking VM does not know it yet. Two VMs that issue would fill the server twice.
            question.room = Some(RoomQuestion { stands_in: true, via: Some(from), ..asked });
            result.sends.push((PeerMessage::PermitQuestion(question, statement), first));
        } else {
            let issues = view.issue_places(gateway, &question, &asked, now);
            view.askers.record(&asked.vm, asked.via.unwrap_or(from));
            view.deliver(gateway, issues, &mut result, now);
        }
    } else {
        let reply = view.issue(gateway, &question, now);
        result.sends.push((PeerMessage::PermitReply(reply), from));
    }
    drop(guard);
    send_issues(gateway, result);
}

/// Applies the answer of an issuer.
pub(crate) fn apply_reply(gateway: &Arc<Gateway>, reply: &PermitReply) {
    let now = clock::now();
    let mut view = gateway.view();
    if reply.room.is_some_and(|room| room.is_sound) {
        view.record_sound(&reply.start);
        gateway.changed.notify_waiters();
    }
    if reply.room.is_some() {
        let is_applied = view.apply_places(reply, now);
        drop(view);
        if !is_applied {
            gateway.metrics.permits("late", u64::from(reply.permits));
        } else if reply.permits > 0 {
            expire_later(gateway, UNUSED_PERMIT_US);
        }
        return;
    }
    // An earlier release answers questions about places without what goes with them.
    let is_applied = view.permits.apply(now, reply) || view.apply_places(reply, now);
    drop(view);
    if is_applied {
        gateway.changed.notify_waiters();
    } else {
        gateway.metrics.permits("late", u64::from(reply.permits));
    }
}

impl SystemView {
    /// Returns the address of the VM that is asked for places at a server; `None` if it is this one.
    /// VMs that do not answer are passed over: two that issue are bounded by the refusals that each
    /// risks. Nothing else bounds two buckets of one limit. A VM that knows nothing of the server passes
    /// over none: it is the one that it asks which may have to pass another one over.
    fn place_issuer(
        &self,
        gateway: &Gateway,
        start: &ServerStart,
        now: TimePoint,
    ) -> Option<SocketAddr> {
        let state = self.backends.get(start.server.as_str());
        let knows = state.is_some_and(|state| self.backends.knows_service(&state.entry.service));
        let silent = self.silent_issuers.iter().filter(|_| knows);
        let silent: Vec<SocketAddr> = silent.map(|(address, _)| *address).collect();
        let issuer = self.roster.issuer(self.own_issuer(gateway), start, &silent, now);
        // Before this VM has heard any other one it would issue to itself, as all that start with it.
        let is_new = !knows && now.since(gateway.started) < FIRST_HEARD_US;
        issuer
            .or_else(|| self.roster.unheard(gateway.settings.listen.peers, now).filter(|_| is_new))
    }

    /// Returns the address of the VM that issues permits for a server; `None` if it is this one.
    fn first_issuer(
        &self,
        gateway: &Gateway,
        start: &ServerStart,
        now: TimePoint,
    ) -> Option<SocketAddr> {
        self.roster.issuer(self.own_issuer(gateway), start, &[], now)
    }

    fn own_issuer(&self, gateway: &Gateway) -> Option<OwnIssuer> {
        let position = vm_position(&gateway.settings.vm);
        (!gateway.leaving()).then_some(OwnIssuer {
            position,
            eligible: self.domain.eligible,
            incarnation: gateway.incarnation,
        })
    }

    /// Passes over VMs that left several questions about places in a row without an answer.
    fn pass_over_silent(&mut self, gateway: &Gateway, now: TimePoint) {
        self.silent_issuers.retain(|(_, until)| *until > now);
        // A VM that knows few others asks one that passes its questions on, perhaps to an issuer that is gone:
        // that one has to notice it first.
        let is_new = now.since(gateway.started) < NEW_US;
        let count = if is_new { 3 * MAX_UNANSWERED } else { MAX_UNANSWERED };
        let unanswered = self.rooms.take_unanswered(count);
        // All are looked up first: one silent VM that several servers have in common would else make
        // the next one count as silent too, which was never asked.
        let silent = unanswered.into_iter().filter_map(|server| {
            let start = self.backends.get(server.as_str())?.start();
            Some((server, self.place_issuer(gateway, &start, now)?))
        });
        for (server, issuer) in silent.collect::<Vec<_>>() {
            event!(IssuerSilent, server = server, issuer = issuer);
            if !self.silent_issuers.iter().any(|(known, _)| *known == issuer) {
                self.silent_issuers.push((issuer, now.plus(SILENT_US)));
            }
        }
    }

    /// Returns the questions about places that are due.
    fn room_questions(&mut self, now: TimePoint) -> Vec<PermitQuestion> {
        let backends = &self.backends;
        self.rooms.questions(now, |server| {
            let figures = backends.room_figures(server.as_str(), now)?;
            Some((backends.get(server.as_str())?.start(), figures))
        })
    }

    /// Uses a permit for a request to a server. Returns `None` without one.
    pub(crate) fn take_permit(
        &mut self,
        start: &ServerStart,
        ticket: Option<u64>,
        now: TimePoint,
    ) -> Option<UsedPermit> {
        if self.backends.refusals_per_s(start.server.as_str(), now).is_some() {
            let proven_at = self.rooms.take(&start.server, ticket, now)?;
            return Some(UsedPermit::Place { proven_at });
        }
        self.permits.take(now, start).then_some(UsedPermit::Request)
    }

    /// Applies an answer about places, and wakes the requests that may go on. Returns whether it did.
    fn apply_places(&mut self, reply: &PermitReply, now: TimePoint) -> bool {
        let is_applied = self.rooms.apply(reply, now);
        self.wake_tickets(&reply.start.server, now);
        is_applied
    }

    /// Records that another VM knows the servers of a service to bear as many refusals as come.
    fn record_sound(&mut self, start: &ServerStart) {
        let answered = self.backends.record_answered(start.server.as_str());
        let change = StatementChange { answered, ..StatementChange::default() };
        self.statement_changed(start, change, "vm");
    }

    /// Answers a question about a server that bears few refusals.
    fn issue_places(
        &mut self,
        gateway: &Gateway,
        question: &PermitQuestion,
        asked: &RoomQuestion,
        now: TimePoint,
    ) -> Vec<RoomIssue> {
        let start = &question.start;
        let state = self.backends.get(start.server.as_str());
        if asked.risk.is_assumed
            && state.is_some_and(|state| self.backends.refusals_of(state, now).is_none())
        {
            let reply = PermitReply::sound(question);
            return vec![RoomIssue { vm: asked.vm.clone(), reply }];
        }
        if asked.risk.is_assumed && self.roster.has_heard_all(gateway.settings.listen.peers, now) {
            self.issuer.has_heard_all(now);
        }
        self.issuer.set_alone(self.may_be_one_of_some(gateway, now));
        let state = self.backends.get(start.server.as_str());
        let limit = state.and_then(|state| state.limit_per_s());
        if let Some(per_s) = limit.filter(|_| self.first_issuer(gateway, start, now).is_none()) {
            self.issuer.set_limit(now, start, per_s);
        }
        let issues = self.issuer.issue_places(now, question, asked);
        for issue in &issues {
            let result = if issue.reply.permits > 0 { "issued" } else { "queued" };
            let result = if issue.reply.wait_ms > 0 { "denied" } else { result };
            gateway.metrics.permits(result, u64::from(issue.reply.permits.max(1)));
        }
        issues
    }

    /// Returns whether this VM knows no other one, though there may be some, as after a start beside seeds that
    /// are gone.
    pub(crate) fn is_alone(&self, gateway: &Gateway, now: TimePoint) -> bool {
        self.roster.may_have_others(gateway.settings.listen.peers)
            && self.roster.live_count(now) == 0
    }

    /// Returns whether other VMs may issue as well without a word of this one, which has just started.
    fn may_be_one_of_some(&self, gateway: &Gateway, now: TimePoint) -> bool {
        now.since(gateway.started) < ALONE_US && self.is_alone(gateway, now)
    }

    /// Applies the issues for this VM, and adds those for others to the messages.
    fn deliver(
        &mut self,
        gateway: &Gateway,
        issues: Vec<RoomIssue>,
        result: &mut IssueResult,
        now: TimePoint,
    ) {
        for RoomIssue { vm, reply } in issues {
            if vm == gateway.settings.vm {
                result.has_places |= self.apply_places(&reply, now) && reply.permits > 0;
            } else if let Some(address) = self.askers.address(&vm) {
                result.sends.push((PeerMessage::PermitReply(reply), address));
            }
        }
    }

    /// Logs what this VM issued of the rooms of servers.
    pub(crate) fn log_rooms(&mut self, now: TimePoint) {
        for (server, used) in self.issuer.take_room_uses(now) {
            event!(
                ServerRoomUsed,
                server = server,
                size = used.size,
                taken = used.taken,
                unproven = used.unproven,
                credit = used.credit,
                waiting = used.waiting,
                issued = used.issued,
                denied = used.denied,
                refused = used.refused,
            );
        }
    }

    /// Answers a question as the issuer of its server.
    fn issue(
        &mut self,
        gateway: &Gateway,
        question: &PermitQuestion,
        now: TimePoint,
    ) -> PermitReply {
        let start = &question.start;
        let state = self.backends.get(start.server.as_str());
        let current = state.filter(|state| state.entry.incarnation == start.incarnation);
        let limit = current.map(|state| state.limit_per_s());
        if limit == Some(None) {
            // The limit was lifted after the statement that the asking VM knows.
            return PermitReply::issued(question, question.count, true);
        }
        let issues = self.first_issuer(gateway, start, now).is_none();
        if let Some(Some(per_s)) = limit.filter(|_| issues) {
            self.issuer.set_limit(now, start, per_s);
        }
        let reply = self.issuer.issue(now, question);
        self.limit_uses.count_reply(start, reply.permits);
        let result = if reply.permits > 0 { "issued" } else { "denied" };
        gateway.metrics.permits(result, u64::from(reply.permits.max(1)));
        reply
    }

    /// Updates the servers for which this VM issues permits: those with a limit whose issuer it is.
    /// `reachable` and `known` are the numbers of VMs that it reaches and knows.
    pub(crate) fn update_issuer(
        &mut self,
        gateway: &Gateway,
        (reachable, known): (usize, usize),
        now: TimePoint,
    ) {
        self.issuer.set_alone(self.may_be_one_of_some(gateway, now));
        self.issuer.set_reachable(reachable, known);
        self.issuer.set_reachable_rooms(self.vm_count(now), self.roster.known_count() + 1);
        let mut issued = Vec::new();
        for state in self.backends.servers() {
            let Some(per_s) = state.limit_per_s() else { continue };
            let start = state.start();
            if self.first_issuer(gateway, &start, now).is_none() {
                issued.push((start, per_s));
            }
        }
        self.issuer.retain(|start| issued.binary_search_by(|(known, _)| known.cmp(start)).is_ok());
        for (start, per_s) in &issued {
            self.issuer.set_limit(now, start, *per_s);
        }
    }
}
