//! Owner of a group: admits requests to the group's engines and orders loads and evictions there.
//!
//! The owner is a state machine without clock or I/O. Its process turns messages and timers into
//! [`OwnerEvent`]s and executes the [`OwnerAction`]s. This module admits requests and releases
//! their grants; `placement` chooses slots, `plan` plans loads, `order` sends the orders for them,
//! `fleet` tracks the state of engines and VMs, `topology` defines the configuration of a group,
//! and `event` the events and actions. See docs/PLACEMENT.md for the design.
//!
//! ```
//! use coltsfoothook_decision::id::{OwnerEpoch, TimePoint};
//! use coltsfoothook_decision::owner::{GroupOwner, GroupTopology, OwnerEvent, OwnerSettings};
//! use rand_pcg::{Pcg64, rand_core::SeedableRng};
//!
//! let topology = GroupTopology { group: "nbo/base/000".into(), ..Default::default() };
//! let now = TimePoint(0);
//! let mut owner = GroupOwner::new(OwnerSettings::default(), topology, OwnerEpoch(1), now);
//! let mut actions = Vec::new();
//! owner.handle(now, OwnerEvent::Tick, &mut Pcg64::seed_from_u64(1), &mut actions);
//! assert!(actions.is_empty());
//! ```

use rand::Rng;

use crate::adapter::AdapterTable;
pub use crate::adapter::{AdapterIndex, SlotChoice};
use crate::crash::{CrashChange, CrashLedger, CrashReport};
pub use crate::event::{EngineOrder, OrderResult, OwnerAction, OwnerEvent, OwnerNote};
use crate::fleet::{ForeignGrant, PendingHolder};
use crate::grant::{
    GrantEnd, GrantId, GrantRefusal, PlacementReason, ReleaseCall, RequestSpec, SlotGrant,
};
use crate::id::{
    AdapterVersion, MICROS_PER_MILLI, OwnerEpoch, PartFingerprint, RequestFingerprint, ServerName,
    SlotName, TimePoint, VmIdentity,
};
use crate::invariant::{InvariantLog, InvariantName};
use crate::load::{LoadBudget, LoadOrder};
use crate::manifest::ClassEntry;
use crate::outcome::{RefusalReason, RequestClass};
pub use crate::placement::SlotQuery;
use crate::queue::{ArrivingRequest, WaitQueue, WaitingRequest};
use crate::slot::{BrokenRun, EngineState, SlotPhase};
use crate::suspect::{CrashSubject, SuspectTracker, SuspectVerdict};
pub use crate::topology::{
    EngineInfo, GroupTopology, OwnerSettings, StoreShare, TenantShare, class_defaults,
};
use crate::trial::hold_us;

/// A grant that has not been released.
#[derive(Clone, Debug)]
pub(crate) struct GrantState {
    pub(crate) number: u64,
    pub(crate) holder: VmIdentity,
    pub(crate) choice: SlotChoice,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) parts: Vec<PartFingerprint>,
    pub(crate) suspect: bool,
    /// Whether parts of its prompt are quarantined and it shows if they still crash engines.
    pub(crate) on_trial: bool,
    pub(crate) granted: TimePoint,
    /// When its VM was found to be dead; `None` while the VM is live.
    pub(crate) orphaned: Option<TimePoint>,
}

/// An adapter load required by a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledLoad {
    /// When the scheduled requests are due.
    pub(crate) due: TimePoint,
    /// From when the adapter may be loaded for them and is kept.
    pub(crate) from: TimePoint,
    pub(crate) adapter: u32,
}

/// Owner statistics for metrics and `status`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerFigures {
    /// Queued requests, by class.
    pub waiting: [u32; RequestClass::ALL.len()],
    /// Grants not yet released.
    pub grants: u32,
    /// Slots with a loaded adapter.
    pub loaded: u32,
    /// Loads in flight.
    pub loading: u32,
    /// Engines that take new work.
    pub usable: u32,
    /// Engines with at least one grant in use.
    pub busy: u32,
}

/// State of a slot, for `status` and `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotView {
    /// The engine that has the slot.
    pub server: ServerName,
    /// The slot's name at the engine.
    pub slot: SlotName,
    /// Whether grants may use it.
    pub ready: bool,
    /// Grants that pin it.
    pub grants: u32,
}

/// Owner state of one group, for one ownership epoch.
#[derive(Clone, Debug)]
pub struct GroupOwner {
    pub(crate) settings: OwnerSettings,
    pub(crate) topology: GroupTopology,
    pub(crate) epoch: OwnerEpoch,
    pub(crate) engines: Vec<EngineState>,
    pub(crate) adapters: AdapterTable,
    pub(crate) queue: WaitQueue,
    pub(crate) grants: Vec<GrantState>,
    /// Grants of earlier epochs that VMs have reported.
    pub(crate) foreign: Vec<ForeignGrant>,
    pub(crate) orders: Vec<LoadOrder>,
    pub(crate) budget: LoadBudget,
    /// Loads required by schedules, sorted by due time.
    pub(crate) scheduled_loads: Vec<ScheduledLoad>,
    pub(crate) suspects: SuspectTracker,
    /// Crashes of the group's engines and the parts of prompts that they are attributed to. The next owner reads them
    /// from the control stream.
    pub(crate) quarantine: CrashLedger,
    /// Revision of `quarantine` that was recorded last.
    recorded_quarantine: u64,
    /// VMs queried for their grants of earlier epochs.
    pub(crate) vms: Vec<PendingHolder>,
    pub(crate) vms_known: bool,
    /// When VMs were last queried for their grants of earlier epochs.
    pub(crate) held_queried_at: TimePoint,
    /// Whether slots inherited from earlier epochs may be evicted.
    pub(crate) inherited_evictable: bool,
    pub(crate) majority: bool,
    pub(crate) log_writable: bool,
    pub(crate) deposed: bool,
    pub(crate) next_number: u64,
    /// Moving average of the time of a load.
    pub(crate) load_ms: f64,
    /// Moving average of the time from a grant to its successful release.
    pub(crate) service_ms: f64,
    pub(crate) invariants: InvariantLog,
}

/// Weight of a new sample in an exponential moving average.
const MEAN_SMOOTHING: f64 = 0.05;

impl GroupOwner {
    /// Starts ownership of `topology`'s group in `epoch`. Loaded adapters become known from engine
    /// reports, and grants of earlier epochs from the reports of the VMs that hold them.
    #[must_use]
    pub fn new(
        settings: OwnerSettings,
        topology: GroupTopology,
        epoch: OwnerEpoch,
        now: TimePoint,
    ) -> Self {
        let mut owner = Self {
            budget: LoadBudget::new(topology.store, now),
            load_ms: settings.initial_load_ms as f64,
            service_ms: settings.initial_service_ms as f64,
            settings,
            topology: GroupTopology::default(),
            epoch,
            engines: Vec::new(),
            adapters: AdapterTable::default(),
            queue: WaitQueue::default(),
            grants: Vec::new(),
            foreign: Vec::new(),
            orders: Vec::new(),
            scheduled_loads: Vec::new(),
            suspects: SuspectTracker::default(),
            quarantine: CrashLedger::default(),
            recorded_quarantine: 0,
            vms: Vec::new(),
            vms_known: false,
            held_queried_at: TimePoint::default(),
            inherited_evictable: false,
            majority: false,
            log_writable: true,
            deposed: false,
            next_number: 1,
            invariants: InvariantLog::default(),
        };
        owner.set_topology(topology);
        owner
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: TimePoint,
        event: OwnerEvent,
        rng: &mut dyn Rng,
        actions: &mut Vec<OwnerAction>,
    ) {
        match event {
            OwnerEvent::Reserve { ticket, requester, spec } => {
                self.reserve(now, ticket, requester, spec, actions);
            }
            OwnerEvent::Withdraw { ticket } => self.withdraw(ticket),
            OwnerEvent::Release(call) => self.release(now, &call, actions),
            OwnerEvent::Report { server, report } => self.report(now, &server, &report, actions),
            OwnerEvent::ReportFailed { server } => self.report_failed(now, &server, actions),
            OwnerEvent::OrderDone { number, result } => {
                self.order_done(now, number, result, rng, actions);
            }
            OwnerEvent::IntentRead { number, valid } => {
                self.intent_read(now, number, valid, actions);
            }
            OwnerEvent::EarlierIntent { server, evict } => {
                self.protect_from_old_intent(now, &server, evict)
            }
            OwnerEvent::ListedVms { vms, majority } => self.vm_live(now, vms, majority, actions),
            OwnerEvent::VmDead { vm } => self.vm_dead(now, &vm),
            OwnerEvent::GrantsReported { vm, grants } => self.held(now, &vm, grants, actions),
            OwnerEvent::ServerDraining { server, draining } => {
                self.server_draining(now, &server, draining);
            }
            OwnerEvent::Topology(topology) => self.set_topology(topology),
            OwnerEvent::Schedule { adapter, due_in_ms, lead_ms } => {
                self.schedule(now, &adapter, due_in_ms, lead_ms);
            }
            OwnerEvent::Suspects(entries) => self.suspects.set_recorded(entries),
            OwnerEvent::PartCrashes { recorded, elapsed_ms } => {
                let report = CrashReport::of_parts(&recorded, elapsed_ms);
                note_quarantine(&self.quarantine.apply(&report, now), actions);
                self.recorded_quarantine = self.quarantine.revision();
            }
            OwnerEvent::LogState { writable } => self.log_writable = writable,
            OwnerEvent::Tick => self.tick(now, rng, actions),
        }
        self.dispatch(now, actions);
        self.plan_loads(now, actions);
        self.record_quarantine(now, actions);
    }

    /// Records what changed of crashes under parts of prompts, for the next owner of the group.
    fn record_quarantine(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        let revision = self.quarantine.revision();
        if std::mem::replace(&mut self.recorded_quarantine, revision) == revision {
            return;
        }
        let report = self.quarantine.record(now);
        let (crashes, trials) = (report.part_crashes(), report.trials);
        actions.push(OwnerAction::RecordPartCrashes { crashes, trials });
    }

    /// Results of the invariant checks.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// The epoch of this ownership.
    #[must_use]
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// The group's configuration.
    #[must_use]
    pub fn topology(&self) -> &GroupTopology {
        &self.topology
    }

    /// Whether `server` has reported and is not down.
    #[must_use]
    pub fn engine_up(&self, server: &str) -> bool {
        let mut engines = self.engines.iter();
        let found = engines.find(|engine| engine.info.server.as_str() == server);
        found.is_some_and(|engine| !engine.down && engine.incarnation.is_some())
    }

    /// Whether a later epoch was found to be in force, so that this owner gives no more grants or
    /// orders.
    #[must_use]
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// Current statistics for metrics and `status`.
    #[must_use]
    pub fn figures(&self) -> OwnerFigures {
        let slots = || self.engines.iter().flat_map(|engine| &engine.slots);
        let count = |phase| slots().filter(|slot| slot.phase == phase).count() as u32;
        let engines = |test: fn(&&EngineState) -> bool| self.engines.iter().filter(test).count();
        OwnerFigures {
            waiting: RequestClass::ALL.map(|class| self.queue.len(class) as u32),
            grants: self.grants.len() as u32,
            loaded: count(SlotPhase::Ready),
            loading: self.orders.len() as u32,
            usable: engines(|engine| engine.usable()) as u32,
            busy: engines(|engine| engine.running > 0) as u32,
        }
    }

    /// The non-empty slots of all engines, for `status` and `explain`.
    #[must_use]
    pub fn slots(&self) -> Vec<SlotView> {
        let mut views = Vec::new();
        for engine in &self.engines {
            let taken = engine.slots.iter().filter(|slot| slot.phase != SlotPhase::Empty);
            views.extend(taken.map(|slot| SlotView {
                server: engine.info.server.clone(),
                slot: slot.name.clone(),
                ready: slot.phase == SlotPhase::Ready,
                grants: slot.pins,
            }));
        }
        views
    }

    /// The index of an adapter version; `None` if the owner has never seen it.
    #[must_use]
    pub fn adapter_index(&self, adapter: &AdapterVersion) -> Option<AdapterIndex> {
        self.adapters.find(adapter).map(AdapterIndex)
    }

    /// Returns a number not yet used for an order or a grant in this epoch.
    pub(crate) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number - 1
    }

    pub(crate) fn class_limits(&self, class: RequestClass) -> ClassEntry {
        let listed = self.topology.classes.iter().find(|entry| entry.class == class);
        listed.cloned().unwrap_or_else(|| class_defaults(class))
    }

    pub(crate) fn decay_micros(&self) -> f64 {
        (self.settings.usage_decay_ms * MICROS_PER_MILLI) as f64
    }

    fn reserve(
        &mut self,
        now: TimePoint,
        ticket: u64,
        requester: VmIdentity,
        spec: RequestSpec,
        actions: &mut Vec<OwnerAction>,
    ) {
        let decay = self.decay_micros();
        let adapter = self.adapters.intern(&spec.adapter);
        self.adapters.get_mut(adapter).record_use(now, decay);
        let refusal = self.refusal(now, adapter, &spec);
        if let Some(refusal) = refusal.or_else(|| self.part_refusal(now, &spec)) {
            actions.push(OwnerAction::Refuse { ticket, refusal });
            return;
        }
        let left_ms = spec.deadline_left_ms.unwrap_or(self.class_limits(spec.class).deadline_ms);
        let deadline = now.plus(left_ms.saturating_mul(MICROS_PER_MILLI));
        let stalled = !self.is_ready(now, adapter);
        let on_trial = self.has_quarantined(&spec);
        let arriving = ArrivingRequest {
            ticket,
            requester,
            spec,
            adapter,
            deadline: Some(deadline),
            stalled,
            on_trial,
        };
        let choice = if stalled { None } else { self.choose_for(now, &arriving.spec, adapter) };
        if let Some(choice) = choice {
            let grant =
                self.grant(now, choice, &arriving.requester, &arriving.spec, WaitTimes::default());
            actions.push(OwnerAction::Grant { ticket, grant });
            return;
        }
        self.enqueue(now, arriving, actions);
    }

    /// Returns the refusal of a request with a quarantined part, unless it is the one that shows whether the part still
    /// crashes engines. It may be served later, so that it is refused as if no engine were up.
    fn part_refusal(&mut self, now: TimePoint, spec: &RequestSpec) -> Option<GrantRefusal> {
        let until = self.quarantine.admit(&part_subjects(&spec.parts), |_| 0, 1, now)?;
        let wait_ms = (until.since(now) / MICROS_PER_MILLI) as f64;
        Some(self.refuse(RefusalReason::NoServer, wait_ms))
    }

    /// Returns why the request cannot be served at all, or `None` if it can be granted or queued.
    fn refusal(&self, now: TimePoint, adapter: u32, spec: &RequestSpec) -> Option<GrantRefusal> {
        let refuse = |reason, retry| Some(self.refuse(reason, retry));
        if self.deposed {
            return refuse(RefusalReason::NotOwner, 0.0);
        }
        if spec.deadline_left_ms == Some(0) {
            return refuse(RefusalReason::DeadlinePassed, self.wait_for_room_ms(spec.class));
        }
        if self.suspects.verdict(spec.fingerprint) == SuspectVerdict::Condemned {
            return refuse(RefusalReason::Condemned, self.settings.max_retry_ms as f64);
        }
        if !self.engines.iter().any(EngineState::may_recover) {
            return refuse(RefusalReason::NoServer, NO_SERVER_RETRY_MS);
        }
        let state = self.adapters.get(adapter);
        let failing = state.failures >= self.settings.load_attempts && state.retry_at > now;
        if failing && !self.is_ready(now, adapter) {
            let left_ms = state.retry_at.since(now) / MICROS_PER_MILLI;
            return refuse(RefusalReason::LoadFailed, left_ms as f64);
        }
        if self.grants.len() >= self.settings.grants {
            return refuse(RefusalReason::Overloaded, self.service_ms);
        }
        None
    }

    /// Builds a refusal with `retry_ms` clamped to the configured retry range.
    pub(crate) fn refuse(&self, reason: RefusalReason, retry_ms: f64) -> GrantRefusal {
        let (min, max) = (self.settings.min_retry_ms, self.settings.max_retry_ms);
        GrantRefusal { reason, retry_after_ms: (retry_ms as u64).clamp(min, max.max(min)) }
    }

    fn enqueue(
        &mut self,
        now: TimePoint,
        arriving: ArrivingRequest,
        actions: &mut Vec<OwnerAction>,
    ) {
        let class = arriving.spec.class;
        let wait = self.expected_wait_ms(now, &arriving);
        let left = arriving.deadline.map_or(f64::INFINITY, |due| millis(due.since(now)));
        if wait > left {
            let refusal = self.refuse(RefusalReason::Overloaded, wait - left);
            actions.push(OwnerAction::Refuse { ticket: arriving.ticket, refusal });
            return;
        }
        let bound = self.class_limits(class).queue.max(1) as usize;
        if self.queue.len(class) >= bound {
            let refusal = self.refuse(RefusalReason::Overloaded, wait.max(self.service_ms));
            let Some(displaced) = self.queue.displace(class, &arriving.spec.tenant) else {
                actions.push(OwnerAction::Refuse { ticket: arriving.ticket, refusal });
                return;
            };
            self.adapters.get_mut(displaced.adapter).waiting -= 1;
            actions.push(OwnerAction::Refuse { ticket: displaced.ticket, refusal });
        }
        self.adapters.get_mut(arriving.adapter).waiting += 1;
        self.queue.push(arriving, now);
        let length = self.queue.len(class);
        self.invariants.check(InvariantName::QueueBounded, length <= bound, || {
            format!("{} requests queued in class {}, limit {bound}", length, class.as_str())
        });
    }

    /// Expected wait in milliseconds: the longer of the waits for a load that is not in flight yet
    /// and for room on an engine.
    fn expected_wait_ms(&self, now: TimePoint, arriving: &ArrivingRequest) -> f64 {
        let room = self.wait_for_room_ms(arriving.spec.class);
        if !arriving.stalled || self.is_loading(arriving.adapter) {
            return room;
        }
        let ahead = self.loads_before(now, arriving.spec.class);
        room.max(self.budget.wait_ms(ahead, self.load_ms))
    }

    /// Expected milliseconds until the queued requests of this and more urgent classes have been
    /// admitted; 0 while less than half of the batch slots are in use.
    pub(crate) fn wait_for_room_ms(&self, class: RequestClass) -> f64 {
        let batch: u32 =
            self.engines.iter().filter(|engine| engine.usable()).map(|e| e.info.batch_slots).sum();
        let running: u32 =
            self.engines.iter().filter(|engine| engine.usable()).map(|e| e.running).sum();
        if batch == 0 || running < batch / 2 {
            return 0.0;
        }
        let ahead: usize = RequestClass::ALL
            .into_iter()
            .filter(|&other| other <= class)
            .map(|other| self.queue.len(other))
            .sum();
        ahead as f64 * self.service_ms / f64::from(batch)
    }

    fn withdraw(&mut self, ticket: u64) {
        if let Some(request) = self.queue.withdraw(ticket) {
            self.adapters.get_mut(request.adapter).waiting -= 1;
        }
    }

    fn release(&mut self, now: TimePoint, call: &ReleaseCall, actions: &mut Vec<OwnerAction>) {
        if call.grant.epoch != self.epoch {
            self.release_foreign(call);
            return;
        }
        let found = self.grants.binary_search_by_key(&call.grant.number, |grant| grant.number);
        let Ok(at) = found else { return };
        if self.grants[at].holder != call.holder {
            return;
        }
        let grant = self.take_grant(at);
        let engine = &mut self.engines[grant.choice.server as usize];
        match call.end {
            GrantEnd::Done => {
                let took = millis(now.since(grant.granted));
                self.service_ms += (took - self.service_ms) * MEAN_SMOOTHING;
                if self.suspects.clear(grant.fingerprint) {
                    let fingerprint = grant.fingerprint;
                    actions.push(OwnerAction::RecordCleared { fingerprint });
                }
                let subjects = part_subjects(&grant.parts);
                let change = self.quarantine.record_completion(&subjects, now);
                note_quarantine(&change, actions);
            }
            GrantEnd::Broken => {
                let GrantState { fingerprint, parts, .. } = grant;
                engine.add_broken(BrokenRun { fingerprint, parts, at: now });
                if engine.down {
                    self.crash(now, grant.choice.server as usize, Vec::new(), actions);
                }
            }
            GrantEnd::SlotMissing => {
                let slot = &engine.slots[grant.choice.slot as usize];
                if slot.phase == SlotPhase::Ready {
                    self.remove_lost_slot(now, grant.choice, actions);
                }
            }
            // Counted as a failed poll. Otherwise requests would be sent to an engine that is down
            // until the polls for its report fail.
            GrantEnd::Unreachable => {
                let server = engine.info.server.clone();
                self.report_failed(now, &server, actions);
            }
            GrantEnd::NotRun if grant.on_trial => {
                self.quarantine.trial_not_run(&part_subjects(&grant.parts), now);
            }
            GrantEnd::Cancelled | GrantEnd::NotRun | GrantEnd::Failed => {}
        }
    }

    /// Removes a grant from the accounting and unpins its slot.
    pub(crate) fn take_grant(&mut self, at: usize) -> GrantState {
        let grant = self.grants.remove(at);
        let engine = &mut self.engines[grant.choice.server as usize];
        if grant.orphaned.is_none() {
            engine.running = engine.running.saturating_sub(1);
        }
        if grant.suspect {
            engine.suspects = engine.suspects.saturating_sub(1);
        }
        self.unpin(grant.choice);
        grant
    }

    /// Drops a grant's pin on its slot. A lost slot becomes empty only with its last pin, so that
    /// it cannot be reused for another adapter while a grant refers to it.
    pub(crate) fn unpin(&mut self, choice: SlotChoice) {
        let slot = &mut self.engines[choice.server as usize].slots[choice.slot as usize];
        slot.pins = slot.pins.saturating_sub(1);
        if slot.pins == 0 && slot.phase == SlotPhase::Lost {
            slot.phase = SlotPhase::Empty;
        }
    }

    /// Grants queued requests that can run now, in service order.
    fn dispatch(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        if self.queue.is_empty() || self.deposed {
            return;
        }
        for class in RequestClass::ALL {
            let mut at = 0;
            while at < self.queue.len(class) {
                if !self.has_room(class) {
                    break;
                }
                let waiting = &self.queue.class(class)[at];
                if !waiting.on_trial && self.has_quarantined(&waiting.spec) {
                    self.refuse_waiting(class, at, actions);
                    continue;
                }
                let Some(choice) = self.choose_for(now, &waiting.spec, waiting.adapter) else {
                    at += 1;
                    continue;
                };
                let request = self.queue.serve(class, at);
                self.adapters.get_mut(request.adapter).waiting -= 1;
                let waited = WaitTimes::of(&request, now);
                let ticket = request.ticket;
                let grant = self.grant(now, choice, &request.requester, &request.spec, waited);
                actions.push(OwnerAction::Grant { ticket, grant });
            }
        }
    }

    fn has_quarantined(&self, spec: &RequestSpec) -> bool {
        !self.quarantine.quarantined(&part_subjects(&spec.parts)).is_empty()
    }

    /// Refuses a waiting request, as a part of its prompt went into quarantine meanwhile.
    fn refuse_waiting(&mut self, class: RequestClass, at: usize, actions: &mut Vec<OwnerAction>) {
        let request = self.queue.serve(class, at);
        self.adapters.get_mut(request.adapter).waiting -= 1;
        let wait_ms = (hold_us(0) / MICROS_PER_MILLI) as f64;
        let refusal = self.refuse(RefusalReason::NoServer, wait_ms);
        actions.push(OwnerAction::Refuse { ticket: request.ticket, refusal });
    }

    fn has_room(&self, class: RequestClass) -> bool {
        let urgent = class == RequestClass::Urgent;
        let reserve = self.settings.urgent_reserve_percent;
        self.engines.iter().any(|engine| engine.usable() && engine.room_for(urgent, reserve) > 0)
    }

    /// Pins the slot and builds the grant.
    fn grant(
        &mut self,
        now: TimePoint,
        choice: SlotChoice,
        holder: &VmIdentity,
        spec: &RequestSpec,
        waited: WaitTimes,
    ) -> SlotGrant {
        let number = self.number();
        let suspect = self.suspect_verdict(spec.fingerprint) != SuspectVerdict::Clear;
        // Counted from here on: this owner may end before the result is known.
        let on_trial = !self.quarantine.begin_trial(&part_subjects(&spec.parts), now).is_empty();
        self.check_grant(now, choice, spec, suspect);
        let engine = &mut self.engines[choice.server as usize];
        let slot = &mut engine.slots[choice.slot as usize];
        let reason = match (suspect, slot.ahead, slot.extra, waited.stall_ms > 0) {
            (true, ..) => PlacementReason::Isolated,
            (_, true, ..) => PlacementReason::LoadedAhead,
            (_, _, true, _) => PlacementReason::ExtraCopy,
            (.., true) => PlacementReason::LoadedOnDemand,
            _ => PlacementReason::Loaded,
        };
        slot.pins += 1;
        slot.ahead = false;
        let adapter = slot.adapter;
        slot.prefix = spec.prefix;
        engine.running += 1;
        engine.suspects += u32::from(suspect);
        let grant = SlotGrant {
            id: GrantId { group: self.topology.group.clone(), epoch: self.epoch, number },
            server: engine.info.server.clone(),
            incarnation: engine.incarnation.unwrap_or_default(),
            slot: slot.name.clone(),
            priority: spec.class as i32,
            use_within_ms: waited.stall_ms + waited.queue_ms + self.settings.use_grace_ms,
            stall_ms: waited.stall_ms,
            queue_ms: waited.queue_ms,
            reason,
        };
        self.grants.push(GrantState {
            number,
            holder: holder.clone(),
            choice,
            fingerprint: spec.fingerprint,
            parts: spec.parts.clone(),
            suspect,
            on_trial,
            granted: now,
            orphaned: None,
        });
        self.schedule_served(now, adapter, spec.class);
        grant
    }

    fn check_grant(
        &mut self,
        now: TimePoint,
        choice: SlotChoice,
        spec: &RequestSpec,
        suspect: bool,
    ) {
        let engine = &self.engines[choice.server as usize];
        let slot = &engine.slots[choice.slot as usize];
        let matches = self.adapters.get(slot.adapter).version == spec.adapter;
        self.invariants.check(InvariantName::RightAdapter, matches, || {
            format!("request {} for {} granted {}", spec.id, spec.adapter, slot.name)
        });
        let ready = slot.phase == SlotPhase::Ready && slot.at_risk_until <= now;
        self.invariants.check(InvariantName::NoEvictionInUse, ready, || {
            format!("request {} granted {} in phase {:?}", spec.id, slot.name, slot.phase)
        });
        let apart = !suspect || engine.suspects == 0;
        self.invariants.check(InvariantName::SuspectsApart, apart, || {
            format!("request {} is a second suspect on {}", spec.id, engine.info.server)
        });
        self.invariants.check(InvariantName::LeavingServerIdle, engine.usable(), || {
            format!(
                "request {} granted on {}, which takes no new work",
                spec.id, engine.info.server
            )
        });
    }

    /// Refuses every queued request whose deadline has passed, and all of them if no engine can be
    /// expected to serve or the owner is deposed.
    pub(crate) fn refuse_expired(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        let late = |request: &WaitingRequest| request.deadline.is_some_and(|due| due <= now);
        while let Some(request) = self.queue.remove_first(late) {
            self.adapters.get_mut(request.adapter).waiting -= 1;
            let retry = self.wait_for_room_ms(request.spec.class).max(self.load_ms);
            let refusal = self.refuse(RefusalReason::DeadlinePassed, retry);
            actions.push(OwnerAction::Refuse { ticket: request.ticket, refusal });
        }
        if !self.engines.iter().any(EngineState::may_recover) {
            self.refuse_all(RefusalReason::NoServer, NO_SERVER_RETRY_MS, actions);
        }
        if self.deposed {
            self.refuse_all(RefusalReason::NotOwner, 0.0, actions);
        }
    }

    fn refuse_all(&mut self, reason: RefusalReason, retry_ms: f64, actions: &mut Vec<OwnerAction>) {
        while let Some(request) = self.queue.remove_first(|_| true) {
            self.adapters.get_mut(request.adapter).waiting -= 1;
            let refusal = self.refuse(reason, retry_ms);
            actions.push(OwnerAction::Refuse { ticket: request.ticket, refusal });
        }
    }

    /// Refuses all requests queued for `adapter`, whose loads keep failing.
    pub(crate) fn refuse_waiters(
        &mut self,
        adapter: u32,
        retry_ms: f64,
        actions: &mut Vec<OwnerAction>,
    ) {
        while let Some(request) = self.queue.remove_first(|request| request.adapter == adapter) {
            self.adapters.get_mut(adapter).waiting -= 1;
            let refusal = self.refuse(RefusalReason::LoadFailed, retry_ms);
            actions.push(OwnerAction::Refuse { ticket: request.ticket, refusal });
        }
    }
}

/// Retry hint in milliseconds while no engine is up.
const NO_SERVER_RETRY_MS: f64 = 2_000.0;

/// How long a request waited for its load and then for room on an engine, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitTimes {
    stall_ms: u64,
    queue_ms: u64,
}

impl WaitTimes {
    fn of(request: &WaitingRequest, now: TimePoint) -> Self {
        let waited = now.since(request.arrived) / MICROS_PER_MILLI;
        let stall = match (request.stalled, request.ready_at) {
            (false, _) => 0,
            (true, Some(ready)) => ready.since(request.arrived) / MICROS_PER_MILLI,
            (true, None) => waited,
        };
        Self { stall_ms: stall, queue_ms: waited.saturating_sub(stall) }
    }
}

/// Converts microseconds to milliseconds, keeping the fraction.
pub(crate) fn millis(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_MILLI as f64
}

fn part_subjects(parts: &[PartFingerprint]) -> Vec<CrashSubject> {
    parts.iter().map(|part| CrashSubject::Part(*part)).collect()
}

/// Notes the parts that went into quarantine or were released.
pub(crate) fn note_quarantine(change: &CrashChange, actions: &mut Vec<OwnerAction>) {
    let quarantined = change.quarantined.iter().map(|part| OwnerNote::PartQuarantined(*part));
    let released = change.cleared.iter().map(|part| OwnerNote::PartReleased(*part));
    actions.extend(quarantined.chain(released).map(OwnerAction::Note));
}
