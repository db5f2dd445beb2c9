//! Counts what this VM sends to servers that state limits, for the log.

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_telemetry::event;

/// Interval between two log lines about a server, in microseconds.
const LOG_INTERVAL_US: u64 = 1_000_000;
/// Maximum number of servers that are counted until the next lines; further ones are left out.
const MAX_COUNTED: usize = 64;

/// Requests at servers with limits since the last log lines.
#[derive(Debug, Default)]
pub(crate) struct LimitUseList {
    /// Sorted by server.
    uses: Vec<LimitUse>,
    logged_at: TimePoint,
}

#[derive(Debug)]
struct LimitUse {
    start: ServerStart,
    sent: u32,
    closed: u32,
    issued: u32,
    denied: u32,
}

impl LimitUseList {
    /// Counts a request that is sent to a server.
    pub(crate) fn count_sent(&mut self, start: &ServerStart) {
        if let Some(found) = self.of(start) {
            found.sent += 1;
        }
    }

    /// Counts a request that found a server closed.
    pub(crate) fn count_closed(&mut self, start: &ServerStart) {
        if let Some(found) = self.of(start) {
            found.closed += 1;
        }
    }

    /// Counts an answer of this VM as the issuer of a server.
    pub(crate) fn count_reply(&mut self, start: &ServerStart, permits: u32) {
        if let Some(found) = self.of(start) {
            found.issued += permits;
            found.denied += u32::from(permits == 0);
        }
    }

    fn of(&mut self, start: &ServerStart) -> Option<&mut LimitUse> {
        match self.uses.binary_search_by(|known| known.start.cmp(start)) {
            Ok(at) => Some(&mut self.uses[at]),
            Err(_) if self.uses.len() >= MAX_COUNTED => None,
            Err(at) => {
                let start = start.clone();
                let counted = LimitUse { start, sent: 0, closed: 0, issued: 0, denied: 0 };
                self.uses.insert(at, counted);
                Some(&mut self.uses[at])
            }
        }
    }

    /// Logs what was counted, at most once per [`LOG_INTERVAL_US`]. Returns whether it was time to.
    pub(crate) fn log(&mut self, now: TimePoint) -> bool {
        if now.since(self.logged_at) < LOG_INTERVAL_US {
            return false;
        }
        self.logged_at = now;
        for LimitUse { start, sent, closed, issued, denied } in self.uses.drain(..) {
            event!(
                ServerLimitUsed,
                server = start.server,
                born = start.incarnation,
                sent = sent,
                closed = closed,
                issued = issued,
                denied = denied,
            );
        }
        true
    }
}
