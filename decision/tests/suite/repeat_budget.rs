//! Budget for sending requests again.

use coltsfoothook_decision::budget::{RepeatBounds, RepeatBudget};
use coltsfoothook_decision::id::{ServiceName, TimePoint};

const SECOND: u64 = 1_000_000;

fn count_allowed(budget: &mut RepeatBudget, share: f64, now: TimePoint) -> usize {
    let service = ServiceName::from("engines");
    (0..1_000).take_while(|_| budget.try_repeat(&service, share, now).allowed).count()
}

/// When servers fail, six VMs that would each resend all their requests must together stay within
/// the ratio and slack, whatever the time.
#[test]
fn all_vms_together() {
    let bounds = RepeatBounds { ratio: 0.2, slack: 60.0, window_us: 10 * SECOND };
    let mut repeats = 0;
    for _ in 0..6 {
        let mut budget = RepeatBudget::new(bounds);
        for request in 0..100 {
            budget.record_first(&ServiceName::from("engines"), TimePoint(request * SECOND / 10));
        }
        repeats += count_allowed(&mut budget, 1.0 / 6.0, TimePoint(10 * SECOND));
    }
    assert!(repeats > 60, "only {repeats} repeats were allowed");
    assert!(repeats <= 120 + 60, "{repeats} repeats were allowed");
}

/// Repeats are available again once the window has moved on, and not before.
#[test]
fn window_slides() {
    let bounds = RepeatBounds { ratio: 0.0, slack: 10.0, window_us: 10 * SECOND };
    let mut budget = RepeatBudget::new(bounds);
    let first = count_allowed(&mut budget, 1.0, TimePoint(20 * SECOND));
    assert!(first > 0);
    assert_eq!(count_allowed(&mut budget, 1.0, TimePoint(25 * SECOND)), 0);
    assert_eq!(count_allowed(&mut budget, 1.0, TimePoint(31 * SECOND)), first);
}

/// Each service has its own budget.
#[test]
fn services_apart() {
    let mut budget = RepeatBudget::new(RepeatBounds { slack: 10.0, ..RepeatBounds::default() });
    let now = TimePoint(20 * SECOND);
    assert!(count_allowed(&mut budget, 1.0, now) > 0);
    assert!(budget.try_repeat(&ServiceName::from("plain"), 1.0, now).allowed);
}

/// Guards against repeats at the end of a bucket that are forgotten before the window is over.
#[test]
fn end_of_bucket() {
    let bounds = RepeatBounds { ratio: 0.0, slack: 10.0, window_us: 10 * SECOND };
    let mut budget = RepeatBudget::new(bounds);
    let late = TimePoint(21 * SECOND - 1);
    assert!(count_allowed(&mut budget, 1.0, late) > 0);
    assert_eq!(count_allowed(&mut budget, 1.0, late.plus(10 * SECOND - 1)), 0);
}

/// Guards against slack that is used twice in a window because the bounds changed in between.
#[test]
fn changed_bounds() {
    let bounds = RepeatBounds { ratio: 0.0, slack: 10.0, window_us: 10 * SECOND };
    let mut budget = RepeatBudget::new(bounds);
    assert!(count_allowed(&mut budget, 1.0, TimePoint(20 * SECOND)) > 0);
    let longer = RepeatBounds { window_us: 20 * SECOND, ..bounds };
    budget.set_bounds(longer, TimePoint(22 * SECOND));
    budget.set_bounds(longer, TimePoint(23 * SECOND));
    assert_eq!(count_allowed(&mut budget, 1.0, TimePoint(41 * SECOND)), 0);
    assert!(count_allowed(&mut budget, 1.0, TimePoint(42 * SECOND)) > 0);
}
