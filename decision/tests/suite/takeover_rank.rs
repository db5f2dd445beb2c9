// Takeover of a group by rank: the first VM acts immediately and the next ones wait, a VM without a
// majority takes nothing over, and dispatch without an owner needs the log to be down and the owner
// to be dead for long enough.

use std::net::SocketAddr;

use coltsfoothook_decision::control::ControlFold;
use coltsfoothook_decision::id::{
    MICROS_PER_MILLI, OwnerEpoch, TimePoint, VmIdentity, VmIncarnation,
};
use coltsfoothook_decision::member::{
    ListedState, ListedVm, MemberDigest, MemberEvent, MemberFacts, MemberPlace, MemberSettings,
    MemberState, MemberTable, ProbeMessage,
};
use coltsfoothook_decision::record::ControlRecord;
use coltsfoothook_decision::snapshot::{SnapshotPlan, SnapshotSettings};
use coltsfoothook_decision::takeover::{
    OwnerlessDecision, TakeoverGroup, TakeoverPlan, TakeoverSettings, ownerless,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const VMS: [&str; 3] = ["a", "b", "c"];

fn ms(ms: u64) -> TimePoint {
    TimePoint(ms * MICROS_PER_MILLI)
}

fn place() -> MemberPlace {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    MemberPlace { caller: address, peer: address, domain: "d".into(), region: "r".into() }
}

fn vm(name: &str, incarnation: u64) -> VmIdentity {
    VmIdentity { vm: name.into(), incarnation: VmIncarnation(incarnation) }
}

/// Member table of `me`: all three VMs are listed, and a message was received from those in
/// `states`.
fn members(me: &str, now: TimePoint, states: &[(&str, u64, MemberState)]) -> MemberTable {
    let mut table = MemberTable::new(MemberSettings::default(), vm(me, 1), place());
    let listed =
        VMS.map(|name| ListedVm { name: name.into(), place: place(), state: ListedState::Live });
    let mut rng = Pcg64::seed_from_u64(1);
    let mut actions = Vec::new();
    table.handle(now, MemberEvent::Listed(listed.to_vec()), &mut rng, &mut actions);
    for (name, incarnation, state) in states {
        let from = MemberDigest {
            vm: vm(name, *incarnation),
            sequence: 5,
            state: *state,
            place: Some(place()),
            facts: MemberFacts::default(),
        };
        let message = ProbeMessage { number: 1, from, target: None, updates: Vec::new() };
        table.handle(now, MemberEvent::Probe { call: 1, message }, &mut rng, &mut actions);
    }
    table
}

fn group() -> TakeoverGroup {
    TakeoverGroup { name: "g".into(), region: "r".to_owned() }
}

fn owned_by(owner: VmIdentity) -> ControlFold {
    let mut fold = ControlFold::default();
    let record = ControlRecord::Takeover { group: "g".into(), after: OwnerEpoch(0), owner };
    fold.fold(0, record);
    fold
}

/// Milliseconds after which `me` takes the group over; the plan is evaluated every 100 ms for 6 s.
fn takes_over_at(
    me: &str,
    states: &[(&str, u64, MemberState)],
    control: &ControlFold,
) -> Option<u64> {
    let table = members(me, ms(0), states);
    let mut plan = TakeoverPlan::new(TakeoverSettings::default(), ms(0));
    (0..60)
        .map(|step| step * 100)
        .find(|at| !plan.plan(ms(*at), &[group()], &table, control).is_empty())
}

use MemberState::{Alive, Dead, Leaving, Suspect};

#[test]
fn ranks_act_in_order() {
    let control = ControlFold::default();
    let mut times: Vec<u64> = VMS
        .iter()
        .map(|me| {
            let others: Vec<_> =
                VMS.iter().filter(|name| *name != me).map(|name| (*name, 1, Alive)).collect();
            takes_over_at(me, &others, &control).expect("every rank acts in the end")
        })
        .collect();
    times.sort_unstable();
    assert_eq!(times, [0, 700, 1_400], "all listed VMs are known, so the settling time ends early");
}

/// A listed VM from which no message was received since the start may own the group, so the others
/// wait for the settling time before they act by rank.
#[test]
fn unknown_vm_delays_all() {
    let control = ControlFold::default();
    let mut times = [("a", "b"), ("b", "a")].map(|(me, other)| {
        takes_over_at(me, &[(other, 1, Alive)], &control).expect("every rank acts in the end")
    });
    times.sort_unstable();
    assert_eq!(times, [2_000, 2_700]);
}

#[test]
fn only_ended_owners_are_replaced() {
    let control = owned_by(vm("b", 1));
    let takes = |state, incarnation| {
        takes_over_at("a", &[("b", incarnation, state), ("c", 1, Alive)], &control).is_some()
    };
    assert!(!takes(Alive, 1));
    assert!(!takes(Suspect, 1), "a suspected owner may refute it");
    assert!(takes(Dead, 1));
    assert!(takes(Leaving, 1));
    assert!(takes(Alive, 2), "the incarnation that owned it has ended");
}

#[test]
fn minority_takes_nothing() {
    let control = owned_by(vm("b", 1));
    assert_eq!(takes_over_at("a", &[("b", 1, Dead), ("c", 1, Dead)], &control), None);
}

#[test]
fn lost_takeover_is_repeated() {
    let table = members("a", ms(0), &[("b", 1, Dead), ("c", 1, Alive)]);
    let control = owned_by(vm("b", 1));
    let mut plan = TakeoverPlan::new(TakeoverSettings::default(), ms(0));
    let appended: Vec<u64> = (0..60)
        .map(|step| step * 100)
        .filter(|at| !plan.plan(ms(*at), &[group()], &table, &control).is_empty())
        .collect();
    assert!(appended.len() >= 2 && appended[1] - appended[0] == 1_500, "appended at {appended:?}");
}

#[test]
fn dispatch_without_owner() {
    let settings = TakeoverSettings::default();
    let control = owned_by(vm("b", 1));
    let decide = |now, read, states: &[(&str, u64, MemberState)]| {
        let table = members("a", ms(0), states);
        ownerless(ms(now), &settings, &group(), read, &table, &control)
    };
    let dead = [("b", 1, Alive), ("b", 1, Dead), ("c", 1, Alive)];
    assert_eq!(decide(5_000, false, &dead), OwnerlessDecision::Allowed);
    assert_eq!(decide(1_000, false, &dead), OwnerlessDecision::OwnerMayBeAlive);
    assert_eq!(decide(5_000, true, &dead), OwnerlessDecision::LogUp);
    let alive = [("b", 1, Alive), ("c", 1, Alive)];
    assert_eq!(decide(5_000, false, &alive), OwnerlessDecision::OwnerMayBeAlive);
    let cut_off = [("b", 1, Dead), ("c", 1, Dead)];
    assert_eq!(decide(5_000, false, &cut_off), OwnerlessDecision::NoMajority);
}

#[test]
fn ranks_wait_after_an_outage() {
    // After an outage of the log a snapshot is overdue for all VMs; only one at a time may write
    // it.
    let mut times: Vec<u64> = VMS
        .iter()
        .map(|me| {
            let others: Vec<_> =
                VMS.iter().filter(|name| *name != me).map(|name| (*name, 1, Alive)).collect();
            let table = members(me, ms(0), &others);
            let mut plan = SnapshotPlan::new(SnapshotSettings::default(), "config", ms(0));
            plan.due(ms(899_000), 5, &table);
            let back = 2_000_000;
            let steps = (0..100).map(|step| step * 100);
            let mut due = steps.filter(|wait| plan.due(ms(back + wait), 5, &table));
            due.next().expect("every rank acts in the end")
        })
        .collect();
    times.sort_unstable();
    assert_eq!(times, [0, 3_000, 6_000]);
}
