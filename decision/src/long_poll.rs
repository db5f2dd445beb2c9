//! Timing of long polls for new records.
//!
//! The store holds a long poll until there is a record, or for as long as requested. It may also
//! lose one: the connection stays up and all other calls are answered, but the poll never is. Only
//! a timeout detects that, and until then accepted changes are not in force. The timeout therefore
//! follows from the time within which operators want changes in force, with time left to poll
//! again, and not from how rarely records arrive.

use std::time::Duration;

use crate::value;

/// Fraction of the promise for which the store is requested to hold a poll. A longer hold saves
/// calls: each polling VM makes one per hold.
const HOLD_FRACTION: f64 = 0.35;
/// Fraction of the promise after which a poll is considered lost. The rest is for polling again
/// and, in large fleets, for notifying the other VMs.
const LOST_FRACTION: f64 = 0.6;
/// Fraction of the promise after which a VM that had all records is no longer considered current.
const STALE_FRACTION: f64 = 0.75;

value! {
    /// Long poll, which the store holds until there is a record.
    #[derive(Copy, Eq)]
    pub struct LongPoll {
        /// Time for which the store is requested to hold the poll.
        pub hold: Duration,
        /// Timeout after which the poll is considered lost.
        pub within: Duration,
    }
}

/// Schedules the polls of one reader of records.
#[derive(Clone, Copy, Debug)]
pub struct LongPollSchedule {
    promise: Duration,
    failed: bool,
}

impl LongPollSchedule {
    /// Creates a schedule for records that must be in force within `promise`.
    #[must_use]
    pub fn new(promise: Duration) -> Self {
        Self { promise, failed: false }
    }

    /// Returns the next long poll, or `None` if the next poll is to be answered at once. The latter
    /// applies after a failure, since an immediate answer shows sooner whether the store is
    /// available again.
    #[must_use]
    pub fn next(&self) -> Option<LongPoll> {
        (!self.failed).then(|| LongPoll {
            hold: self.promise.mul_f64(HOLD_FRACTION),
            within: self.promise.mul_f64(LOST_FRACTION),
        })
    }

    /// Records that the last poll was answered.
    pub fn answered(&mut self) {
        self.failed = false;
    }

    /// Records that the last poll was refused or timed out.
    pub fn failed(&mut self) {
        self.failed = true;
    }
}

/// Returns whether a VM that had all records `age` ago is current enough for records that must be
/// in force within `promise`.
#[must_use]
pub fn is_current(age: Duration, promise: Duration) -> bool {
    age < promise.mul_f64(STALE_FRACTION)
}
