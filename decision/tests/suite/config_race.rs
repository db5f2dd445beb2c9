// Two operators publish on the same base; one repeats itself, one is late, one sends a manifest with
// faults. The first in offset order is in force, the other is told the version that it missed, and
// a repeat is told its version. Every reader comes to the same verdicts, wherever it starts.

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
    let wrong = verdict(&mut fold, 4, put(2, "c", "no-such-model"));
    assert!(matches!(wrong, ConfigVerdict::Rejected(faults) if !faults.is_empty()));
    assert_eq!(fold.version(), ConfigVersion(2));
    assert!(fold.manifest().adapter("a").is_some() && fold.manifest().adapter("b").is_none());
}

#[test]
fn late_snapshot_changes_nothing() {
    let mut fold = ConfigFold::default();
    fold.fold(0, first());
    let old = fold.snapshot().expect("whole");
    fold.fold(1, put(1, "a", "base"));
    assert_eq!(verdict(&mut fold, 2, old.clone()), ConfigVerdict::Nothing);
    assert_eq!(fold.version(), ConfigVersion(2));

    // A VM that starts when retention has passed the publication must not take the old snapshot
    // for the state; it waits for one behind which it can fold every record.
    let mut late = ConfigFold::default();
    late.retained_from(2);
    assert_eq!(late.fold(2, old), []);
    assert!(!late.whole());
    let new = fold.snapshot().expect("whole");
    late.fold(3, new);
    assert!(late.whole());
    assert_eq!(late.version(), ConfigVersion(2));
}

#[test]
fn emptied_stream_is_no_new_one() {
    let mut fold = ConfigFold::default();
    fold.retained_from(7);
    assert!(!fold.whole(), "everything before offset 7 is gone");
    let mut peer = ConfigFold::default();
    peer.fold(0, first());
    assert_eq!(fold.adopt(peer.snapshot().expect("whole")), None, "offsets 1 to 6 are missing");
}

#[test]
fn peer_gives_only_newer() {
    let mut ahead = ConfigFold::default();
    ahead.fold(0, first());
    let old = ahead.snapshot().expect("whole");
    ahead.fold(1, put(1, "a", "base"));
    let mut behind = ConfigFold::default();
    assert_eq!(behind.adopt(ahead.snapshot().expect("whole")), Some(ConfigVersion(2)));
    assert_eq!(behind.adopt(old), None);
    assert_eq!(behind.next(), 2, "the log is read on behind what the peer knew");
    assert_eq!(behind.invariants().count(InvariantName::ConfigNeverReverts).violated, 0);
}

/// A log of publications on all sorts of bases, with snapshots of some reader in between.
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

    // One reader sees the whole log, one starts behind retention, one reads some records twice.
    #[test]
    fn readers_agree(plan in any_log(), start in 0_usize..40) {
        let mut whole = ConfigFold::default();
        let mut log = vec![first()];
        whole.fold(0, first());
        for (behind, id, snapshot) in plan {
            let base = whole.version().0.saturating_sub(behind / 2);
            let model = if id == 7 { "no-such-model" } else { "base" };
            let record = match (snapshot, whole.snapshot()) {
                (true, Some(record)) => record,
                _ => put(base, &format!("id-{id}"), model),
            };
            let before = whole.version();
            whole.fold(log.len() as u64, record.clone());
            prop_assert!(whole.version() >= before);
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
        prop_assert_eq!(twice.in_force(), whole.in_force());
        prop_assert_eq!(twice.snapshot(), whole.snapshot());
        if late.whole() {
            prop_assert_eq!(late.snapshot(), whole.snapshot());
        }
        prop_assert!(late.adopt(whole.snapshot().expect("whole")).is_some() || late.whole());
        prop_assert_eq!(late.in_force(), whole.in_force());
    }
}
