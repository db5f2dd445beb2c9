//! Keeps what servers state about themselves in their responses, and their limits.

use std::time::Duration;

use coltsfoothook_decision::id::{ServerName, ServiceName, TimePoint};
use coltsfoothook_decision::statement::{ReportedLimit, StatedValue};
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
        event!(ServerLeavingStated, server = start.server, born = start.incarnation);
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
    if view.backends.apply_statement(start, &statement, served, now) {
        view.limit_changed(start, "answer", now);
        drop(view);
        gateway.loads_changed.notify_one();
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
    /// Applies limits that other VMs reported.
    pub(crate) fn apply_reported_limits(&mut self, limits: &[ReportedLimit], now: TimePoint) {
        for reported in limits {
            if self.backends.apply_reported_limit(reported, now) {
                self.limit_changed(&reported.start, "vm", now);
            }
        }
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

    /// Returns the limits to report to the other VMs, or to the aggregator in a large fleet.
    pub(crate) fn limits_to_report(&mut self, now: TimePoint) -> Vec<ReportedLimit> {
        self.backends.limits_to_report(false, now)
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
