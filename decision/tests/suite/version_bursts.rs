//! The load: versions of an adapter that operators name in bursts, each before the former is loaded anywhere.

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::named_version::NamedVersions;

const ALLOWED_US: u64 = 2_500_000;

fn at(ms: u64) -> TimePoint {
    TimePoint(ms * 1_000)
}

/// Guards against a version that is required before its time since a later one was named, and one that is allowed beyond
/// the time of a later one.
#[test]
fn each_by_its_own_time() {
    let mut versions = NamedVersions::first(1);
    for (version, ms) in [(2, 0), (3, 100), (5, 2_000)] {
        assert!(versions.name(version, at(ms)));
    }
    assert!(!versions.name(4, at(2_100)) && !versions.name(5, at(2_100)));
    let expected = [(2_499, 1), (2_500, 2), (2_599, 2), (2_600, 3), (4_499, 3), (4_500, 5)];
    for (ms, oldest) in expected {
        assert_eq!(versions.oldest(ALLOWED_US, at(ms)), oldest, "{ms}");
        versions.settle(ALLOWED_US, at(ms));
        assert_eq!((versions.oldest(ALLOWED_US, at(ms)), versions.newest()), (oldest, 5), "{ms}");
    }
    assert_eq!(versions, NamedVersions::first(5));
}

/// Guards against memory that grows with a burst, and a burst that puts off the time of its first versions.
#[test]
fn long_burst() {
    let mut versions = NamedVersions::first(1);
    for version in 2..1_000 {
        versions.name(version, at(version));
        assert!(versions.newest() - versions.oldest(ALLOWED_US, at(version)) <= 16);
    }
    assert_eq!(versions.oldest(ALLOWED_US, at(999 + 2_500)), 999);
}
