//! Retry budget, and deadlines of calls.

use crate::budget::{RepeatBounds, RepeatBudget, RepeatDecision};
use crate::id::{MICROS_PER_MILLI, ServiceName, TimePoint};

/// Settings of the retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries per first attempt, over all VMs, and the slack that each VM has for itself: nothing
    /// divides a slack of the fleet among the VMs of this interface.
    pub bounds: RepeatBounds,
    /// Maximum attempts per request, the first included.
    pub max_attempts: u32,
    /// Minimum milliseconds left until the deadline for a retry; with less the request ends
    /// instead.
    pub min_left_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        let bounds = RepeatBounds { ratio: 0.1, slack: 10.0, ..RepeatBounds::default() };
        Self { bounds, max_attempts: 4, min_left_ms: 20 }
    }
}

/// Limits retries to a fraction of first attempts.
///
/// Without a budget, retries multiply the load by the number of attempts when everything fails,
/// which is when capacity is lowest, and so prolong the overload.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    repeats: RepeatBudget,
}

impl RetryBudget {
    /// Creates a budget of a VM without any counts.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        let repeats = RepeatBudget::new(settings.bounds);
        Self { settings, repeats }
    }

    /// Returns the settings that the budget was created with.
    #[must_use]
    pub fn settings(&self) -> &RetrySettings {
        &self.settings
    }

    /// Records a first attempt at `service`, which earns a fraction of a retry there.
    pub fn first_try(&mut self, service: &ServiceName, now: TimePoint) {
        self.repeats.record_first(service, now);
    }

    /// Takes one retry at `service` from the budget, if it holds one.
    pub fn take(&mut self, service: &ServiceName, now: TimePoint) -> RepeatDecision {
        self.repeats.try_repeat(service, 1.0, now)
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
