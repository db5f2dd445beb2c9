//! Adapter that runs the group owner of the `decision` package in the model.

use coltsfoothook_decision::grant::{GrantEnd, GrantId, ReleaseCall, RequestSpec};
use coltsfoothook_decision::id::{
    AdapterVersion, OwnerEpoch, RequestFingerprint, ServerIncarnation, ServerName, SlotName,
    TimePoint, VmIdentity, VmIncarnation,
};
use coltsfoothook_decision::manifest::{ClassEntry, PlacementPolicy};
use coltsfoothook_decision::outcome::RequestClass;
use coltsfoothook_decision::owner::{
    EngineInfo, EngineOrder, GroupOwner, GroupTopology, OrderResult, OwnerAction, OwnerEvent,
    OwnerSettings, StoreShare,
};
use coltsfoothook_decision::report::{EngineReport, SlotReport};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

use crate::model::{PlaceModel, RequestPlacer, class_deadline};

/// A group owner with the state that the entry process keeps around it.
pub(crate) struct OwnerPlacer {
    owner: GroupOwner,
    rng: Pcg64,
    /// The grant and engine of each running request.
    grants: Vec<Option<(GrantId, usize)>>,
    /// The loaded slots of each engine.
    slots: Vec<Vec<SlotName>>,
    /// Loads in progress: load, order number, engine, its incarnation, slot.
    loads: Vec<(u64, u64, usize, u32, SlotName)>,
    sequence: u64,
    reported_at: u64,
    next_load: u64,
    /// The request of each ticket.
    ticket_requests: Vec<usize>,
}

/// Interval between reports of the engines.
const REPORT_INTERVAL_MICROS: u64 = 500_000;
/// Time before a handover at which its adapter may be loaded.
const LEAD_MS: u64 = 180_000;
/// Time before a handover at which the owner receives its schedule.
const SCHEDULE_NOTICE_MICROS: u64 = 200_000_000;

impl OwnerPlacer {
    pub(crate) fn new(model: &PlaceModel, seed: u64) -> Self {
        let shape = &model.shape;
        let engine = |at: u32| EngineInfo {
            server: server(at as usize),
            adapter_slots: shape.slots,
            batch_slots: shape.batch,
            checks_fencing: true,
        };
        let topology = GroupTopology {
            group: "compare".into(),
            engines: (0..shape.servers).map(engine).collect(),
            store: StoreShare { loads_per_s: shape.loads_per_s, full_speed: shape.full_speed },
            classes: RequestClass::ALL
                .map(|class| {
                    let deadline_ms = class_deadline(class) / 1_000;
                    ClassEntry { class, deadline_ms, queue: 100_000 }
                })
                .to_vec(),
            tenants: Vec::new(),
            policy: PlacementPolicy { stall_weight: shape.stall_weight, ..Default::default() },
        };
        let owner =
            GroupOwner::new(OwnerSettings::default(), topology, OwnerEpoch(1), TimePoint(0));
        Self {
            owner,
            rng: Pcg64::seed_from_u64(seed),
            grants: vec![None; model.arrivals.len()],
            slots: vec![Vec::new(); model.engines.len()],
            loads: Vec::new(),
            sequence: 0,
            reported_at: 0,
            next_load: 0,
            ticket_requests: Vec::new(),
        }
    }

    /// Returns the number of invariant violations that the owner counted.
    pub(crate) fn violations(&self) -> u64 {
        self.owner.invariants().violated()
    }

    fn deliver(&mut self, model: &mut PlaceModel, event: OwnerEvent) {
        let mut actions = Vec::new();
        self.owner.handle(TimePoint(model.now), event, &mut self.rng, &mut actions);
        for action in actions {
            self.act(model, action);
        }
    }

    fn act(&mut self, model: &mut PlaceModel, action: OwnerAction) {
        match action {
            OwnerAction::Grant { ticket, grant } => {
                let request = self.ticket_requests[ticket as usize];
                let engine = engine_of(&grant.server);
                model.results[request].stall_us += grant.stall_ms * 1_000;
                self.grants[request] = Some((grant.id, engine));
                model.start(request, engine);
            }
            OwnerAction::Refuse { ticket, .. } => {
                model.give_up(self.ticket_requests[ticket as usize]);
            }
            OwnerAction::SendOrder { number, server, order, .. } => {
                let engine = engine_of(&server);
                match order {
                    EngineOrder::Unload { slot } => {
                        self.slots[engine].retain(|loaded| *loaded != slot);
                        let result = OrderResult::Done;
                        self.deliver(model, OwnerEvent::OrderDone { number, result });
                    }
                    EngineOrder::Load { slot, .. } => {
                        self.next_load += 1;
                        let incarnation = model.engines[engine].incarnation;
                        self.loads.push((self.next_load, number, engine, incarnation, slot));
                        model.load(self.next_load);
                    }
                }
            }
            _ => {}
        }
    }

    fn report(&mut self, model: &mut PlaceModel) {
        self.sequence += 1;
        for engine in 0..self.slots.len() {
            let slots = self.slots[engine].iter();
            let report = EngineReport {
                leaving: false,
                incarnation: ServerIncarnation(u64::from(model.engines[engine].incarnation) + 1),
                sequence: self.sequence,
                running: model.running(engine) as u32,
                waiting: 0,
                slots: slots.map(|slot| SlotReport { slot: slot.clone(), running: 0 }).collect(),
            };
            let server = server(engine);
            self.deliver(model, OwnerEvent::Report { server, report });
        }
    }

    /// Sends the schedules of handovers that came within the notice time since the last report.
    fn send_schedules(&mut self, model: &mut PlaceModel) {
        let horizon = model.now + SCHEDULE_NOTICE_MICROS;
        let sent = model.now + SCHEDULE_NOTICE_MICROS - REPORT_INTERVAL_MICROS;
        let due: Vec<(u32, u64)> = model
            .arrivals
            .iter()
            .filter(|arrival| arrival.handover && (sent..horizon).contains(&arrival.at))
            .map(|arrival| (arrival.adapter, arrival.at))
            .collect();
        for (number, at) in due {
            let due_in_ms = (at - model.now) / 1_000;
            let adapter = adapter(number);
            let event = OwnerEvent::Schedule { adapter, due_in_ms, lead_ms: LEAD_MS };
            self.deliver(model, event);
        }
    }
}

impl RequestPlacer for OwnerPlacer {
    fn arrive(&mut self, model: &mut PlaceModel, request: usize) {
        let arrival = model.arrivals[request];
        let remaining = model.deadline_us(request).saturating_sub(model.now);
        let spec = RequestSpec {
            id: "r".into(),
            tenant: "t".into(),
            adapter: adapter(arrival.adapter),
            model: "base".into(),
            class: arrival.class,
            deadline_left_ms: Some(remaining / 1_000),
            repeatable: true,
            fingerprint: RequestFingerprint(request as u64),
            parts: Vec::new(),
            prefix: 0,
            prompt_tokens: 100,
            max_tokens: arrival.tokens,
            avoid: Vec::new(),
        };
        let ticket = self.ticket_requests.len() as u64;
        self.ticket_requests.push(request);
        self.deliver(model, OwnerEvent::Reserve { ticket, requester: requester(), spec });
    }

    fn finished(&mut self, model: &mut PlaceModel, request: usize) {
        self.release(model, request, GrantEnd::Done);
    }

    fn loaded(&mut self, model: &mut PlaceModel, load: u64) {
        let Some(at) = self.loads.iter().position(|running| running.0 == load) else { return };
        let (_, number, engine, incarnation, slot) = self.loads.swap_remove(at);
        if model.engines[engine].incarnation == incarnation {
            self.slots[engine].push(slot);
        }
        let result = OrderResult::Done;
        self.deliver(model, OwnerEvent::OrderDone { number, result });
    }

    fn restarted(&mut self, model: &mut PlaceModel, engine: usize, lost: &[usize]) {
        self.slots[engine].clear();
        for &request in lost {
            self.release(model, request, GrantEnd::Broken);
        }
        self.report(model);
    }

    fn tick(&mut self, model: &mut PlaceModel) {
        if self.reported_at == 0 || model.now >= self.reported_at + REPORT_INTERVAL_MICROS {
            self.reported_at = model.now.max(1);
            let event = OwnerEvent::ListedVms { vms: vec![requester().vm], majority: true };
            self.deliver(model, event);
            self.report(model);
            self.send_schedules(model);
        }
        self.deliver(model, OwnerEvent::Tick);
    }
}

impl OwnerPlacer {
    fn release(&mut self, model: &mut PlaceModel, request: usize, end: GrantEnd) {
        let Some((grant, _)) = self.grants[request].take() else { return };
        let tokens = model.arrivals[request].tokens;
        let call = ReleaseCall { holder: requester(), grant, end, tokens };
        self.deliver(model, OwnerEvent::Release(call));
    }
}

fn server(at: usize) -> ServerName {
    ServerName(format!("{at:04}"))
}

fn engine_of(server: &ServerName) -> usize {
    server.as_str().parse().unwrap_or(0)
}

fn adapter(number: u32) -> AdapterVersion {
    AdapterVersion { adapter: format!("a{number}").as_str().into(), version: "v1".into() }
}

fn requester() -> VmIdentity {
    VmIdentity { vm: "vm".into(), incarnation: VmIncarnation(1) }
}
