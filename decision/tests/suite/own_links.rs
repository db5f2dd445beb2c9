//! When a VM takes its own links for lost.

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::links::{LinkChange, ServerLinks};

const NOW: TimePoint = TimePoint(100_000_000);

fn later(ms: u64) -> TimePoint {
    NOW.plus(ms * 1_000)
}

/// Guards against a VM that takes one server's failure for that of its links.
#[test]
fn one_failure() {
    let mut links = ServerLinks::default();
    assert!(!links.record_failure(&"s1".into(), NOW));
    assert!(!links.record_failure(&"s1".into(), later(2_000)), "the first one is long ago");
    links.record_connected();
    assert!(!links.record_failure(&"s2".into(), later(2_100)), "another one accepted meanwhile");
    assert!(!links.are_cut());
}

/// Guards against checks at each failure while some servers are down.
#[test]
fn seldom_checked() {
    let mut links = ServerLinks::default();
    let mut checks = 0;
    for ms in (0..10_000).step_by(20) {
        if links.record_failure(&"s1".into(), later(ms)) {
            checks += 1;
            assert_eq!(links.checked(true, later(ms)), None);
        }
    }
    assert!(checks <= 10, "{checks} checks in ten seconds");
    assert!(checks >= 5, "{checks} checks in ten seconds");
}

/// Guards against a cut that is not noticed, or that outlasts its end.
#[test]
fn lost_and_regained() {
    let mut links = ServerLinks::default();
    links.record_failure(&"s1".into(), NOW);
    assert!(links.record_failure(&"s2".into(), later(400)));
    assert!(!links.record_failure(&"s3".into(), later(410)), "one check at a time");
    assert_eq!(links.checked(false, later(800)), Some(LinkChange::Lost));
    assert!(links.are_cut());
    assert_eq!(links.checked(false, later(1_200)), None);
    assert_eq!(links.checked(true, later(1_600)), Some(LinkChange::Regained));
    assert!(!links.are_cut());
}
