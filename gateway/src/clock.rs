//! The process's clock.

use coltsfoothook_decision::id::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since the VM started, counted on while it is suspended.
///
/// The usual monotonic clock stands still then, and a VM that wakes up would take a lease that ended
/// long ago for valid and order a server that another VM orders by now.
#[must_use]
pub(crate) fn now() -> TimePoint {
    let time = clock_gettime(ClockId::Boottime);
    TimePoint(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
