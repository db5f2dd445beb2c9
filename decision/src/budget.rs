//! Budget for sending requests again.
//!
//! When servers fail, every entry VM would resend its requests and multiply the load on the
//! remaining servers. All VMs together may add a fraction of the requests of a window plus a fixed
//! slack. Each VM keeps a part of that which needs no knowledge of the others, so that the parts of
//! all VMs add up to the whole at any time, also of VMs that have just started, are cut off, or end;
//! docs/LIMITS.md has the proof.

use crate::id::{ServiceName, TimePoint};
use crate::value;

value! {
    /// Bounds on repeats, over all VMs.
    #[derive(Copy)]
    pub struct RepeatBounds {
        /// Repeats allowed per request.
        pub ratio: f64,
        /// Repeats allowed per window in addition, over all VMs.
        pub slack: f64,
        /// Length of the sliding window in microseconds.
        pub window_us: u64,
    }
}

impl Default for RepeatBounds {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 10.0, window_us: 10_000_000 }
    }
}

/// Fraction of the bounds that the VMs use. The rest covers requests and repeats that are on their
/// way for different times.
const USED_FRACTION: f64 = 0.9;
/// Number of buckets that a window is divided into.
const WINDOW_BUCKETS: u64 = 20;

/// What a VM knew when it decided about a repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatDecision {
    /// Whether the request may be sent again; the repeat is then counted.
    pub allowed: bool,
    /// Repeats counted in the time that decided, this one included.
    pub repeats: u32,
    /// Requests whose fraction was available for them.
    pub requests: u32,
    /// The most repeats that this VM could send in that time.
    pub limit: f64,
}

/// Counts of one service in one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct BucketCount {
    bucket: u64,
    requests: u32,
    repeats: u32,
}

#[derive(Debug)]
struct ServiceCounts {
    service: ServiceName,
    /// Sorted by bucket; buckets without counts are left out.
    buckets: Vec<BucketCount>,
}

/// Counts what one VM sent to each service and limits its repeats.
///
/// In any window, a VM sends at most [`RepeatBounds::ratio`] times the mean of its own requests in
/// that window and in the one before, and its share of the slack. Operators compare the repeats of
/// all VMs with the larger of the two, which no mean exceeds.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    bounds: RepeatBounds,
    /// Sorted by service.
    services: Vec<ServiceCounts>,
    /// The slack is not used before. Set when the counts of what was used are dropped.
    slack_from: TimePoint,
}

impl RepeatBudget {
    /// Creates a budget without any counts.
    #[must_use]
    pub fn new(bounds: RepeatBounds) -> Self {
        Self { bounds, services: Vec::new(), slack_from: TimePoint(0) }
    }

    /// Returns the bounds.
    #[must_use]
    pub fn bounds(&self) -> RepeatBounds {
        self.bounds
    }

    /// Replaces the bounds. If they differ, the VM counts anew, as after a restart.
    pub fn set_bounds(&mut self, bounds: RepeatBounds, now: TimePoint) {
        if bounds == self.bounds {
            return;
        }
        let window_us = bounds.window_us.max(self.bounds.window_us);
        *self = Self { bounds, services: Vec::new(), slack_from: now.plus(window_us) };
    }

    /// Counts a request that is sent to `service` for the first time.
    pub fn record_first(&mut self, service: &ServiceName, now: TimePoint) {
        self.count(service, now, |bucket| bucket.requests += 1);
    }

    /// Decides whether this VM may send one more repeat to `service`, and counts it if so. `share`
    /// is the fraction of the slack that no other VM uses.
    pub fn try_repeat(
        &mut self,
        service: &ServiceName,
        share: f64,
        now: TimePoint,
    ) -> RepeatDecision {
        let slack = if now < self.slack_from { 0.0 } else { USED_FRACTION * self.bounds.slack };
        let decision = self.assess(service, share.clamp(0.0, 1.0) * slack, now);
        if decision.allowed {
            self.count(service, now, |bucket| bucket.repeats += 1);
        }
        decision
    }

    /// Checks every window that ends now or later and contains the repeat, and returns the tightest.
    fn assess(&self, service: &ServiceName, slack: f64, now: TimePoint) -> RepeatDecision {
        let found = self.services.binary_search_by(|counts| counts.service.cmp(service));
        let buckets = found.map_or(&[][..], |at| self.services[at].buckets.as_slice());
        let last = self.bucket_at(now);
        let window_from = |start: u64| {
            // A window that starts within a bucket has all of that bucket's repeats at most, and
            // the window before has none of the requests of its own first bucket for certain.
            let repeats = buckets.iter().filter(|count| count.bucket >= start);
            let repeats = repeats.map(|count| count.repeats).sum::<u32>() + 1;
            let requests = buckets.iter().filter(|count| count.bucket + WINDOW_BUCKETS > start);
            let requests: u32 = requests.map(|count| count.requests).sum();
            // Half for each of the two windows.
            let limit = USED_FRACTION * self.bounds.ratio * f64::from(requests) / 2.0 + slack;
            let allowed = f64::from(repeats) <= limit;
            RepeatDecision { allowed, repeats, requests, limit }
        };
        let starts = buckets
            .iter()
            .filter(|count| count.repeats > 0 && count.bucket + WINDOW_BUCKETS >= last)
            .map(|count| count.bucket);
        let reserve = |decision: &RepeatDecision| decision.limit - f64::from(decision.repeats);
        starts
            .map(window_from)
            .chain([window_from(last)])
            .min_by(|left, right| reserve(left).total_cmp(&reserve(right)))
            .expect("there is at least one window")
    }

    fn bucket_at(&self, now: TimePoint) -> u64 {
        now.0 / (self.bounds.window_us / WINDOW_BUCKETS).max(1)
    }

    fn count(&mut self, service: &ServiceName, now: TimePoint, add: impl FnOnce(&mut BucketCount)) {
        let bucket = self.bucket_at(now);
        let at = match self.services.binary_search_by(|counts| counts.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let counts = ServiceCounts { service: service.clone(), buckets: Vec::new() };
                self.services.insert(at, counts);
                at
            }
        };
        let buckets = &mut self.services[at].buckets;
        if buckets.last().is_none_or(|count| count.bucket < bucket) {
            buckets.retain(|count| count.bucket + 2 * WINDOW_BUCKETS >= bucket);
            buckets.push(BucketCount { bucket, ..BucketCount::default() });
        }
        if let Some(last) = buckets.last_mut() {
            add(last);
        }
    }
}
