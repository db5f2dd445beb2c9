//! The bucket of a limit that a server states: how many requests a second it takes from all VMs
//! together.
//!
//! docs/LIMITS.md, "Limits of servers", has the bound.

use std::time::Duration;

use crate::id::TimePoint;
use crate::usage::MICROS_PER_SECOND;

/// Window in which a server counts its requests, in seconds.
const WINDOW_S: f64 = 4.0;
/// What a server may get in a window beyond its limit, as a fraction of the limit.
const EXCESS_FRACTION: f64 = 0.5;
/// What it may get in a window beyond that, in requests.
const EXCESS_REQUESTS: f64 = 5.0;
/// Fraction of the excess that a bucket holds. The rest is for permits that are used late, and for
/// VMs that disagree for a moment on who issues them.
const BURST_FRACTION: f64 = 0.35;
/// Fraction of the excess that all VMs together hold where each keeps a share by itself: nothing
/// is issued late there.
const SHARED_BURST_FRACTION: f64 = 0.8;
/// Shares of the refusals that a server bears, for each of them. A VM whose share is one refusal would
/// send nothing for a second after it.
const REFUSAL_SHARES: f64 = 0.4;
/// Lowest rate that is kept for a server, in requests per second. A server that got none at all
/// could not state that it takes requests again.
const MIN_SERVER_RATE: f64 = 0.25;
/// Longest wait that is told, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// Returns the requests per second that are sent to a server that states `per_s`.
pub(crate) fn kept_rate(per_s: f64) -> f64 {
    per_s.max(MIN_SERVER_RATE)
}

/// Returns what a bucket holds at most for a server that states `per_s`.
pub(crate) fn capacity(per_s: f64) -> f64 {
    BURST_FRACTION * excess(per_s)
}

fn excess(per_s: f64) -> f64 {
    EXCESS_FRACTION * WINDOW_S * kept_rate(per_s) + EXCESS_REQUESTS
}

/// Converts seconds to a wait that callers can be told.
pub(crate) fn wait_of(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.001, MAX_WAIT_S))
}

/// Token bucket that gives whole requests only.
#[derive(Clone, Debug)]
pub(crate) struct ServerBucket {
    /// Requests per second.
    pub(crate) rate: f64,
    pub(crate) capacity: f64,
    /// Negative while what was sent before is repaid.
    pub(crate) level: f64,
    advanced_at: TimePoint,
}

impl ServerBucket {
    pub(crate) fn new(now: TimePoint, rate: f64, capacity: f64, level: f64) -> Self {
        Self { rate, capacity, level, advanced_at: now }
    }

    /// Changes the rate from now on.
    pub(crate) fn set(&mut self, now: TimePoint, rate: f64, capacity: f64) {
        self.advance(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    pub(crate) fn advance(&mut self, now: TimePoint) {
        let age_s = now.since(self.advanced_at) as f64 / MICROS_PER_SECOND;
        self.advanced_at = now;
        self.level = (self.level + self.rate * age_s).min(self.capacity);
    }

    /// Takes a request. Returns false if there is none now.
    pub(crate) fn take(&mut self, now: TimePoint) -> bool {
        self.advance(now);
        let has_one = self.level >= 1.0;
        if has_one {
            self.level -= 1.0;
        }
        has_one
    }

    /// Returns the time until there is a request after `ahead` others; zero if there is one now.
    pub(crate) fn wait(&mut self, now: TimePoint, ahead: f64) -> Duration {
        self.advance(now);
        let missing = 1.0 + ahead - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        wait_of(missing / self.rate.max(f64::MIN_POSITIVE))
    }
}

/// Place of a VM among those that each keep a share of a server's limit by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePlace {
    /// Rank of the VM by hash with the server, 0 for the first.
    pub rank: usize,
    /// Number of known VMs, this one included.
    pub vms: usize,
}

impl SharePlace {
    /// Returns this VM's share of the refusals a second that a server bears; `None` if it has none.
    /// There are no more shares than refusals are risked: each VM with a share may cause one at any
    /// moment.
    pub(crate) fn refusals(self, per_s: f64) -> Option<f64> {
        let shares = self.vms.clamp(1, ((REFUSAL_SHARES * per_s) as usize).max(1));
        (self.rank < shares).then(|| per_s / shares as f64)
    }

    /// Returns this VM's share of a limit as it begins; `None` if it has none. There are no more
    /// shares than the excess has requests: each VM with a share may send one at any moment.
    ///
    /// A new share begins with a part of a request that grows with the rank, so that the first
    /// requests of the VMs are spread over time.
    pub(crate) fn share(self, now: TimePoint, per_s: f64) -> Option<ServerBucket> {
        let burst = SHARED_BURST_FRACTION * excess(per_s);
        let shares = self.vms.clamp(1, burst as usize);
        if self.rank >= shares {
            return None;
        }
        let parts = shares as f64;
        let (rate, capacity) = (kept_rate(per_s) / parts, (burst / parts).max(1.0));
        Some(ServerBucket::new(now, rate, capacity, self.rank as f64 / parts))
    }
}
