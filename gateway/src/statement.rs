//! Keeps what servers state about themselves in their responses, and their limits.

use std::time::Duration;

use coltsfoothook_decision::id::{ServerName, ServiceName, TimePoint};
use coltsfoothook_decision::statement::{ReportedStatement, StatedValue, StatementChange};
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_platform::read_statement;
use coltsfoothook_telemetry::event;
use http::HeaderMap;

use crate::clock;
use crate::state::{Gateway, SystemView};

/// Records the statements in a response of the given incarnation of a server. `served` is false for
/// a refusal.
pub(crate) fn record(gateway: &Gateway, start: &ServerStart, headers: &HeaderMap, served: bool) {
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
    let mut view = gateway.view();
    let change = view.backends.apply_statement(start, &statement, served, now);
    if view.statement_changed(start, change, "answer", now) {
        drop(view);
        gateway.loads_changed.notify_one();
        gateway.changed.notify_waiters();
    }
}

/// The servers of a service whose limits bind.
#[derive(Debug, Default)]
pub(crate) struct LimitedServers {
    /// Servers that get no request now.
    pub(crate) full: Vec<ServerName>,
    /// Servers with little room left.
    pub(crate) scarce: Vec<ServerName>,
    /// Time until the first of the full ones may get a request.
    pub(crate) wait: Option<Duration>,
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
            self.statement_changed(&report.start, change, "vm", now);
        }
    }

    /// Follows a change of what a server stated. Returns whether there was one. `told_by` says
    /// whether an answer or another VM told it.
    fn statement_changed(
        &mut self,
        start: &ServerStart,
        change: StatementChange,
        told_by: &'static str,
        now: TimePoint,
    ) -> bool {
        if change.limit {
            self.limit_changed(start, told_by, now);
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

    fn limit_changed(&mut self, start: &ServerStart, told_by: &'static str, now: TimePoint) {
        let state = self.backends.get(start.server.as_str());
        let per_s = state.and_then(|state| state.limit_per_s());
        self.limiter.set_server_limit(now, start, per_s);
        self.uses_changed = true;
        event!(
            ServerLimitStated,
            server = start.server,
            born = start.incarnation,
            per_s? = per_s,
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
        self.limiter.retain_servers(|start| {
            backends.is_current_incarnation(start.server.as_str(), start.incarnation)
        });
    }

    /// Returns the servers of a service whose limits bind now, without those in `avoided`.
    pub(crate) fn limited_servers(
        &mut self,
        service: &ServiceName,
        avoided: &[ServerName],
        now: TimePoint,
    ) -> LimitedServers {
        let mut limited = LimitedServers::default();
        for state in self.backends.servers() {
            let server = &state.entry.server;
            if state.limit_per_s().is_none()
                || state.entry.service != *service
                || avoided.contains(server)
            {
                continue;
            }
            let (name, incarnation) = (server.as_str(), state.entry.incarnation);
            let wait = self.limiter.server_wait(now, name, incarnation);
            if !wait.is_zero() {
                limited.full.push(server.clone());
                limited.wait = Some(limited.wait.map_or(wait, |least| least.min(wait)));
            } else if self.limiter.is_server_scarce(now, name, incarnation) {
                limited.scarce.push(server.clone());
            }
        }
        limited
    }
}
