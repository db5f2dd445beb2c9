//! Unit tests of the owner's rules; each names the failure that the rule prevents.

use coltsfoothook_decision::grant::{GrantEnd, GrantId, HeldGrant, ReleaseCall, SlotGrant};
use coltsfoothook_decision::grant::{PlacementReason, RequestSpec};
use coltsfoothook_decision::id::{
    OwnerEpoch, RequestFingerprint, ServerIncarnation, SlotName, TimePoint,
};
use coltsfoothook_decision::manifest::{ClassEntry, PlacementPolicy};
use coltsfoothook_decision::outcome::{RefusalReason, RequestClass};
use coltsfoothook_decision::owner::{
    EngineInfo, EngineOrder, GroupOwner, GroupTopology, OrderResult, OwnerAction, OwnerEvent,
    OwnerSettings, StoreShare,
};
use coltsfoothook_decision::report::{EngineReport, SlotReport};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

use crate::owner_world::{MILLI, SECOND, version, vm};

/// An owner with a virtual clock, driven event by event.
struct OwnerHarness {
    owner: GroupOwner,
    now: TimePoint,
    rng: Pcg64,
    tickets: u64,
    sequence: u64,
}

impl OwnerHarness {
    fn new(epoch: u64, engines: u32, slots: u32, checks_fencing: bool) -> Self {
        let engine = |number: u32| EngineInfo {
            server: format!("e{number}").as_str().into(),
            adapter_slots: slots,
            batch_slots: 2,
            checks_fencing,
        };
        let audit = ClassEntry { class: RequestClass::Audit, deadline_ms: 60_000, queue: 4 };
        let topology = GroupTopology {
            group: "g".into(),
            engines: (0..engines).map(engine).collect(),
            store: StoreShare { loads_per_s: 100.0, full_speed: 4 },
            classes: vec![audit],
            policy: PlacementPolicy { stall_weight: 1.0, ..Default::default() },
            ..Default::default()
        };
        let settings = OwnerSettings { urgent_reserve_percent: 0, ..Default::default() };
        let now = TimePoint(SECOND);
        let owner = GroupOwner::new(settings, topology, OwnerEpoch(epoch), now);
        let rng = Pcg64::seed_from_u64(1);
        Self { owner, now, rng, tickets: 0, sequence: 0 }
    }

    fn handle(&mut self, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.owner.handle(self.now, event, &mut self.rng, &mut actions);
        assert_eq!(self.owner.invariants().details(), &[]);
        actions
    }

    fn set_live(&mut self, majority: bool) -> Vec<OwnerAction> {
        self.handle(OwnerEvent::ListedVms { vms: vec![vm(0).vm, vm(1).vm], majority })
    }

    fn report(&mut self, engine: u32, incarnation: u64, slots: &[&str]) -> Vec<OwnerAction> {
        self.sequence += 1;
        let slots = slots.iter().map(|slot| SlotReport { slot: (*slot).into(), running: 0 });
        let report = EngineReport {
            leaving: false,
            incarnation: ServerIncarnation(incarnation),
            sequence: self.sequence,
            slots: slots.collect(),
            ..Default::default()
        };
        self.handle(OwnerEvent::Report { server: format!("e{engine}").as_str().into(), report })
    }

    fn reserve(&mut self, adapter: u64, class: RequestClass) -> Vec<OwnerAction> {
        self.reserve_as(adapter, class, "t", 1_000 + self.tickets)
    }

    fn reserve_as(
        &mut self,
        adapter: u64,
        class: RequestClass,
        tenant: &str,
        fingerprint: u64,
    ) -> Vec<OwnerAction> {
        self.tickets += 1;
        let spec = RequestSpec {
            id: "r".into(),
            tenant: tenant.into(),
            adapter: version(adapter),
            model: "base".into(),
            class,
            deadline_left_ms: Some(60_000),
            repeatable: true,
            fingerprint: RequestFingerprint(fingerprint),
            parts: Vec::new(),
            prefix: 0,
            prompt_tokens: 1,
            max_tokens: 1,
            avoid: Vec::new(),
        };
        self.handle(OwnerEvent::Reserve { ticket: self.tickets, requester: vm(0), spec })
    }

    fn tick(&mut self, elapsed: u64) -> Vec<OwnerAction> {
        self.now = self.now.plus(elapsed);
        self.handle(OwnerEvent::Tick)
    }

    fn order_done(&mut self, number: u64, result: OrderResult) -> Vec<OwnerAction> {
        self.handle(OwnerEvent::OrderDone { number, result })
    }

    fn release(&mut self, grant: &SlotGrant, end: GrantEnd) -> Vec<OwnerAction> {
        let call = ReleaseCall { holder: vm(0), grant: grant.id.clone(), end, tokens: 1 };
        self.handle(OwnerEvent::Release(call))
    }
}

fn orders(actions: &[OwnerAction]) -> Vec<(u64, EngineOrder)> {
    let order = |action: &OwnerAction| match action {
        OwnerAction::SendOrder { number, order, .. } => Some((*number, order.clone())),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

fn grants(actions: &[OwnerAction]) -> Vec<SlotGrant> {
    let grant = |action: &OwnerAction| match action {
        OwnerAction::Grant { grant, .. } => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn refusals(actions: &[OwnerAction]) -> Vec<(u64, RefusalReason)> {
    let refusal = |action: &OwnerAction| match action {
        OwnerAction::Refuse { ticket, refusal } => Some((*ticket, refusal.reason)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

// Guards against eviction by a paused old owner that resumes after a takeover: until the engine has
// seen epoch 2, it accepts orders of epoch 1, so the new owner must not grant inherited slots.
#[test]
fn fence_before_grant() {
    let mut harness = OwnerHarness::new(2, 1, 2, true);
    harness.set_live(true);
    let fence = orders(&harness.report(0, 1, &["a1@v1#1.7"]));
    assert!(
        matches!(&fence[0].1, EngineOrder::Unload { slot } if slot.as_str().starts_with("fence#2"))
    );
    assert_eq!(grants(&harness.reserve(1, RequestClass::Urgent)), &[]);
    let granted = grants(&harness.order_done(fence[0].0, OrderResult::Done));
    assert_eq!(granted[0].slot, SlotName::from("a1@v1#1.7"));
}

// Guards against eviction by a valid old intent on an engine without fencing: the paused old owner
// may still send its order, so the slot is not granted until the zombie window has passed.
#[test]
fn old_intent_dooms() {
    let mut harness = OwnerHarness::new(2, 1, 1, false);
    harness.set_live(true);
    let evict = Some(SlotName::from("a1@v1#1.7"));
    harness.handle(OwnerEvent::EarlierIntent { server: "e0".into(), evict });
    harness.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&harness.reserve(1, RequestClass::Urgent)), &[]);
    harness.tick(121 * SECOND);
    assert_eq!(grants(&harness.reserve(1, RequestClass::Urgent)).len(), 1);
}

// Guards against eviction of a slot that is in use by a grant of the old owner: nothing inherited
// is evicted before all VMs have reported their grants, and no reported slot before its release.
#[test]
fn held_before_eviction() {
    let mut harness = OwnerHarness::new(2, 1, 1, true);
    let queries = harness.set_live(true);
    assert!(matches!(&queries[0], OwnerAction::QueryHeldGrants { vms } if vms.len() == 2));
    let fence = orders(&harness.report(0, 1, &["a1@v1#1.7"]))[0].0;
    harness.order_done(fence, OrderResult::Done);
    assert_eq!(orders(&harness.reserve(2, RequestClass::Urgent)), &[]);
    let id = GrantId { group: "g".into(), epoch: OwnerEpoch(1), number: 3 };
    let held = HeldGrant {
        grant: id.clone(),
        server: "e0".into(),
        slot: "a1@v1#1.7".into(),
        fingerprint: RequestFingerprint(5),
    };
    harness.handle(OwnerEvent::GrantsReported { vm: vm(0), grants: vec![held] });
    assert_eq!(orders(&harness.tick(SECOND)), &[], "one VM has not answered");
    harness.handle(OwnerEvent::GrantsReported { vm: vm(1), grants: Vec::new() });
    assert_eq!(orders(&harness.tick(SECOND)), &[], "the slot is held");
    let call = ReleaseCall { holder: vm(0), grant: id, end: GrantEnd::Done, tokens: 1 };
    let freed = orders(&harness.handle(OwnerEvent::Release(call)));
    assert!(matches!(freed[0].1, EngineOrder::Unload { .. }));
}

// Guards against eviction in a partition: VMs on the other side may dispatch to loaded slots
// without an owner. An owner that sees no majority evicts nothing, but still grants loaded slots.
#[test]
fn majority_before_eviction() {
    let mut harness = OwnerHarness::new(1, 1, 1, true);
    harness.set_live(true);
    for at in 0..2 {
        harness.handle(OwnerEvent::GrantsReported { vm: vm(at), grants: Vec::new() });
    }
    harness.report(0, 1, &["a1@v1#1.7"]);
    harness.set_live(false);
    assert_eq!(orders(&harness.reserve(2, RequestClass::Urgent)), &[]);
    assert_eq!(grants(&harness.reserve(1, RequestClass::Urgent)).len(), 1);
}

// Guards against grants on slots that a restart lost: a report of the engine's earlier incarnation
// that arrives after one of the later incarnation is ignored.
#[test]
fn late_report_void() {
    let mut harness = OwnerHarness::new(1, 1, 2, true);
    harness.set_live(true);
    harness.report(0, 1, &["a1@v1#1.7"]);
    harness.report(0, 2, &[]);
    harness.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&harness.reserve(1, RequestClass::Urgent)), &[]);
}

// Guards against requests that wait forever: a new owner that receives the report of the earlier
// incarnation last considers the later one ended. An incarnation that still reports after the
// maximum report lag is the running one.
#[test]
fn lives_out_of_order() {
    let mut harness = OwnerHarness::new(1, 1, 2, true);
    harness.set_live(true);
    harness.report(0, 2, &["a1@v1#1.7"]);
    harness.report(0, 1, &[]);
    harness.report(0, 2, &["a1@v1#1.7"]);
    assert_eq!(grants(&harness.reserve(1, RequestClass::Scheduled)), &[]);
    harness.tick(6 * SECOND);
    let granted = grants(&harness.report(0, 2, &["a1@v1#1.7"]));
    assert_eq!(granted[0].slot, SlotName::from("a1@v1#1.7"));
}

// Guards against grants on a slot that the engine has lost: an older report of the same incarnation
// that arrives last is ignored because of its sequence.
#[test]
fn reordered_report_ignored() {
    let mut harness = OwnerHarness::new(1, 1, 2, true);
    harness.set_live(true);
    harness.report(0, 1, &["a1@v1#1.7"]);
    harness.report(0, 1, &[]);
    harness.tick(6 * SECOND);
    harness.sequence = 0;
    harness.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&harness.reserve(1, RequestClass::Urgent)), &[]);
}

// If every load of an adapter fails, its queued requests are refused after the last attempt and new
// ones immediately, while other adapters are still loaded.
#[test]
fn failing_adapter() {
    let mut harness = OwnerHarness::new(1, 1, 4, true);
    harness.set_live(true);
    harness.report(0, 1, &[]);
    let mut order = orders(&harness.reserve(1, RequestClass::Audit));
    let mut refused = Vec::new();
    for _ in 0..3 {
        refused = refusals(&harness.order_done(order[0].0, OrderResult::Failed));
        order = orders(&harness.tick(5 * SECOND));
    }
    assert_eq!(refused, &[(1, RefusalReason::LoadFailed)]);
    harness.reserve(1, RequestClass::Urgent);
    let order = orders(&harness.reserve(2, RequestClass::Audit));
    assert_eq!(grants(&harness.order_done(order[0].0, OrderResult::Done)).len(), 1);
}

// Guards against a lost request when a load order gets no answer: the slot is unknown until the
// engine's next report shows that the load succeeded.
#[test]
fn late_load() {
    let mut harness = OwnerHarness::new(1, 1, 4, true);
    harness.set_live(true);
    harness.report(0, 1, &[]);
    let order = orders(&harness.reserve(1, RequestClass::Audit));
    let EngineOrder::Load { slot, .. } = order[0].1.clone() else { panic!("no load") };
    assert_eq!(grants(&harness.order_done(order[0].0, OrderResult::Unknown)), &[]);
    assert_eq!(grants(&harness.report(0, 1, &[slot.as_str()])).len(), 1);
}

// Guards against eviction under a VM that is paused and considered dead: the slot of its grant
// stays pinned for the zombie window.
#[test]
fn gone_vm_pins() {
    let mut harness = OwnerHarness::new(1, 1, 1, true);
    harness.set_live(true);
    harness.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&harness.reserve(1, RequestClass::Urgent)).len(), 1);
    harness.handle(OwnerEvent::VmDead { vm: vm(0) });
    assert_eq!(orders(&harness.reserve(2, RequestClass::Audit)), &[]);
    assert_eq!(orders(&harness.tick(119 * SECOND)), &[]);
    assert_eq!(orders(&harness.reserve(2, RequestClass::Audit)), &[]);
    let freed = orders(&harness.tick(2 * SECOND));
    assert!(matches!(freed[0].1, EngineOrder::Unload { .. }));
}

// Guards against one tenant that fills the audit queue of four: another tenant's request displaces
// the last one of the flooding tenant, which is refused immediately.
#[test]
fn flood_gives_way() {
    let mut harness = OwnerHarness::new(1, 1, 1, true);
    harness.set_live(true);
    harness.report(0, 1, &[]);
    for number in 0..4 {
        assert_eq!(refusals(&harness.reserve_as(1, RequestClass::Audit, "flood", number)), &[]);
    }
    let refused = refusals(&harness.reserve_as(1, RequestClass::Audit, "flood", 5));
    assert_eq!(refused, &[(5, RefusalReason::Overloaded)]);
    let refused = refusals(&harness.reserve_as(1, RequestClass::Audit, "small", 6));
    assert_eq!(refused, &[(4, RefusalReason::Overloaded)]);
}

// The adapter of a scheduled summary is loaded ahead, without a waiting request, and kept until the
// summary has run.
#[test]
fn loaded_ahead() {
    let mut harness = OwnerHarness::new(1, 1, 1, true);
    harness.set_live(true);
    harness.report(0, 1, &[]);
    let (due_in_ms, lead_ms) = (100_000, 60_000);
    let schedule = OwnerEvent::Schedule { adapter: version(9), due_in_ms, lead_ms };
    assert_eq!(orders(&harness.handle(schedule)), &[]);
    let order = orders(&harness.tick(41 * SECOND));
    harness.order_done(order[0].0, OrderResult::Done);
    harness.tick(50 * MILLI);
    assert_eq!(
        orders(&harness.reserve(2, RequestClass::Audit)),
        &[],
        "the scheduled adapter is kept"
    );
    let granted = grants(&harness.reserve(9, RequestClass::Scheduled));
    assert_eq!(granted[0].reason, PlacementReason::LoadedAhead);
}

// A draining server gets no new grants; if all drain, requests are refused.
#[test]
fn draining_idle() {
    let mut harness = OwnerHarness::new(1, 2, 1, true);
    harness.set_live(true);
    harness.report(0, 1, &["a1@v1#1.7"]);
    harness.report(1, 1, &["a1@v1#1.8"]);
    harness.handle(OwnerEvent::ServerDraining { server: "e0".into(), draining: true });
    let granted = grants(&harness.reserve(1, RequestClass::Urgent));
    assert_eq!(granted[0].server, "e1".into());
    harness.release(&granted[0], GrantEnd::Done);
    harness.handle(OwnerEvent::ServerDraining { server: "e1".into(), draining: true });
    let refused = refusals(&harness.reserve(1, RequestClass::Urgent));
    assert_eq!(refused[0].1, RefusalReason::NoServer);
}

// A poison request crashes at most two servers, even if four callers send it before the first crash
// and it is repeated before the owner knows why a connection broke.
#[test]
fn poison_together() {
    let mut harness = OwnerHarness::new(1, 4, 1, true);
    harness.set_live(true);
    for engine in 0..4 {
        harness.report(engine, 1, &[&format!("a1@v1#1.{engine}")]);
    }
    let mut granted = Vec::new();
    for _ in 0..4 {
        granted.extend(grants(&harness.reserve_as(1, RequestClass::Urgent, "t", 666)));
    }
    let mut servers: Vec<_> = granted.iter().map(|grant| grant.server.clone()).collect();
    servers.sort();
    servers.dedup();
    assert_eq!(servers.len(), 2);
    let (first, rest): (Vec<_>, Vec<_>) =
        granted.iter().partition(|grant| grant.server == servers[0]);
    for grant in &first {
        assert_eq!(grants(&harness.release(grant, GrantEnd::Broken)), &[]);
    }
    assert_eq!(
        grants(&harness.reserve_as(1, RequestClass::Urgent, "t", 666)),
        &[],
        "other attempts still run"
    );
    for grant in &rest {
        assert_eq!(grants(&harness.release(grant, GrantEnd::Broken)), &[]);
    }
    assert_eq!(
        grants(&harness.reserve_as(1, RequestClass::Urgent, "t", 666)),
        &[],
        "two connections are broken"
    );
    assert_eq!(
        grants(&harness.reserve_as(1, RequestClass::Urgent, "t", 7)).len(),
        1,
        "other requests are granted"
    );
    let mut refused = Vec::new();
    for server in &servers {
        let engine = server.as_str()[1..].parse().expect("a number");
        refused.extend(refusals(&harness.report(engine, 2, &[])));
    }
    harness.tick(SECOND);
    let last = refusals(&harness.reserve_as(1, RequestClass::Urgent, "t", 666));
    assert_eq!(last[0].1, RefusalReason::Condemned);
}

// A broken connection without a crash does not make a request a suspect for good: once the engine
// reports the same incarnation after the settling time, the request runs like any other.
#[test]
fn broken_connection_settles() {
    let mut harness = OwnerHarness::new(1, 1, 1, true);
    harness.set_live(true);
    harness.report(0, 1, &["a1@v1#1.7"]);
    let granted = grants(&harness.reserve_as(1, RequestClass::Urgent, "t", 5));
    harness.release(&granted[0], GrantEnd::Broken);
    let again = grants(&harness.reserve_as(1, RequestClass::Urgent, "t", 5));
    assert_eq!(again[0].reason, PlacementReason::Isolated);
    harness.release(&again[0], GrantEnd::Done);
    harness.tick(2 * SECOND);
    harness.report(0, 1, &["a1@v1#1.7"]);
    let settled = grants(&harness.reserve_as(1, RequestClass::Urgent, "t", 5));
    assert_eq!(settled[0].reason, PlacementReason::Loaded);
}
