// Concurrent takeovers of the group of a paused owner that resumes with orders in flight: the first
// takeover in offset order wins, the second and all intents of the old epoch after it are void, and
// all readers agree.

use coltsfoothook_decision::control::{ControlFold, ControlVerdict};
use coltsfoothook_decision::id::{
    OwnerEpoch, RequestFingerprint, ServerIncarnation, VmIdentity, VmIncarnation,
};
use coltsfoothook_decision::record::ControlRecord;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn vm(name: &str) -> VmIdentity {
    VmIdentity { vm: name.into(), incarnation: VmIncarnation(1) }
}

fn takeover(after: u64, owner: &str) -> ControlRecord {
    ControlRecord::Takeover { group: "g".into(), after: OwnerEpoch(after), owner: vm(owner) }
}

fn intent(epoch: u64, number: u64) -> ControlRecord {
    ControlRecord::Intent {
        group: "g".into(),
        epoch: OwnerEpoch(epoch),
        number,
        server: "engine".into(),
        incarnation: ServerIncarnation(1),
        evict: Some("a@1#1.1".into()),
        load: None,
    }
}

fn crash(incarnation: u64, suspects: &[u64]) -> ControlRecord {
    ControlRecord::Crash {
        server: "engine".into(),
        incarnation: ServerIncarnation(incarnation),
        suspects: suspects.iter().map(|suspect| RequestFingerprint(*suspect)).collect(),
    }
}

#[test]
fn woken_owner_is_void() {
    let mut fold = ControlFold::default();
    fold.fold(0, takeover(0, "a"));
    assert!(matches!(fold.fold(1, intent(1, 1))[0].verdict, ControlVerdict::IntentValid(_)));
    fold.fold(2, takeover(1, "b"));
    let second = fold.fold(3, takeover(1, "c"));
    assert_eq!(second[0].verdict, ControlVerdict::Superseded(OwnerEpoch(2)));
    let late = fold.fold(4, intent(1, 2));
    assert!(matches!(late[0].verdict, ControlVerdict::IntentVoid(_, OwnerEpoch(2))));
    assert_eq!(fold.owner("g").map(|owned| &owned.owner), Some(&vm("b")));
    assert_eq!(fold.intents("g").count(), 1, "the new owner sees the order that may still be sent");
}

#[test]
fn crash_counts_once() {
    let mut fold = ControlFold::default();
    fold.fold(0, crash(1, &[7, 8]));
    let again = fold.fold(1, crash(1, &[7, 8]));
    assert_eq!(again[0].verdict, ControlVerdict::Nothing);
    fold.fold(2, crash(2, &[7]));
    let counts: Vec<(u32, u32)> =
        fold.suspects().iter().map(|suspect| (suspect.crashes, suspect.alone)).collect();
    assert_eq!(counts, [(2, 1), (1, 0)]);
    fold.fold(3, ControlRecord::Cleared { fingerprint: RequestFingerprint(8) });
    assert_eq!(fold.suspects().len(), 1);
}

#[test]
fn drains_end() {
    let mut fold = ControlFold::default();
    let drain = |draining| ControlRecord::DrainServer { server: "engine".into(), draining };
    fold.fold(0, drain(true));
    fold.fold(1, drain(true));
    assert!(fold.is_server_draining("engine"));
    fold.fold(2, drain(false));
    assert!(!fold.is_server_draining("engine"));
}

fn any_record() -> impl Strategy<Value = ControlRecord> {
    let vms = prop_oneof![Just("a"), Just("b"), Just("c")];
    prop_oneof![
        (0_u64..6, vms).prop_map(|(after, owner)| takeover(after, owner)),
        (0_u64..6, 0_u64..9).prop_map(|(epoch, number)| intent(epoch, number)),
        (0_u64..6, 0_u64..5).prop_map(|(incarnation, suspect)| crash(incarnation, &[suspect])),
        any::<bool>().prop_map(|draining| ControlRecord::DrainVm { vm: "a".into(), draining }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A reader that starts from a snapshot has the same state as one that read all records,
    // including intents and counted crashes; the epoch never decreases.
    #[test]
    fn snapshot_equals_full_fold(
        records in proptest::collection::vec(any_record(), 1..60),
        cut in 0_usize..60,
    ) {
        let mut complete = ControlFold::default();
        let mut epoch = OwnerEpoch(0);
        let cut = cut.min(records.len());
        let mut restored = ControlFold::default();
        restored.retained_from(cut as u64);
        for (offset, record) in records.into_iter().enumerate() {
            if offset == cut {
                restored.adopt(complete.snapshot().expect("complete state"));
            }
            if offset >= cut {
                restored.fold(offset as u64, record.clone());
            }
            complete.fold(offset as u64, record);
            prop_assert!(complete.epoch("g") >= epoch);
            epoch = complete.epoch("g");
        }
        restored.adopt(complete.snapshot().expect("complete state"));
        prop_assert_eq!(restored.snapshot(), complete.snapshot());
    }
}
