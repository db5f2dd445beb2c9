//! What servers stated to one VM, for VMs that do not report statements to each other.
//!
//! Each VM keeps an equal part of a server's limit. docs/LIMITS.md, "Limits of servers", compares
//! this with VMs that report their usage.

use std::time::Duration;

use crate::id::{ServerName, TimePoint};
use crate::limit::FleetLimiter;
use crate::statement::{ServerStatement, StatedValue, StatementChange};
use crate::subject::ServerStart;

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
}

impl StatedServers {
    /// Records what a response of a server to this VM, one of `vms`, states about the server.
    /// `served` is false for a refusal, which may leave out what answers state. Returns what
    /// changed.
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
        self.limiter.set_server_limit(now, &start(server), per_s, vms);
        StatementChange { limit: before != per_s, ..StatementChange::default() }
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
            self.servers.insert(at, StatedServer { server: server.clone(), limit_per_s: None });
            at
        });
        &mut self.servers[at]
    }

    /// Returns the time until a server may get a request from this VM; zero if it may get one now.
    pub fn wait(&mut self, server: &ServerName, now: TimePoint) -> Duration {
        self.limiter.server_wait(now, server.as_str(), INCARNATION)
    }

    /// Returns the servers that may get no request from this VM now.
    pub fn closed(&mut self, now: TimePoint) -> Vec<ServerName> {
        let names: Vec<ServerName> =
            self.servers.iter().map(|stated| stated.server.clone()).collect();
        names.into_iter().filter(|server| !self.wait(server, now).is_zero()).collect()
    }

    /// Counts a request that is sent to a server. Returns false if it may not get one now.
    pub fn take(&mut self, server: &ServerName, now: TimePoint) -> bool {
        self.limiter.admit_server(now, server.as_str(), INCARNATION)
    }
}

/// Incarnation of all servers here: a restarted server states its limit anew, or none.
const INCARNATION: u64 = 0;

fn start(server: &ServerName) -> ServerStart {
    ServerStart { server: server.clone(), incarnation: INCARNATION }
}
