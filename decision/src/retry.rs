//! Retry budget, and deadlines of calls.

use crate::id::{MICROS_PER_MILLI, TimePoint};

/// Settings of the retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries per thousand first attempts. At 100, a fleet in which every request fails carries 10
    /// % more load than one in which none fails.
    pub per_mille: u64,
    /// Maximum number of retries saved up while few are needed.
    pub burst: u64,
    /// Maximum attempts per request, the first included.
    pub max_attempts: u32,
    /// Minimum milliseconds left until the deadline for a retry; with less the request ends
    /// instead.
    pub min_left_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { per_mille: 100, burst: 20, max_attempts: 4, min_left_ms: 20 }
    }
}

/// Limits retries to a fraction of first attempts.
///
/// Without a budget, retries multiply the load by the number of attempts when everything fails,
/// which is when capacity is lowest, and so prolong the overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    available_thousandths: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        let available_thousandths = settings.burst * 1_000;
        Self { settings, available_thousandths }
    }

    /// Returns the settings that the budget was created with.
    #[must_use]
    pub fn settings(&self) -> &RetrySettings {
        &self.settings
    }

    /// Records a first attempt, which earns `per_mille` available_thousandths of a retry.
    pub fn first_try(&mut self) {
        let max = self.settings.burst * 1_000;
        self.available_thousandths =
            (self.available_thousandths + self.settings.per_mille).min(max);
    }

    /// Takes one retry from the budget. Returns `false` if there is none left.
    pub fn take(&mut self) -> bool {
        let enough = self.available_thousandths >= 1_000;
        if enough {
            self.available_thousandths -= 1_000;
        }
        enough
    }
}

/// Deadline of a request on this VM's own monotonic clock.
///
/// Between processes only the remaining time is sent, so clock skew has no effect; the transit time
/// is charged to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallDeadline {
    at: Option<TimePoint>,
}

impl CallDeadline {
    /// Creates a deadline `left_ms` milliseconds from `now`; `None` means no deadline.
    #[must_use]
    pub fn after(now: TimePoint, left_ms: Option<u64>) -> Self {
        let micros = left_ms.map(|left| left.saturating_mul(MICROS_PER_MILLI));
        Self { at: micros.map(|micros| now.plus(micros)) }
    }

    /// Returns the milliseconds left, in the form to send on; 0 once passed, `None` without a
    /// deadline.
    #[must_use]
    pub fn left_ms(self, now: TimePoint) -> Option<u64> {
        self.at.map(|at| at.since(now) / MICROS_PER_MILLI)
    }

    /// Returns whether the deadline has passed; always `false` without a deadline.
    #[must_use]
    pub fn passed(self, now: TimePoint) -> bool {
        self.at.is_some_and(|at| now >= at)
    }
}
