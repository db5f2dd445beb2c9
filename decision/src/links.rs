//! Whether a VM has lost its own links to the backend servers.
//!
//! A VM whose links are cut would take all servers for unavailable, while the other VMs still reach
//! them. docs/PLATFORM.md, "A VM that reaches no server", says what it does then.

use crate::id::{ServerName, TimePoint};

/// How long a failure counts, in microseconds.
const FAILURE_US: u64 = 1_500_000;
/// Number of failures, with no server that accepts a connection in between, after which the links are
/// checked. One may be a server's own.
const SUSPICIOUS_FAILURES: usize = 2;
/// Maximum number of failures that are kept.
const MAX_FAILURES: usize = 16;
/// The shortest time between two checks that found a server, in microseconds: several servers may be
/// down for other reasons.
const CHECK_INTERVAL_US: u64 = 1_000_000;

/// State of a VM's links to the backend servers.
#[derive(Debug, Default)]
pub struct ServerLinks {
    /// Servers to which no connection could be opened lately, or that did not answer in time, and when
    /// that was; oldest first.
    failures: Vec<(ServerName, TimePoint)>,
    /// When the last check that found a server began.
    checked_at: Option<TimePoint>,
    checking: bool,
    cut: bool,
}

/// A change of the links' state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// No server can be reached.
    Lost,
    /// A server can be reached again.
    Regained,
}

impl ServerLinks {
    /// Returns whether the VM reaches no server.
    #[must_use]
    pub fn are_cut(&self) -> bool {
        self.cut
    }

    /// Records that a server could not be connected to or did not answer in time. Returns whether the
    /// links should be checked now; the result is then expected in [`Self::checked`].
    pub fn record_failure(&mut self, server: &ServerName, now: TimePoint) -> bool {
        self.failures.retain(|(_, at)| now.since(*at) < FAILURE_US);
        if self.failures.len() >= MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push((server.clone(), now));
        let recent = self.checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL_US);
        let enough = self.failures.len() >= SUSPICIOUS_FAILURES;
        let due = enough && !recent && !self.checking && !self.cut;
        self.checking |= due;
        due
    }

    /// Records that a server accepted a new connection. An answer on an older one shows nothing, since
    /// those may live on while new ones fail.
    pub fn record_connected(&mut self) {
        self.failures.clear();
    }

    /// Returns whether a server failed lately, so that another one shows more in a check.
    #[must_use]
    pub fn has_failed(&self, server: &ServerName) -> bool {
        self.failures.iter().any(|(failed, _)| failed == server)
    }

    /// Applies the result of a check: whether any of several servers accepted a connection.
    pub fn checked(&mut self, reached: bool, now: TimePoint) -> Option<LinkChange> {
        self.checking = false;
        if reached {
            self.failures.clear();
            self.checked_at = Some(now);
        }
        let before = std::mem::replace(&mut self.cut, !reached);
        match (before, self.cut) {
            (false, true) => Some(LinkChange::Lost),
            (true, false) => Some(LinkChange::Regained),
            _ => None,
        }
    }
}
