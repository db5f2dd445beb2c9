//! Which VM aggregates for a failure domain after its aggregator was killed or frozen.
//!
//! Until another one takes over, the domain's VMs keep counts and lists from before. The next VM in
//! rank takes over within a second, and stops once the first is back.

use coltsfoothook_decision::id::TimePoint;

use crate::aggregate::DomainView;

const SECOND: u64 = 1_000_000;
const START: TimePoint = TimePoint(100 * SECOND);

#[test]
fn first_in_rank() {
    assert!(DomainView::default().is_due(0, START, START));
    assert!(!DomainView::default().is_due(1, START, START));
}

#[test]
fn unresponsive_aggregator() {
    let mut view = DomainView::default();
    view.record_update(&"vm-1".into(), START);
    assert!(!view.is_due(1, START, START.plus(400_000)));
    assert!(view.is_due(1, START, START.plus(SECOND)));
    // VMs of lower rank wait for longer, and receive the next one's updates by then.
    assert!(!view.is_due(5, START, START.plus(SECOND)));
    view.record_update(&"vm-2".into(), START.plus(SECOND));
    assert!(!view.is_due(5, START, START.plus(SECOND + 400_000)));
    // The first one is back, and the second receives its updates.
    view.record_update(&"vm-1".into(), START.plus(2 * SECOND));
    assert!(!view.is_due(1, START, START.plus(2 * SECOND + 100_000)));
}

/// In a fleet that just became large no VM has received an aggregator's update yet.
#[test]
fn just_large() {
    let view = DomainView::default();
    assert!(!view.is_due(2, START, START.plus(500_000)));
    assert!(view.is_due(2, START, START.plus(SECOND)));
}
