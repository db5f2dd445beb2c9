// Concurrent, repeated, stale and faulty publications: the first in offset order wins, a stale one
// gets the version in force, a repeat gets its own version, and all readers reach the same state
// wherever they start.

use coltsfoothook_decision::config::{ConfigFold, ConfigVerdict};
use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_decision::invariant::InvariantName;
use coltsfoothook_decision::manifest::{
    AdapterEntry, ManifestDelta, ModelEntry, ServingManifest, ServingManifestParts, TenantEntry,
    VersionEntry,
};
use coltsfoothook_decision::record::{ConfigChange, ConfigRecord};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn adapter(name: &str, model: &str) -> AdapterEntry {
    AdapterEntry {
        name: name.into(),
        model: model.into(),
        versions: vec![VersionEntry { version: "1".into(), weights: "store/1".to_owned() }],
        tenants: vec!["ramsa".into()],
        default_version: None,
    }
}

fn first() -> ConfigRecord {
    let manifest = ServingManifest {
        models: vec![ModelEntry { name: "base".into() }],
        tenants: vec![TenantEntry {
            name: "ramsa".into(),
            credentials: vec!["ab".repeat(32)],
            requests_per_s: None,
            burst: 1,
            weight: 1.0,
        }],
        ..Default::default()
    };
    publish(0, "first", ConfigChange::Whole(manifest))
}

fn publish(base: u64, id: &str, change: ConfigChange) -> ConfigRecord {
    ConfigRecord::Publish { base: ConfigVersion(base), publish_id: id.to_owned(), change }
}

fn put(base: u64, id: &str, model: &str) -> ConfigRecord {
    let put = ServingManifestParts { adapters: vec![adapter(id, model)], ..Default::default() };
    publish(base, id, ConfigChange::Delta(ManifestDelta { put, ..Default::default() }))
}

fn verdict(fold: &mut ConfigFold, offset: u64, record: ConfigRecord) -> ConfigVerdict {
    fold.fold(offset, record).remove(0).verdict
}

#[test]
fn first_publisher_wins() {
    let mut fold = ConfigFold::default();
    assert_eq!(verdict(&mut fold, 0, first()), ConfigVerdict::Accepted(ConfigVersion(1)));
    let second = verdict(&mut fold, 1, put(1, "a", "base"));
    assert_eq!(second, ConfigVerdict::Accepted(ConfigVersion(2)));
    let loser = verdict(&mut fold, 2, put(1, "b", "base"));
    let (base, in_force) = (ConfigVersion(1), ConfigVersion(2));
    assert_eq!(loser, ConfigVerdict::Stale { base, in_force });
    let repeat = verdict(&mut fold, 3, put(1, "a", "base"));
    assert_eq!(repeat, ConfigVerdict::Repeated(ConfigVersion(2)));
    let faulty = verdict(&mut fold, 4, put(2, "c", "no-such-model"));
    assert!(matches!(faulty, ConfigVerdict::Rejected(faults) if !faults.is_empty()));
    assert_eq!(fold.version(), ConfigVersion(2));
    assert!(fold.manifest().adapter("a").is_some() && fold.manifest().adapter("b").is_none());
}

#[test]
fn late_snapshot_changes_nothing() {
    let mut fold = ConfigFold::default();
    fold.fold(0, first());
    let old = fold.snapshot().expect("complete state");
    fold.fold(1, put(1, "a", "base"));
    assert_eq!(verdict(&mut fold, 2, old.clone()), ConfigVerdict::Nothing);
    assert_eq!(fold.version(), ConfigVersion(2));

    // A VM that starts after retention dropped the publication must not use the old snapshot. It
    // waits for one from which it can fold all later records.
    let mut late = ConfigFold::default();
    late.retained_from(2);
    assert_eq!(late.fold(2, old), []);
    assert!(!late.is_complete());
    let new = fold.snapshot().expect("complete state");
    late.fold(3, new);
    assert!(late.is_complete());
    assert_eq!(late.version(), ConfigVersion(2));
}

#[test]
fn emptied_stream_is_no_new_one() {
    let mut fold = ConfigFold::default();
    fold.retained_from(7);
    assert!(!fold.is_complete(), "everything before offset 7 was dropped");
    let mut peer = ConfigFold::default();
    peer.fold(0, first());
    assert_eq!(
        fold.adopt(peer.snapshot().expect("complete state")),
        None,
        "offsets 1 to 6 are missing"
    );
}

#[test]
fn peer_gives_only_newer() {
    let mut ahead = ConfigFold::default();
    ahead.fold(0, first());
    let old = ahead.snapshot().expect("complete state");
    ahead.fold(1, put(1, "a", "base"));
    let mut behind = ConfigFold::default();
    assert_eq!(behind.adopt(ahead.snapshot().expect("complete state")), Some(ConfigVersion(2)));
    assert_eq!(behind.adopt(old), None);
    assert_eq!(behind.next(), 2, "reading continues after the peer's state");
    assert_eq!(behind.invariants().count(InvariantName::ConfigNeverReverts).violated, 0);
}

/// Publications on current and stale bases, mixed with snapshots.
fn any_log() -> impl Strategy<Value = Vec<(u64, u8, bool)>> {
    proptest::collection::vec((0_u64..6, 0_u8..8, any::<bool>()), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Compares a reader of the whole log with one that starts after retention and one that reads
    // every record twice.
    #[test]
    fn readers_agree(plan in any_log(), start in 0_usize..40) {
        let mut complete = ConfigFold::default();
        let mut log = vec![first()];
        complete.fold(0, first());
        for (lag, id, snapshot) in plan {
            let base = complete.version().0.saturating_sub(lag / 2);
            let model = if id == 7 { "no-such-model" } else { "base" };
            let record = match (snapshot, complete.snapshot()) {
                (true, Some(record)) => record,
                _ => put(base, &format!("id-{id}"), model),
            };
            let before = complete.version();
            complete.fold(log.len() as u64, record.clone());
            prop_assert!(complete.version() >= before);
            log.push(record);
        }
        let start = start.min(log.len() - 1);
        let mut late = ConfigFold::default();
        late.retained_from(start as u64);
        let mut twice = ConfigFold::default();
        for (offset, record) in log.iter().enumerate() {
            if offset >= start {
                late.fold(offset as u64, record.clone());
            }
            twice.fold(offset as u64, record.clone());
            twice.fold(offset as u64, record.clone());
        }
        prop_assert_eq!(twice.in_force(), complete.in_force());
        prop_assert_eq!(twice.snapshot(), complete.snapshot());
        if late.is_complete() {
            prop_assert_eq!(late.snapshot(), complete.snapshot());
        }
        prop_assert!(
            late.adopt(complete.snapshot().expect("complete state")).is_some() || late.is_complete()
        );
        prop_assert_eq!(late.in_force(), complete.in_force());
    }
}
