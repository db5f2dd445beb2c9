//! The monotonic clock of the process and the wall clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coltsfoothook_decision::id::{CLOCK_ORIGIN, TimePoint};

/// The monotonic clock used for decisions.
///
/// Wall clocks of VMs differ and jump, so decisions do not compare them. Wall times are used only
/// in records whose windows are hours long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now(self) -> TimePoint {
        CLOCK_ORIGIN.plus(self.start.elapsed().as_micros().try_into().unwrap_or(u64::MAX))
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch; 0 if the clock is before it.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis().try_into().unwrap_or(u64::MAX)
}

/// Converts microseconds to milliseconds, rounding down.
pub(crate) fn millis(micros: u64) -> u64 {
    micros / coltsfoothook_decision::id::MICROS_PER_MILLI
}
