//! Limits that servers state: how many requests a second they take from all VMs together.
//!
//! They use the limiter of customers. docs/LIMITS.md, "Limits of servers", says why it fits.

use std::time::Duration;

use crate::bucket::LimitBucket;
use crate::customer::{FleetLimit, LimitMeasure};
use crate::id::TimePoint;
use crate::limit::{FleetLimiter, INITIAL_OVERDRAFT_S, LimitExcess};
use crate::subject::{LimitSubject, ServerStart};

/// What a server may get beyond the limit that it states, over all VMs.
const SERVER_EXCESS: LimitExcess = LimitExcess { window_s: 4.0, part: 0.5, slack: 5.0 };
/// Level of a server's bucket, as a fraction of its capacity, below which its room is scarce.
const SCARCE_FRACTION: f64 = 0.5;
/// Lowest rate that is kept for a server, in requests per second. A server that got none at all
/// could not state that it takes requests again.
const MIN_SERVER_RATE: f64 = 0.25;

/// Methods for the limits of servers, which count requests.
impl FleetLimiter {
    /// Sets the limit that an incarnation of a server states; `None` if it states none any more.
    /// This VM keeps one of `parts` equal parts of it: 1 where VMs report their usage to each other.
    pub fn set_server_limit(
        &mut self,
        now: TimePoint,
        start: &ServerStart,
        per_s: Option<f64>,
        parts: usize,
    ) {
        self.started.get_or_insert(now);
        let found = self.server_index(start.server.as_str(), start.incarnation);
        let Some(per_s) = per_s else {
            if let Ok(at) = found {
                self.buckets.remove(at);
            }
            return;
        };
        let parts = parts.max(1) as f64;
        let per_second = per_s.max(MIN_SERVER_RATE) / parts;
        let limit = FleetLimit { per_second, burst: 0.0, measure: LimitMeasure::Requests };
        let at = found.unwrap_or_else(|at| {
            let subject = LimitSubject::Server(start.clone());
            let overdraft = INITIAL_OVERDRAFT_S * per_second;
            self.buckets.insert(at, LimitBucket::new(now, subject, limit, -overdraft));
            at
        });
        let fraction = self.fraction;
        let bucket = &mut self.buckets[at];
        bucket.advance(now, fraction);
        bucket.limit = limit;
        let excess = LimitExcess { slack: SERVER_EXCESS.slack / parts, ..SERVER_EXCESS };
        bucket.excess = excess.of(&limit);
        bucket.window_s = SERVER_EXCESS.window_s;
        bucket.level = bucket.level.min(bucket.capacity(fraction));
    }

    /// Drops the limits of servers for which `keeps` returns false.
    pub fn retain_servers(&mut self, keeps: impl Fn(&ServerStart) -> bool) {
        self.buckets.retain(|bucket| match &bucket.subject {
            LimitSubject::Customer(_) => true,
            LimitSubject::Server(start) => keeps(start),
        });
    }

    /// Returns how long a server's limit keeps this VM from sending it a request; zero if it may
    /// send one now.
    pub fn server_wait(&mut self, now: TimePoint, server: &str, incarnation: u64) -> Duration {
        let Ok(at) = self.server_index(server, incarnation) else { return Duration::ZERO };
        let view = self.fleet_view(now);
        self.buckets[at].wait(now, view)
    }

    /// Returns whether a server's limit leaves little room, which is then kept for requests that no
    /// other server can take.
    pub fn is_server_scarce(&mut self, now: TimePoint, server: &str, incarnation: u64) -> bool {
        let Ok(at) = self.server_index(server, incarnation) else { return false };
        let fraction = self.fraction;
        let bucket = &mut self.buckets[at];
        bucket.advance(now, fraction);
        bucket.level < SCARCE_FRACTION * bucket.capacity(fraction)
    }

    /// Counts a request to a server. Returns false if its limit does not allow one now.
    pub fn admit_server(&mut self, now: TimePoint, server: &str, incarnation: u64) -> bool {
        let Ok(at) = self.server_index(server, incarnation) else { return true };
        let view = self.fleet_view(now);
        self.buckets[at].admit(now, 1.0, view).is_ok()
    }

    /// Takes back a request that certainly did not reach the server.
    pub fn refund_server(&mut self, now: TimePoint, server: &str, incarnation: u64) {
        let Ok(at) = self.server_index(server, incarnation) else { return };
        let fraction = self.fraction;
        let bucket = &mut self.buckets[at];
        bucket.advance(now, fraction);
        bucket.spend(-1.0);
    }

    fn server_index(&self, server: &str, incarnation: u64) -> Result<usize, usize> {
        self.buckets.binary_search_by(|bucket| bucket.subject.cmp_server(server, incarnation))
    }
}
