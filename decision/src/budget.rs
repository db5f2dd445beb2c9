//! Budget for sending requests again.
//!
//! When servers fail, every entry VM would resend its requests and multiply the load on the
//! remaining servers. All VMs together may add a fraction of the requests of a window plus a fixed
//! slack. Each VM counts only what it sends itself and uses its part of the slack, so no messages
//! are needed; the part shrinks as more VMs are known, and a reserve covers VMs that are not known
//! yet.

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

/// Fraction of its allowance that a VM uses. The rest covers the offset between the windows of
/// different VMs, and VMs that joined recently.
const USED_FRACTION: f64 = 0.8;
/// Number of buckets that a window is divided into; the oldest bucket expires as a whole.
const WINDOW_BUCKETS: u64 = 10;

/// Counts of one service in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct BucketCount {
    bucket: u64,
    requests: u32,
    repeats: u32,
}

#[derive(Debug)]
struct ServiceCounts {
    service: ServiceName,
    buckets: Vec<BucketCount>,
}

/// Counts what one VM sent to each service in the last window and limits its repeats.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    bounds: RepeatBounds,
    /// Sorted by service.
    services: Vec<ServiceCounts>,
}

impl RepeatBudget {
    /// Creates a budget without any counts.
    #[must_use]
    pub fn new(bounds: RepeatBounds) -> Self {
        Self { bounds, services: Vec::new() }
    }

    /// Replaces the bounds; counts are kept.
    pub fn set_bounds(&mut self, bounds: RepeatBounds) {
        self.bounds = bounds;
    }

    /// Counts a request that is sent to `service` for the first time.
    pub fn record_first(&mut self, service: &ServiceName, now: TimePoint) {
        self.bucket(service, now).requests += 1;
    }

    /// Returns whether this VM, one of `vms`, may send one more repeat to `service`, and counts it
    /// if so.
    pub fn try_repeat(&mut self, service: &ServiceName, vms: usize, now: TimePoint) -> bool {
        let bounds = self.bounds;
        self.bucket(service, now);
        let at = self.services.binary_search_by(|counts| counts.service.cmp(service));
        let Ok(at) = at else { return false };
        let buckets = &mut self.services[at].buckets;
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        let slack = bounds.slack / vms.max(1) as f64;
        let allowed = USED_FRACTION * (bounds.ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        if let Some(bucket) = buckets.last_mut() {
            bucket.repeats += 1;
        }
        true
    }

    fn bucket(&mut self, service: &ServiceName, now: TimePoint) -> &mut BucketCount {
        let bucket = now.0 / (self.bounds.window_us / WINDOW_BUCKETS).max(1);
        let at = match self.services.binary_search_by(|counts| counts.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let counts = ServiceCounts { service: service.clone(), buckets: Vec::new() };
                self.services.insert(at, counts);
                at
            }
        };
        let buckets = &mut self.services[at].buckets;
        buckets.retain(|count| count.bucket + WINDOW_BUCKETS > bucket);
        if buckets.last().is_none_or(|count| count.bucket != bucket) {
            buckets.push(BucketCount { bucket, ..BucketCount::default() });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
