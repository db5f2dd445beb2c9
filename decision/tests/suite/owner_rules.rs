//! Single rules of an owner, each with the failure that it prevents.

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

/// An owner with its time, and what it has to do.
struct Desk {
    owner: GroupOwner,
    now: TimePoint,
    rng: Pcg64,
    tickets: u64,
    sequence: u64,
}

impl Desk {
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

    fn give(&mut self, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.owner.handle(self.now, event, &mut self.rng, &mut actions);
        assert_eq!(self.owner.invariants().details(), &[]);
        actions
    }

    fn live(&mut self, majority: bool) -> Vec<OwnerAction> {
        self.give(OwnerEvent::VmLive { vms: vec![vm(0).vm, vm(1).vm], majority })
    }

    fn report(&mut self, engine: u32, life: u64, slots: &[&str]) -> Vec<OwnerAction> {
        self.sequence += 1;
        let slots = slots.iter().map(|slot| SlotReport { slot: (*slot).into(), running: 0 });
        let report = EngineReport {
            incarnation: ServerIncarnation(life),
            sequence: self.sequence,
            slots: slots.collect(),
            ..Default::default()
        };
        self.give(OwnerEvent::Report { server: format!("e{engine}").as_str().into(), report })
    }

    fn ask(&mut self, adapter: u64, class: RequestClass) -> Vec<OwnerAction> {
        self.ask_as(adapter, class, "t", 1_000 + self.tickets)
    }

    fn ask_as(
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
            prefix: 0,
            prompt_tokens: 1,
            max_tokens: 1,
            avoid: Vec::new(),
        };
        self.give(OwnerEvent::Reserve { ticket: self.tickets, asker: vm(0), spec })
    }

    fn tick(&mut self, later: u64) -> Vec<OwnerAction> {
        self.now = self.now.plus(later);
        self.give(OwnerEvent::Tick)
    }

    fn done(&mut self, number: u64, result: OrderResult) -> Vec<OwnerAction> {
        self.give(OwnerEvent::OrderDone { number, result })
    }

    fn release(&mut self, grant: &SlotGrant, end: GrantEnd) -> Vec<OwnerAction> {
        let call = ReleaseCall { holder: vm(0), grant: grant.id.clone(), end, tokens: 1 };
        self.give(OwnerEvent::Release(call))
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

// A caller would see its adapter vanish under its request.
// The old owner is paused with orders in hand. The new one takes over, reads a report with slots of
// epoch 1, and would grant them. The old one wakes and evicts: the engine knows no later number.
// So the new owner makes the engine know epoch 2 before it grants any of them.
#[test]
fn fence_before_grant() {
    let mut desk = Desk::new(2, 1, 2, true);
    desk.live(true);
    let fence = orders(&desk.report(0, 1, &["a1@v1#1.7"]));
    assert!(
        matches!(&fence[0].1, EngineOrder::Unload { slot } if slot.as_str().starts_with("fence#2"))
    );
    assert_eq!(grants(&desk.ask(1, RequestClass::Urgent)), &[]);
    let granted = grants(&desk.done(fence[0].0, OrderResult::Done));
    assert_eq!(granted[0].slot, SlotName::from("a1@v1#1.7"));
}

// A caller would see its adapter vanish under its request.
// The engine ignores fencing numbers. The old owner's intent to evict was in the log before the
// takeover, so its order is valid to it and may still come when it wakes.
// So the new owner does not grant that slot until the pause that we design for is over.
#[test]
fn old_intent_dooms() {
    let mut desk = Desk::new(2, 1, 1, false);
    desk.live(true);
    let evict = Some(SlotName::from("a1@v1#1.7"));
    desk.give(OwnerEvent::OldIntent { server: "e0".into(), evict });
    desk.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&desk.ask(1, RequestClass::Urgent)), &[]);
    desk.tick(121 * SECOND);
    assert_eq!(grants(&desk.ask(1, RequestClass::Urgent)).len(), 1);
}

// A caller would see its adapter vanish under its request.
// Its VM holds a grant of the old owner. The new owner does not know of it and wants the slot.
// So it evicts nothing inherited before every VM has told what it holds, and nothing held after.
#[test]
fn held_before_eviction() {
    let mut desk = Desk::new(2, 1, 1, true);
    let asked = desk.live(true);
    assert!(matches!(&asked[0], OwnerAction::AskHeld { vms } if vms.len() == 2));
    let fence = orders(&desk.report(0, 1, &["a1@v1#1.7"]))[0].0;
    desk.done(fence, OrderResult::Done);
    assert_eq!(orders(&desk.ask(2, RequestClass::Urgent)), &[]);
    let id = GrantId { group: "g".into(), epoch: OwnerEpoch(1), number: 3 };
    let held = HeldGrant {
        grant: id.clone(),
        server: "e0".into(),
        slot: "a1@v1#1.7".into(),
        fingerprint: RequestFingerprint(5),
    };
    desk.give(OwnerEvent::Held { vm: vm(0), grants: vec![held] });
    assert_eq!(orders(&desk.tick(SECOND)), &[], "one VM has not answered");
    desk.give(OwnerEvent::Held { vm: vm(1), grants: Vec::new() });
    assert_eq!(orders(&desk.tick(SECOND)), &[], "the slot is held");
    let call = ReleaseCall { holder: vm(0), grant: id, end: GrantEnd::Done, tokens: 1 };
    let freed = orders(&desk.give(OwnerEvent::Release(call)));
    assert!(matches!(freed[0].1, EngineOrder::Unload { .. }));
}

// A caller whose VM was cut off with a minority would see its adapter vanish.
// Beyond the partition VMs without an owner may use loaded slots. Without a majority in sight the
// owner therefore evicts nothing; what is loaded goes on.
#[test]
fn majority_before_eviction() {
    let mut desk = Desk::new(1, 1, 1, true);
    desk.live(true);
    for at in 0..2 {
        desk.give(OwnerEvent::Held { vm: vm(at), grants: Vec::new() });
    }
    desk.report(0, 1, &["a1@v1#1.7"]);
    desk.live(false);
    assert_eq!(orders(&desk.ask(2, RequestClass::Urgent)), &[]);
    assert_eq!(grants(&desk.ask(1, RequestClass::Urgent)).len(), 1);
}

// Callers would be sent to adapters that are not there.
// The engine restarts empty and fast. A report of its earlier life, still under way, shows the old
// adapters and arrives last. It is void: the later life was already seen.
#[test]
fn late_report_void() {
    let mut desk = Desk::new(1, 1, 2, true);
    desk.live(true);
    desk.report(0, 1, &["a1@v1#1.7"]);
    desk.report(0, 2, &[]);
    desk.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&desk.ask(1, RequestClass::Urgent)), &[]);
}

// Requests for an adapter that is loaded wait for ever, though the engine is well.
// A new owner asks for reports around an engine's restart; the answer of the earlier life comes
// after that of the later one. The owner takes the later life for ended (soak, seed 11404). A life
// that reports for longer than reports can lag is the one that runs.
#[test]
fn lives_out_of_order() {
    let mut desk = Desk::new(1, 1, 2, true);
    desk.live(true);
    desk.report(0, 2, &["a1@v1#1.7"]);
    desk.report(0, 1, &[]);
    desk.report(0, 2, &["a1@v1#1.7"]);
    assert_eq!(grants(&desk.ask(1, RequestClass::Scheduled)), &[]);
    desk.tick(6 * SECOND);
    let granted = grants(&desk.report(0, 2, &["a1@v1#1.7"]));
    assert_eq!(granted[0].slot, SlotName::from("a1@v1#1.7"));
}

// Callers would be sent to an adapter that is not there.
// Two reports of one life overtake each other; the older one arrives last and shows a slot that the
// engine has lost since. It is void by its sequence.
#[test]
fn overtaken_report_void() {
    let mut desk = Desk::new(1, 1, 2, true);
    desk.live(true);
    desk.report(0, 1, &["a1@v1#1.7"]);
    desk.report(0, 1, &[]);
    desk.tick(6 * SECOND);
    desk.sequence = 0;
    desk.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&desk.ask(1, RequestClass::Urgent)), &[]);
}

// Callers of one adapter see "load failed" at once and a time to come back; others see nothing.
// Every load of that adapter fails. Its waiting requests get their answer after the last attempt,
// new ones at once, and another adapter is loaded in between.
#[test]
fn failing_adapter() {
    let mut desk = Desk::new(1, 1, 4, true);
    desk.live(true);
    desk.report(0, 1, &[]);
    let mut order = orders(&desk.ask(1, RequestClass::Audit));
    let mut refused = Vec::new();
    for _ in 0..3 {
        refused = refusals(&desk.done(order[0].0, OrderResult::Failed));
        order = orders(&desk.tick(5 * SECOND));
    }
    assert_eq!(refused, &[(1, RefusalReason::LoadFailed)]);
    desk.ask(1, RequestClass::Urgent);
    let order = orders(&desk.ask(2, RequestClass::Audit));
    assert_eq!(grants(&desk.done(order[0].0, OrderResult::Done)).len(), 1);
}

// Callers see their answer late, but see it: the load's success was reported late.
// The order has no answer, so the slot is unknown; the engine's next report shows it.
#[test]
fn late_load() {
    let mut desk = Desk::new(1, 1, 4, true);
    desk.live(true);
    desk.report(0, 1, &[]);
    let order = orders(&desk.ask(1, RequestClass::Audit));
    let EngineOrder::Load { slot, .. } = order[0].1.clone() else { panic!("no load") };
    assert_eq!(grants(&desk.done(order[0].0, OrderResult::Unknown)), &[]);
    assert_eq!(grants(&desk.report(0, 1, &[slot.as_str()])).len(), 1);
}

// The caller of a dead VM sees nothing; a paused VM that wakes must find its slot.
// The VM is gone in the owner's view, holding a grant. The slot stays pinned for the zombie window.
#[test]
fn gone_vm_pins() {
    let mut desk = Desk::new(1, 1, 1, true);
    desk.live(true);
    desk.report(0, 1, &["a1@v1#1.7"]);
    assert_eq!(grants(&desk.ask(1, RequestClass::Urgent)).len(), 1);
    desk.give(OwnerEvent::VmGone { vm: vm(0) });
    assert_eq!(orders(&desk.ask(2, RequestClass::Audit)), &[]);
    assert_eq!(orders(&desk.tick(119 * SECOND)), &[]);
    assert_eq!(orders(&desk.ask(2, RequestClass::Audit)), &[]);
    let freed = orders(&desk.tick(2 * SECOND));
    assert!(matches!(freed[0].1, EngineOrder::Unload { .. }));
}

// Callers of a tenant that floods are refused; the other tenant's request takes its place.
// The audit queue holds four. One tenant fills it; the last of its requests gives way, and is told
// so at once.
#[test]
fn flood_gives_way() {
    let mut desk = Desk::new(1, 1, 1, true);
    desk.live(true);
    desk.report(0, 1, &[]);
    for number in 0..4 {
        assert_eq!(refusals(&desk.ask_as(1, RequestClass::Audit, "flood", number)), &[]);
    }
    let refused = refusals(&desk.ask_as(1, RequestClass::Audit, "flood", 5));
    assert_eq!(refused, &[(5, RefusalReason::Overloaded)]);
    let refused = refusals(&desk.ask_as(1, RequestClass::Audit, "small", 6));
    assert_eq!(refused, &[(4, RefusalReason::Overloaded)]);
}

// A planner's summary comes on time though its adapter was cold.
// The schedule is told ahead; the adapter is loaded with nobody waiting, kept, and used.
#[test]
fn loaded_ahead() {
    let mut desk = Desk::new(1, 1, 1, true);
    desk.live(true);
    desk.report(0, 1, &[]);
    let (due_in_ms, lead_ms) = (100_000, 60_000);
    let schedule = OwnerEvent::Schedule { adapter: version(9), due_in_ms, lead_ms };
    assert_eq!(orders(&desk.give(schedule)), &[]);
    let order = orders(&desk.tick(41 * SECOND));
    desk.done(order[0].0, OrderResult::Done);
    desk.tick(50 * MILLI);
    assert_eq!(orders(&desk.ask(2, RequestClass::Audit)), &[], "it is kept for its time");
    let granted = grants(&desk.ask(9, RequestClass::Scheduled));
    assert_eq!(granted[0].why, PlacementReason::LoadedAhead);
}

// Callers see nothing: a server that drains finishes its work and gets none.
#[test]
fn draining_idle() {
    let mut desk = Desk::new(1, 2, 1, true);
    desk.live(true);
    desk.report(0, 1, &["a1@v1#1.7"]);
    desk.report(1, 1, &["a1@v1#1.8"]);
    desk.give(OwnerEvent::ServerDraining { server: "e0".into(), draining: true });
    let granted = grants(&desk.ask(1, RequestClass::Urgent));
    assert_eq!(granted[0].server, "e1".into());
    desk.release(&granted[0], GrantEnd::Done);
    desk.give(OwnerEvent::ServerDraining { server: "e1".into(), draining: true });
    let refused = refusals(&desk.ask(1, RequestClass::Urgent));
    assert_eq!(refused[0].1, RefusalReason::NoServer);
}

// At most two servers fall to a request that crashes them, also if it is sent many times at once.
// All engines have its adapter and room. Four callers send the same request before any has crashed.
// One engine crashes; a resend comes before anybody knows why its connection broke.
#[test]
fn poison_together() {
    let mut desk = Desk::new(1, 4, 1, true);
    desk.live(true);
    for engine in 0..4 {
        desk.report(engine, 1, &[&format!("a1@v1#1.{engine}")]);
    }
    let mut granted = Vec::new();
    for _ in 0..4 {
        granted.extend(grants(&desk.ask_as(1, RequestClass::Urgent, "t", 666)));
    }
    let mut servers: Vec<_> = granted.iter().map(|grant| grant.server.clone()).collect();
    servers.sort();
    servers.dedup();
    assert_eq!(servers.len(), 2);
    let (first, rest): (Vec<_>, Vec<_>) =
        granted.iter().partition(|grant| grant.server == servers[0]);
    for grant in &first {
        assert_eq!(grants(&desk.release(grant, GrantEnd::Broken)), &[]);
    }
    assert_eq!(grants(&desk.ask_as(1, RequestClass::Urgent, "t", 666)), &[], "others still run");
    for grant in &rest {
        assert_eq!(grants(&desk.release(grant, GrantEnd::Broken)), &[]);
    }
    assert_eq!(grants(&desk.ask_as(1, RequestClass::Urgent, "t", 666)), &[], "two are broken");
    assert_eq!(grants(&desk.ask_as(1, RequestClass::Urgent, "t", 7)).len(), 1, "others go on");
    let mut refused = Vec::new();
    for server in &servers {
        let engine = server.as_str()[1..].parse().expect("a number");
        refused.extend(refusals(&desk.report(engine, 2, &[])));
    }
    desk.tick(SECOND);
    let last = refusals(&desk.ask_as(1, RequestClass::Urgent, "t", 666));
    assert_eq!(last[0].1, RefusalReason::Condemned);
}

// A request whose connection broke for another reason is not held against it.
// The engine goes on in the same life, and says so after the settling time: the request runs as any
// other again.
#[test]
fn broken_connection_settles() {
    let mut desk = Desk::new(1, 1, 1, true);
    desk.live(true);
    desk.report(0, 1, &["a1@v1#1.7"]);
    let granted = grants(&desk.ask_as(1, RequestClass::Urgent, "t", 5));
    desk.release(&granted[0], GrantEnd::Broken);
    let again = grants(&desk.ask_as(1, RequestClass::Urgent, "t", 5));
    assert_eq!(again[0].why, PlacementReason::Isolated);
    desk.release(&again[0], GrantEnd::Done);
    desk.tick(2 * SECOND);
    desk.report(0, 1, &["a1@v1#1.7"]);
    let settled = grants(&desk.ask_as(1, RequestClass::Urgent, "t", 5));
    assert_eq!(settled[0].why, PlacementReason::Loaded);
}
