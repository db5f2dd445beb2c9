//! Timeouts of long polls to the store.

use std::time::Duration;

use coltsfoothook_decision::long_poll::{LongPoll, LongPollSchedule};
use proptest::prelude::*;

/// Fraction of a promise by which an answer may be late, whether at the end of a hold or after a
/// lost poll: half a second of the two seconds that small sites allow.
const LATE_FRACTION: f64 = 0.25;

fn held(schedule: &LongPollSchedule) -> LongPoll {
    schedule.next().expect("a long poll")
}

proptest! {
    /// A configuration is published right after the store lost a poll. The poll times out, is
    /// repeated, and its answer is late: the configuration must still be in force in time.
    #[test]
    fn lost_once(promise_ms in 100u64..3_600_000) {
        let promise = Duration::from_millis(promise_ms);
        let mut schedule = LongPollSchedule::new(promise);
        let timeout = held(&schedule).within;
        schedule.failed();
        prop_assert!(schedule.next().is_none(), "the next poll must be answered at once");
        prop_assert!(timeout + promise.mul_f64(LATE_FRACTION) < promise);
    }

    /// A slow store answers late after the end of the hold. Such a poll must not be considered
    /// lost, since repeating it would burden the store further.
    #[test]
    fn slow_answers(promise_ms in 100u64..3_600_000) {
        let promise = Duration::from_millis(promise_ms);
        let poll = held(&LongPollSchedule::new(promise));
        prop_assert!(poll.hold + promise.mul_f64(LATE_FRACTION) <= poll.within + Duration::from_micros(1));
    }
}

/// After a failure the next poll is answered at once, and after a success polls are held again.
#[test]
fn after_an_outage() {
    let mut schedule = LongPollSchedule::new(Duration::from_secs(2));
    assert!(schedule.next().is_some());
    schedule.failed();
    schedule.failed();
    assert_eq!(schedule.next(), None);
    schedule.answered();
    assert!(schedule.next().is_some());
}
