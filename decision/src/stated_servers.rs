//! What servers stated to one VM, for VMs that do not report statements to each other.
//!
//! Each VM keeps an equal part of a server's limit. docs/LIMITS.md, "Limits of servers", compares
//! this with VMs that report their usage.

use std::time::Duration;

use crate::id::{ServerName, TimePoint};
use crate::limit::FleetLimiter;
use crate::rest::ServerRest;
use crate::statement::{ServerStatement, StatedValue, StatementChange};
use crate::subject::ServerStart;

/// How long a server gets no request after it stated that it leaves. One that has restarted under its
/// name meanwhile is then asked again, with one request at first.
const LEAVING_REST: Duration = Duration::from_secs(30);
/// Incarnation of all servers here: a restarted server states its limit anew, or none.
const INCARNATION: u64 = 0;

/// Statements of the servers of a VM, which are known by name only.
#[derive(Debug, Default)]
pub struct StatedServers {
    /// Sorted by server.
    servers: Vec<StatedServer>,
    limiter: FleetLimiter,
}

#[derive(Debug)]
struct StatedServer {
    server: ServerName,
    limit_per_s: Option<f64>,
    rest: ServerRest,
    /// The rest that follows from its statement that it leaves.
    leaving: ServerRest,
}

impl StatedServers {
    /// Records what a response of a server to this VM, one of `vms`, states about the server.
    /// `served` is false for a refusal or failure, which may leave out what other answers state.
    /// Returns what changed.
    pub fn apply(
        &mut self,
        server: &ServerName,
        statement: &ServerStatement,
        served: bool,
        vms: usize,
        now: TimePoint,
    ) -> StatementChange {
        let stated = self.stated(server);
        let before = stated.limit_per_s;
        match statement.limit_per_s {
            StatedValue::Readable(per_s) => stated.limit_per_s = Some(per_s),
            StatedValue::Absent if served => stated.limit_per_s = None,
            StatedValue::Absent | StatedValue::Unreadable => {}
        }
        let per_s = stated.limit_per_s;
        let was_leaving = !stated.leaving.wait(now).is_zero();
        let leaves = statement.leaving == StatedValue::Readable(true);
        match statement.leaving {
            StatedValue::Readable(true) => stated.leaving.ask(LEAVING_REST, now),
            _ => stated.leaving.served(now),
        }
        match statement.rest {
            _ if served => stated.rest.served(now),
            StatedValue::Readable(rest) => stated.rest.ask(rest, now),
            StatedValue::Absent | StatedValue::Unreadable => {}
        }
        self.limiter.set_server_limit(now, &start(server), per_s, vms);
        StatementChange { limit: before != per_s, leaving: leaves && !was_leaving }
    }

    /// Returns how many requests per second a server takes from all VMs; `None` without a limit.
    #[must_use]
    pub fn limit_per_s(&self, server: &ServerName) -> Option<f64> {
        let at = self.servers.binary_search_by(|stated| stated.server.cmp(server)).ok()?;
        self.servers[at].limit_per_s
    }

    fn stated(&mut self, server: &ServerName) -> &mut StatedServer {
        let found = self.servers.binary_search_by(|stated| stated.server.cmp(server));
        let at = found.unwrap_or_else(|at| {
            let server = server.clone();
            let (rest, leaving) = (ServerRest::default(), ServerRest::default());
            self.servers.insert(at, StatedServer { server, limit_per_s: None, rest, leaving });
            at
        });
        &mut self.servers[at]
    }

    /// Returns whether a server stated that it leaves.
    pub fn is_leaving(&mut self, server: &ServerName, now: TimePoint) -> bool {
        !self.stated(server).leaving.wait(now).is_zero()
    }

    /// Returns the time until a server's rest and its limit allow a request from this VM; zero if
    /// they do now.
    pub fn wait(&mut self, server: &ServerName, now: TimePoint) -> Duration {
        let limit_wait = self.limiter.server_wait(now, server.as_str(), INCARNATION);
        self.stated(server).rest.wait(now).max(limit_wait)
    }

    /// Returns the servers that leave, rest or are at their limits.
    pub fn closed(&mut self, now: TimePoint) -> Vec<ServerName> {
        let names: Vec<ServerName> =
            self.servers.iter().map(|stated| stated.server.clone()).collect();
        let wants_none =
            |server: &ServerName| self.is_leaving(server, now) || !self.wait(server, now).is_zero();
        names.into_iter().filter(wants_none).collect()
    }

    /// Counts a request that is sent to a server. Returns false if it rests or is at its limit.
    pub fn take(&mut self, server: &ServerName, now: TimePoint) -> bool {
        let StatedServer { rest, leaving, .. } = self.stated(server);
        if !rest.wait(now).is_zero() {
            return false;
        }
        rest.sent(now);
        leaving.sent(now);
        self.limiter.admit_server(now, server.as_str(), INCARNATION)
    }
}

fn start(server: &ServerName) -> ServerStart {
    ServerStart { server: server.clone(), incarnation: INCARNATION }
}
