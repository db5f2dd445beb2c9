//! Keeps what servers state about themselves in their responses, and their limits.

use std::time::Duration;

use coltsfoothook_decision::crash::CrashChange;
use coltsfoothook_decision::id::{ServerName, ServiceName, TimePoint};
use coltsfoothook_decision::permit::{PermitState, REPLY_TIMEOUT_US};
use coltsfoothook_decision::statement::{ReportedStatement, StatedValue, StatementChange};
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_platform::read_statement;
use coltsfoothook_telemetry::event;
use http::HeaderMap;

use crate::clock;
use crate::state::{Gateway, SystemView};
use crate::suspects;

/// Shortest time after which a caller that found no place at any server should come back.
const ROOM_RETRY: Duration = Duration::from_millis(300);

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// The server served the request.
    Served,
    /// It failed to.
    Failed,
    /// It did not run it.
    Refused,
}

/// Records the statements in a response of the given incarnation of a server.
pub(crate) fn record(gateway: &Gateway, start: &ServerStart, headers: &HeaderMap, end: AnswerEnd) {
    let (served, refused) = (end == AnswerEnd::Served, end == AnswerEnd::Refused);
    let decoded = read_statement(headers);
    for header in &decoded.unreadable {
        gateway.metrics.statement("unreadable");
        event!(
            StatementUnreadable,
            server = start.server,
            born = start.incarnation,
            header = header
        );
    }
    let statement = decoded.statement;
    if let StatedValue::Readable(_) = statement.refusals_per_s {
        gateway.metrics.statement("brittle");
    }
    if let StatedValue::Readable(_) = statement.limit_per_s {
        gateway.metrics.statement("limit");
    }
    if statement.leaving == StatedValue::Readable(true) {
        gateway.metrics.statement("leaving");
    }
    if let StatedValue::Readable(rest) = statement.rest
        && !served
    {
        gateway.metrics.statement("rest");
        let rest_ms = rest.as_millis();
        event!(
            ServerRestStated,
            server = start.server,
            born = start.incarnation,
            rest_ms = rest_ms
        );
    }
    let now = clock::now();
    let mut cleared = CrashChange::default();
    let mut view = gateway.view();
    if refused && matches!(statement.refusals_per_s, StatedValue::Readable(_)) {
        let figures = view.backends.room_figures(start.server.as_str(), now);
        gateway.metrics.room_refusal(figures.is_some_and(|figures| !figures.is_assumed));
        cleared = view.crashes.record_refusal(start, now);
    }
    let change = view.backends.apply_statement(start, &statement, served, now);
    let is_changed = view.statement_changed(start, change, "answer");
    drop(view);
    suspects::log_change(gateway, &cleared);
    if is_changed {
        gateway.loads_changed.notify_one();
        gateway.changed.notify_waiters();
    }
}

/// Why a server gets no request now, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClosedReason {
    /// The reason of refusals, in logs and metrics.
    pub(crate) name: &'static str,
    /// Time until it may get one.
    pub(crate) wait: Duration,
    /// Time after which a caller that is refused should come back.
    pub(crate) retry_after: Duration,
}

/// The servers of a service that want no request, or few.
#[derive(Debug, Default)]
pub(crate) struct ClosedServers {
    /// Servers that get no request now, as they rest or are at their limit.
    pub(crate) closed: Vec<ServerName>,
    /// Servers for which this VM has no permit and may ask for one.
    pub(crate) pending: Vec<ServerName>,
    /// Those of them where the request would wait for a place.
    pub(crate) rooms: Vec<ServerName>,
    /// Servers for which it has one that other servers' requests should not use.
    pub(crate) scarce: Vec<ServerName>,
    /// Whether there is a permit for the request where it waits for a place.
    pub(crate) granted: bool,
    /// The reason of the closed server that opens first.
    pub(crate) reason: Option<ClosedReason>,
}

impl ClosedServers {
    /// Returns the server at which a request has waited for a place, once there is a permit.
    pub(crate) fn opened(&self, place: Option<(&ServerName, u64)>) -> Option<ServerName> {
        self.granted.then(|| place.map(|(server, _)| server.clone())).flatten()
    }

    /// Returns the server at which a request waits for a place already, while it may go on to.
    pub(crate) fn kept_room(&self, place: Option<(&ServerName, u64)>) -> Option<ServerName> {
        place.map(|(server, _)| server).filter(|server| self.rooms.contains(server)).cloned()
    }

    fn close(&mut self, server: &ServerName, reason: ClosedReason) {
        self.closed.push(server.clone());
        if self.reason.is_none_or(|first| reason.wait < first.wait) {
            self.reason = Some(reason);
        }
    }
}

impl SystemView {
    /// Applies what other VMs reported.
    pub(crate) fn apply_reported_statements(
        &mut self,
        reports: &[ReportedStatement],
        now: TimePoint,
    ) {
        for report in reports {
            let change = self.backends.apply_report(report, now);
            self.statement_changed(&report.start, change, "vm");
        }
    }

    /// Follows a change of what a server stated. Returns whether there was one. `told_by` says
    /// whether an answer or another VM told it.
    pub(crate) fn statement_changed(
        &mut self,
        start: &ServerStart,
        change: StatementChange,
        told_by: &'static str,
    ) -> bool {
        if change.limit {
            self.limit_changed(start, told_by);
        }
        if change.refusals {
            self.refusals_changed(start, told_by);
        }
        if change.leaving {
            // Tells the other VMs with the next report, which follows within milliseconds.
            self.uses_changed = true;
            event!(
                ServerLeavingStated,
                server = start.server,
                born = start.incarnation,
                told_by = told_by
            );
        }
        change != StatementChange::default()
    }

    fn limit_changed(&mut self, start: &ServerStart, told_by: &'static str) {
        let state = self.backends.get(start.server.as_str());
        let per_s = state.and_then(|state| state.limit_per_s());
        self.permits.set_limit(start, per_s);
        self.uses_changed = true;
        event!(
            ServerLimitStated,
            server = start.server,
            born = start.incarnation,
            per_s? = per_s,
            told_by = told_by,
        );
    }

    fn refusals_changed(&mut self, start: &ServerStart, told_by: &'static str) {
        let server = start.server.as_str();
        let service = self.backends.get(server).map(|state| state.entry.service.clone());
        self.uses_changed = true;
        event!(
            ServerRefusalsStated,
            server = start.server,
            born = start.incarnation,
            service? = service,
            per_s? = self.backends.refusals_per_s(server, clock::now()),
            told_by = told_by,
        );
    }

    /// Returns the statements to report to the other VMs, or to the aggregator in a large fleet.
    pub(crate) fn statements_to_report(&mut self, now: TimePoint) -> Vec<ReportedStatement> {
        self.backends.statements_to_report(false, now)
    }

    /// Drops the limits of servers that were removed or have restarted.
    pub(crate) fn drop_server_limits(&mut self) {
        let backends = &self.backends;
        self.permits.retain(|start| {
            backends.is_current_incarnation(start.server.as_str(), start.incarnation)
        });
    }

    /// Returns the servers of a service that want no request, or few, now; without those in
    /// `avoided`. `may_ask` is false for a request that has waited for permits long enough, and
    /// `ticket` is where it waits for a place.
    pub(crate) fn closed_servers(
        &mut self,
        service: &ServiceName,
        avoided: &[ServerName],
        may_ask: bool,
        ticket: Option<(&ServerName, u64)>,
        now: TimePoint,
    ) -> ClosedServers {
        let mut closed = ClosedServers::default();
        for state in self.backends.servers() {
            let server = &state.entry.server;
            if state.entry.service != *service || avoided.contains(server) {
                continue;
            }
            let rest = state.rest_wait(now);
            if !rest.is_zero() {
                let reason = ClosedReason { name: "server_rest", wait: rest, retry_after: rest };
                closed.close(server, reason);
                continue;
            }
            let has_room = self.backends.refusals_of(state, now).is_some();
            if !has_room && state.limit_per_s().is_none() {
                continue;
            }
            let start = state.start();
            let ticket = ticket.filter(|(at, _)| *at == server).map(|(_, number)| number);
            let permit = if has_room {
                self.rooms.state(server, ticket, now)
            } else {
                self.permits.state(now, &start)
            };
            closed.granted |= ticket.is_some() && matches!(permit, PermitState::Held { .. });
            let wait = match permit {
                PermitState::Unlimited | PermitState::Held { ample: true } => continue,
                PermitState::Held { ample: false } => {
                    closed.scarce.push(server.clone());
                    continue;
                }
                PermitState::Pending if may_ask => {
                    closed.pending.push(server.clone());
                    if has_room {
                        closed.rooms.push(server.clone());
                    }
                    continue;
                }
                PermitState::Pending => Duration::from_micros(REPLY_TIMEOUT_US),
                PermitState::Denied { until } => Duration::from_micros(until.since(now)),
            };
            let reason = if has_room {
                let opens = self.rooms.time_until_open(server, now);
                let (wait, retry_after) = (wait.max(opens), opens.max(ROOM_RETRY));
                ClosedReason { name: "no_room", wait, retry_after }
            } else {
                let retry_after = self.permits.retry_after(now, &start);
                ClosedReason { name: "server_limit", wait, retry_after }
            };
            closed.close(server, reason);
            self.limit_uses.count_closed(&start);
        }
        closed
    }
}
