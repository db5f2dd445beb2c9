//! Who aggregates for a failure domain when those before it fall silent.
//!
//! The VM that tells a domain what is new is killed or frozen. The others know counts and lists as they were
//! then; the next one in rank takes over within a second, and gives way when the first is back.

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
fn silence() {
    let mut view = DomainView::default();
    view.record_update(&"vm-1".into(), START);
    assert!(!view.is_due(1, START, START.plus(400_000)));
    assert!(view.is_due(1, START, START.plus(SECOND)));
    // Those further behind wait for longer, and hear of the next one by then.
    assert!(!view.is_due(5, START, START.plus(SECOND)));
    view.record_update(&"vm-2".into(), START.plus(SECOND));
    assert!(!view.is_due(5, START, START.plus(SECOND + 400_000)));
    // The first one is back, and the second hears of it.
    view.record_update(&"vm-1".into(), START.plus(2 * SECOND));
    assert!(!view.is_due(1, START, START.plus(2 * SECOND + 100_000)));
}

/// A fleet that just became large has no aggregator that could have been heard.
#[test]
fn just_large() {
    let view = DomainView::default();
    assert!(!view.is_due(2, START, START.plus(500_000)));
    assert!(view.is_due(2, START, START.plus(SECOND)));
}
