//! The process's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use coltsfoothook_decision::id::{CLOCK_ORIGIN, TimePoint};
use rustix::time::{ClockId, clock_gettime};

/// Returns the microseconds since the VM booted, from [`CLOCK_ORIGIN`] on, including time for which it was suspended.
///
/// The usual monotonic clock stops during suspension. A VM that resumes would take an expired lease
/// for valid, and order a server that another VM orders by then.
#[must_use]
pub(crate) fn now() -> TimePoint {
    let time = clock_gettime(ClockId::Boottime);
    CLOCK_ORIGIN.plus(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Returns the Unix time in milliseconds by the VM's time of day, which may be set.
#[must_use]
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |since| since.as_millis() as u64)
}
