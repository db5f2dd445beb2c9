//! How long questions for records may stay without an answer.
//!
//! The store holds such a question until there is a record, or for as long as it was asked to. It may also
//! lose one: the connection lives, all other calls are answered, and the question never is. Nothing but its
//! own time limit shows that, and until then what the operators accepted is not in force. So the limit
//! follows from the time within which they want it in force, with room left to ask again, and not from how
//! seldom records come.

use std::time::Duration;

use crate::value;

/// For which part of the promise the store is asked to hold a question. Longer saves calls: each VM that
/// asks makes one in this time.
const HOLD_PART: f64 = 0.35;
/// After which part of the promise a question is taken to be lost. The rest is for asking again, and in
/// large fleets for telling the others.
const LOST_PART: f64 = 0.6;
/// After which part of the promise a VM that knew all records is no longer relied on for them.
const STALE_PART: f64 = 0.75;

value! {
    /// A question that the store is to hold until there is a record.
    #[derive(Copy, Eq)]
    pub struct HeldQuestion {
        /// For how long it is to hold it.
        pub hold: Duration,
        /// After how long without an answer it is lost.
        pub within: Duration,
    }
}

/// Paces the questions of one reader of records.
#[derive(Clone, Copy, Debug)]
pub struct QuestionPacer {
    promise: Duration,
    failed: bool,
}

impl QuestionPacer {
    /// For records that must be in force within `promise`.
    #[must_use]
    pub fn new(promise: Duration) -> Self {
        Self { promise, failed: false }
    }

    /// How to ask next; none for a question that is to be answered at once. After a failure it is: whether
    /// the store is back shows sooner by one that it need not hold.
    #[must_use]
    pub fn next(&self) -> Option<HeldQuestion> {
        (!self.failed).then(|| HeldQuestion {
            hold: self.promise.mul_f64(HOLD_PART),
            within: self.promise.mul_f64(LOST_PART),
        })
    }

    /// The last question was answered.
    pub fn answered(&mut self) {
        self.failed = false;
    }

    /// The last question was refused, or not answered in time.
    pub fn failed(&mut self) {
        self.failed = true;
    }
}

/// Whether a VM that knew all records `age` ago can be relied on for those that must be in force within
/// `promise`.
#[must_use]
pub fn is_current(age: Duration, promise: Duration) -> bool {
    age < promise.mul_f64(STALE_PART)
}
