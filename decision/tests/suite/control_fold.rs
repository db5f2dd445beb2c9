// Two VMs see an owner die and both take its group over; the owner was only paused and wakes with
// orders in hand. The first takeover in offset order counts, the second and every order behind it
// are void, and all readers agree.

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

fn crash(life: u64, suspects: &[u64]) -> ControlRecord {
    ControlRecord::Crash {
        server: "engine".into(),
        incarnation: ServerIncarnation(life),
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
    assert_eq!(fold.intents("g").count(), 1, "the new owner knows the order that may still go out");
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
    assert!(fold.server_drains("engine"));
    fold.fold(2, drain(false));
    assert!(!fold.server_drains("engine"));
}

fn any_record() -> impl Strategy<Value = ControlRecord> {
    let vms = prop_oneof![Just("a"), Just("b"), Just("c")];
    prop_oneof![
        (0_u64..6, vms).prop_map(|(after, owner)| takeover(after, owner)),
        (0_u64..6, 0_u64..9).prop_map(|(epoch, number)| intent(epoch, number)),
        (0_u64..6, 0_u64..5).prop_map(|(life, suspect)| crash(life, &[suspect])),
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

    // A reader that starts from a snapshot knows what one knows that read everything, orders and
    // counted crashes included; and ownership never goes back.
    #[test]
    fn snapshot_is_the_state(
        records in proptest::collection::vec(any_record(), 1..60),
        cut in 0_usize..60,
    ) {
        let mut whole = ControlFold::default();
        let mut epoch = OwnerEpoch(0);
        let cut = cut.min(records.len());
        let mut other = ControlFold::default();
        other.retained_from(cut as u64);
        for (offset, record) in records.into_iter().enumerate() {
            if offset == cut {
                other.adopt(whole.snapshot().expect("whole"));
            }
            if offset >= cut {
                other.fold(offset as u64, record.clone());
            }
            whole.fold(offset as u64, record);
            prop_assert!(whole.epoch("g") >= epoch);
            epoch = whole.epoch("g");
        }
        other.adopt(whole.snapshot().expect("whole"));
        prop_assert_eq!(other.snapshot(), whole.snapshot());
    }
}
