//! The process's clock.

use coltsfoothook_decision::id::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// Returns the microseconds since the VM booted, including time for which it was suspended.
///
/// The usual monotonic clock stops during suspension. A VM that resumes would take an expired lease
/// for valid, and order a server that another VM orders by then.
#[must_use]
pub(crate) fn now() -> TimePoint {
    let time = clock_gettime(ClockId::Boottime);
    TimePoint(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
