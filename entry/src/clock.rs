//! The process's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coltsfoothook_decision::id::TimePoint;

/// The monotonic clock that decisions are taken by.
///
/// Wall clocks of VMs differ and jump, so no decision compares them; a wall time stands only in
/// records whose window is counted in hours.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now(self) -> TimePoint {
        TimePoint(self.start.elapsed().as_micros().try_into().unwrap_or(u64::MAX))
    }
}

/// Wall-clock milliseconds since 1970.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis().try_into().unwrap_or(u64::MAX)
}

/// Milliseconds of a duration of some microseconds, rounded down.
pub(crate) fn millis(micros: u64) -> u64 {
    micros / coltsfoothook_decision::id::MICROS_PER_MILLI
}
