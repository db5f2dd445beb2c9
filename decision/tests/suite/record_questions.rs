//! How long a question that the store holds may go unanswered.

use std::time::Duration;

use coltsfoothook_decision::question::{HeldQuestion, QuestionPacer};
use proptest::prelude::*;

/// The part of a promise that an answer may be late by, whether it ends a hold or follows a lost question:
/// half a second of the two seconds that small sites allow.
const LATE_PART: f64 = 0.25;

fn held(pacer: &QuestionPacer) -> HeldQuestion {
    pacer.next().expect("the store is asked to hold it")
}

proptest! {
    /// Operators publish a configuration right after the store lost a question. The question is given up and
    /// asked again, and the answer to that is late: the configuration is in force in time all the same.
    #[test]
    fn lost_once(promise_ms in 100u64..3_600_000) {
        let promise = Duration::from_millis(promise_ms);
        let mut pacer = QuestionPacer::new(promise);
        let given_up = held(&pacer).within;
        pacer.failed();
        prop_assert!(pacer.next().is_none(), "the next one is to be answered at once");
        prop_assert!(given_up + promise.mul_f64(LATE_PART) < promise);
    }

    /// A store that is slow answers at the end of the hold and a while later. Such a question is not taken to be
    /// lost: asked again each time, it would burden the store further.
    #[test]
    fn slow_answers(promise_ms in 100u64..3_600_000) {
        let promise = Duration::from_millis(promise_ms);
        let question = held(&QuestionPacer::new(promise));
        prop_assert!(question.hold + promise.mul_f64(LATE_PART) <= question.within + Duration::from_micros(1));
    }
}

/// Whether the store is back shows by a question that is answered at once; from then on it holds them again.
#[test]
fn after_an_outage() {
    let mut pacer = QuestionPacer::new(Duration::from_secs(2));
    assert!(pacer.next().is_some());
    pacer.failed();
    pacer.failed();
    assert_eq!(pacer.next(), None);
    pacer.answered();
    assert!(pacer.next().is_some());
}
