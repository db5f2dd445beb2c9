//! Time for which a VM may rely on its configuration.
//!
//! A revoked key must stop working at every VM within a promised time. A VM that is cut off, was
//! frozen or missed a notification does not know that a newer configuration exists, so a VM accepts
//! keys only while its configuration was recently confirmed to be the newest. A confirmation is the
//! answer to a query of the VM's own, and its age counts from when the query was *sent*: the answer
//! may have been delayed on a slow link, or in the buffer of a frozen VM, for longer than the whole
//! promise.
//!
//! Other VMs may confirm as well as the store, with the age of their own confirmation. They had
//! that information no later than the query reached them, so it is at most that much older than the
//! sending of the query.

use std::time::Duration;

use crate::id::TimePoint;

/// Fraction of the promise for which a confirmation is valid. The rest covers clocks that run at
/// different speeds.
const VALID_FRACTION: f64 = 0.9;
/// Fraction of the promise after which a VM queries again, early enough that a few queries may be
/// lost.
const QUERY_FRACTION: f64 = 0.25;
/// Fraction of the promise after which a VM queries several sources, since the queries so far
/// brought no confirmation.
const URGENT_FRACTION: f64 = 0.5;

/// Action needed to keep the configuration confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfirmationNeed {
    /// None; the last confirmation is recent.
    None,
    /// Query one source that is likely to have a confirmation.
    Query,
    /// Query several sources, the store included.
    Urgent,
}

/// Last confirmation that a VM's configuration is the newest.
#[derive(Clone, Copy, Debug)]
pub struct ConfigConfirmation {
    promise: RemovalPromise,
    at: Option<TimePoint>,
}

/// Promise to operators about revoked keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemovalPromise {
    /// Time after which a revoked key is no longer accepted.
    pub within: Duration,
    /// Whether this also holds for unreachable VMs, which then reject all keys; if `false`, keys
    /// are accepted without a confirmation.
    pub strict: bool,
}

impl ConfigConfirmation {
    /// Creates the state of a VM without a confirmation.
    #[must_use]
    pub fn new(promise: RemovalPromise) -> Self {
        Self { promise, at: None }
    }

    /// Replaces the promise; the last confirmation is kept.
    pub fn set_promise(&mut self, promise: RemovalPromise) {
        self.promise = promise;
    }

    /// Records that the store had no newer configuration than the one in force, in answer to a
    /// query sent at `sent_at`.
    pub fn confirmed(&mut self, sent_at: TimePoint) {
        self.at = self.at.max(Some(sent_at));
    }

    /// Records that another VM, in answer to a query sent at `sent_at`, has the same configuration
    /// and a confirmation of it that was `age` old when it answered. Send times in the future are
    /// ignored.
    pub fn confirmed_by_peer(&mut self, sent_at: TimePoint, age: Duration, now: TimePoint) {
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        // A time in the future was not set by this VM.
        if sent_at <= now && sent_at.0 >= age_us {
            self.confirmed(TimePoint(sent_at.0 - age_us));
        }
    }

    /// Returns the age of the last confirmation; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.at.map(|at| Duration::from_micros(now.since(at)))
    }

    /// Returns whether keys may be accepted.
    #[must_use]
    pub fn is_valid(&self, now: TimePoint) -> bool {
        !self.promise.strict || self.is_younger(VALID_FRACTION, now)
    }

    /// Returns whether the configuration was confirmed to be the newest at `moment` or later.
    #[must_use]
    pub fn covers(&self, moment: TimePoint) -> bool {
        self.at.is_some_and(|at| at >= moment)
    }

    /// Returns whether to query for a confirmation, and how many sources.
    #[must_use]
    pub fn need(&self, now: TimePoint) -> ConfirmationNeed {
        if self.is_younger(QUERY_FRACTION, now) {
            ConfirmationNeed::None
        } else if self.is_younger(URGENT_FRACTION, now) {
            ConfirmationNeed::Query
        } else {
            ConfirmationNeed::Urgent
        }
    }

    fn is_younger(&self, fraction: f64, now: TimePoint) -> bool {
        self.age(now).is_some_and(|age| age < self.promise.within.mul_f64(fraction))
    }
}
