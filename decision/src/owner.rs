//! The owner of a group: admits requests to its engines and orders loads and evictions there.
//!
//! The owner is a state machine without clock or I/O. Its process turns messages and timers into
//! [`OwnerEvent`]s and carries out the [`OwnerAction`]s. The parts are the reservations (here), the
//! choice of slots (`place`), the orders (`order`) and what becomes of engines and
//! VMs (`fleet`). docs/PLACEMENT.md gives the reasons.
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
use crate::fleet::{ForeignGrant, VmNeed};
use crate::grant::{
    GrantEnd, GrantId, GrantRefusal, HeldGrant, PlacementReason, ReleaseCall, RequestSpec,
    SlotGrant,
};
use crate::id::{
    AdapterVersion, GroupName, MICROS_PER_MILLI, OwnerEpoch, RequestFingerprint, ServerIncarnation,
    ServerName, SlotName, TenantName, TimePoint, VmIdentity, VmName,
};
use crate::invariant::{InvariantLog, InvariantName};
use crate::load::{LoadBudget, LoadOrder};
use crate::manifest::{ClassEntry, PlacementPolicy};
use crate::outcome::{RefusalReason, RequestClass};
pub use crate::place::PlaceQuery;
use crate::queue::{ArrivingRequest, WaitQueue, WaitingRequest};
use crate::record::SuspectEntry;
use crate::report::EngineReport;
use crate::slot::{BrokenRun, EngineState, SlotPhase};
use crate::suspect::{SuspectBook, SuspectVerdict};

/// Limits and times of an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerSettings {
    /// Reports that must fail in a row before an engine counts as down.
    pub failed_reports: u32,
    /// Milliseconds after which an order without a result counts as unknown.
    pub order_timeout_ms: u64,
    /// Loads of an adapter that must fail in a row before its requests are refused at once.
    pub load_attempts: u32,
    /// Milliseconds before the first repeat of a failed load; doubled for each further one.
    pub load_backoff_ms: u64,
    /// The longest such pause.
    pub load_backoff_most_ms: u64,
    /// Milliseconds for which a VM that is gone may still use its grants.
    pub zombie_window_ms: u64,
    /// Milliseconds that an asker has for sending a request after the owner granted it.
    pub use_grace_ms: u64,
    /// Percent of each batch that is kept for urgent requests.
    pub urgent_reserve_percent: u32,
    /// Milliseconds over which the memory of an adapter's use decays to a third.
    pub heat_decay_ms: u64,
    /// Milliseconds for which reports may lag behind the engine.
    pub report_lag_ms: u64,
    /// Milliseconds after a broken connection at which a report of the same life clears it.
    pub broken_settle_ms: u64,
    /// Milliseconds after which an engine is told this owner's epoch again.
    pub fence_retry_ms: u64,
    /// Milliseconds between two questions to VMs that have not told what they hold.
    pub ask_held_ms: u64,
    /// The load time in milliseconds that is assumed before one was measured.
    pub first_load_ms: u64,
    /// The service time in milliseconds that is assumed before one was measured.
    pub first_service_ms: u64,
    /// Milliseconds before a deadline at which a load for it goes before those that have time.
    pub pressing_ms: u64,
    /// Milliseconds for which a scheduled adapter is kept after its due time.
    pub schedule_grace_ms: u64,
    /// The most schedules that are kept.
    pub schedules: usize,
    /// The most grants that may be out; a further request is refused as overloaded.
    pub grants: usize,
    /// The shortest time in milliseconds after which a refused caller is asked to come back.
    pub retry_least_ms: u64,
    /// The longest such time.
    pub retry_most_ms: u64,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            failed_reports: 3,
            order_timeout_ms: 20_000,
            load_attempts: 3,
            load_backoff_ms: 500,
            load_backoff_most_ms: 30_000,
            zombie_window_ms: 120_000,
            use_grace_ms: 2_000,
            urgent_reserve_percent: 10,
            heat_decay_ms: 1_800_000,
            report_lag_ms: 5_000,
            broken_settle_ms: 1_500,
            fence_retry_ms: 1_000,
            ask_held_ms: 1_000,
            first_load_ms: 1_000,
            first_service_ms: 1_000,
            pressing_ms: 10_000,
            schedule_grace_ms: 30_000,
            schedules: 65_536,
            grants: 65_536,
            retry_least_ms: 100,
            retry_most_ms: 30_000,
        }
    }
}

/// An engine of the group, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// Its name.
    pub server: ServerName,
    /// How many adapters it can hold.
    pub adapter_slots: u32,
    /// How many requests it takes into a batch.
    pub batch_slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// The group's share of its region's weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreShare {
    /// Loads a second.
    pub loads_per_s: f64,
    /// Loads that run at full speed at once.
    pub full_speed: u32,
}

impl Default for StoreShare {
    fn default() -> Self {
        Self { loads_per_s: 1.0, full_speed: 1 }
    }
}

/// A tenant's weight where tenants share scarce engines.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShare {
    /// The tenant.
    pub tenant: TenantName,
    /// Its weight; 1 is usual.
    pub weight: f64,
}

/// What the configuration says of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupTopology {
    /// The group.
    pub group: GroupName,
    /// Its engines.
    pub engines: Vec<EngineInfo>,
    /// Its share of the weight store.
    pub store: StoreShare,
    /// Limits of the classes; a class that is left out has [`class_defaults`].
    pub classes: Vec<ClassEntry>,
    /// Weights of the tenants.
    pub tenants: Vec<TenantShare>,
    /// What placement weighs.
    pub policy: PlacementPolicy,
}

/// The limits of a class that the manifest leaves out.
#[must_use]
pub fn class_defaults(class: RequestClass) -> ClassEntry {
    let (deadline_ms, queue) = match class {
        RequestClass::Urgent => (10_000, 512),
        RequestClass::Scheduled => (120_000, 2_048),
        RequestClass::Audit => (3_600_000, 4_096),
    };
    ClassEntry { class, deadline_ms, queue }
}

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load `adapter` under the name `slot`.
    Load {
        /// The slot's name.
        slot: SlotName,
        /// What to load.
        adapter: AdapterVersion,
    },
    /// Unload the slot.
    Unload {
        /// The slot's name.
        slot: SlotName,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine did it, or had done it before.
    Done,
    /// The engine refused it because it knows a later epoch: this owner is deposed.
    Stale,
    /// The engine failed to do it; its state is as before.
    Failed,
    /// There was no answer: the order may take effect at any time.
    Unknown,
}

/// What happens to an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// A VM asks for a grant. `ticket` names the question until it is answered.
    Reserve {
        /// Chosen by the process, not used before.
        ticket: u64,
        /// Who asks.
        asker: VmIdentity,
        /// What is to run.
        spec: RequestSpec,
    },
    /// The asker went away or withdrew the question. A grant that is out must be released instead.
    Withdraw {
        /// The question.
        ticket: u64,
    },
    /// A grant is given back.
    Release(ReleaseCall),
    /// An engine's report.
    Report {
        /// The engine.
        server: ServerName,
        /// What it said.
        report: EngineReport,
    },
    /// An engine did not answer when it was asked for a report.
    ReportFailed {
        /// The engine.
        server: ServerName,
    },
    /// An order ended.
    OrderDone {
        /// Its number.
        number: u64,
        /// How.
        result: OrderResult,
    },
    /// An intent of this owner was read back from the log.
    IntentRead {
        /// Its number.
        number: u64,
        /// Whether this owner's epoch was in force at its place.
        valid: bool,
    },
    /// An intent of an earlier epoch, whose owner may still send the order if it was paused.
    OldIntent {
        /// The engine.
        server: ServerName,
        /// The slot that may still be evicted.
        evict: Option<SlotName>,
    },
    /// The VMs of the region that are listed, or were until a short while ago.
    VmLive {
        /// Their names.
        vms: Vec<VmName>,
        /// Whether a majority of those listed is alive in this VM's view.
        majority: bool,
    },
    /// A VM is gone in this VM's view.
    VmGone {
        /// The VM and its life.
        vm: VmIdentity,
    },
    /// A VM tells which grants of earlier epochs it holds. It uses no further ones of them.
    Held {
        /// Who tells.
        vm: VmIdentity,
        /// The grants.
        grants: Vec<HeldGrant>,
    },
    /// A backend server drains, or no longer does.
    ServerDraining {
        /// The engine.
        server: ServerName,
        /// Whether it drains.
        draining: bool,
    },
    /// The configuration changed.
    Topology(GroupTopology),
    /// A summary is due, whose adapter should be loaded before.
    Schedule {
        /// What it uses.
        adapter: AdapterVersion,
        /// Milliseconds until it is due.
        due_in_ms: u64,
        /// Milliseconds before that at which its adapter should be loaded.
        lead_ms: u64,
    },
    /// The suspects by the control stream.
    Suspects(Vec<SuspectEntry>),
    /// Whether the log can be written.
    LogState {
        /// Whether it can.
        writable: bool,
    },
    /// Time passes. Due every 20 to 100 ms.
    Tick,
}

/// What the process does for an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Answers a question: the request may run.
    Grant {
        /// The question.
        ticket: u64,
        /// The grant.
        grant: SlotGrant,
    },
    /// Answers a question: the request did not run and is no longer queued.
    Refuse {
        /// The question.
        ticket: u64,
        /// Why, and when to come back.
        refusal: GrantRefusal,
    },
    /// Appends an intent to the control stream and reports it once it is read back.
    AppendIntent {
        /// The intent's number.
        number: u64,
        /// The engine.
        server: ServerName,
        /// The engine's life.
        incarnation: ServerIncarnation,
        /// The slot that is to be evicted.
        evict: Option<SlotName>,
        /// The slot that is to be loaded.
        load: Option<SlotName>,
    },
    /// Sends an order to an engine, once, and reports how it ended.
    SendOrder {
        /// The order's number.
        number: u64,
        /// The engine.
        server: ServerName,
        /// The engine's life to which it applies.
        incarnation: ServerIncarnation,
        /// The fencing number.
        epoch: OwnerEpoch,
        /// What is ordered.
        order: EngineOrder,
    },
    /// Asks VMs for the grants of earlier epochs that they hold.
    AskHeld {
        /// Whom.
        vms: Vec<VmName>,
    },
    /// Appends a crash to the control stream.
    RecordCrash {
        /// The engine.
        server: ServerName,
        /// The life that ended.
        incarnation: ServerIncarnation,
        /// What is suspected.
        suspects: Vec<RequestFingerprint>,
    },
    /// Appends to the control stream that a suspect ran whole.
    RecordCleared {
        /// The suspect.
        fingerprint: RequestFingerprint,
    },
    /// Something worth a line in the log and a count.
    Note(OwnerNote),
}

/// What an owner noticed.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerNote {
    /// A load ended well.
    Loaded {
        /// The engine.
        server: ServerName,
        /// What was loaded.
        adapter: AdapterVersion,
        /// Milliseconds from the decision to the engine's answer.
        took_ms: u64,
        /// Whether it was loaded ahead of a schedule.
        ahead: bool,
    },
    /// A load failed or its result is not known.
    LoadFailed {
        /// The engine.
        server: ServerName,
        /// What was to be loaded.
        adapter: AdapterVersion,
        /// Failures in a row.
        failures: u32,
    },
    /// An adapter was unloaded for another.
    Evicted {
        /// The engine.
        server: ServerName,
        /// The slot.
        slot: SlotName,
    },
    /// An engine runs in a new life.
    Restarted {
        /// The engine.
        server: ServerName,
        /// The new life.
        incarnation: ServerIncarnation,
        /// Grants that were out.
        grants: u32,
    },
    /// An engine is down.
    Down {
        /// The engine.
        server: ServerName,
    },
    /// An engine lost a slot without an order of this owner.
    SlotLost {
        /// The engine.
        server: ServerName,
        /// The slot.
        slot: SlotName,
        /// Grants that were out on it.
        grants: u32,
    },
    /// Slots of earlier epochs may be evicted from now on.
    InheritedFree,
    /// Another VM owns the group by a later epoch; no further order goes out.
    Deposed,
}

/// A grant that is out.
#[derive(Clone, Debug)]
pub(crate) struct GrantState {
    pub(crate) number: u64,
    pub(crate) holder: VmIdentity,
    pub(crate) choice: SlotChoice,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) suspect: bool,
    pub(crate) granted: TimePoint,
    /// When its VM was found to be gone.
    pub(crate) orphaned: Option<TimePoint>,
}

/// An adapter that a schedule needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AheadLoad {
    pub(crate) due: TimePoint,
    pub(crate) from: TimePoint,
    pub(crate) adapter: u32,
}

/// Figures of an owner for metrics and `status`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerFigures {
    /// Requests that wait, by class.
    pub waiting: [u32; RequestClass::ALL.len()],
    /// Grants that are out.
    pub grants: u32,
    /// Slots that are loaded.
    pub loaded: u32,
    /// Loads under way.
    pub loading: u32,
    /// Engines that take new work.
    pub usable: u32,
    /// Engines with at least one grant out.
    pub busy: u32,
}

/// A slot for `status` and `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotView {
    /// The engine.
    pub server: ServerName,
    /// The slot's name.
    pub slot: SlotName,
    /// Whether grants may use it.
    pub ready: bool,
    /// Grants on it.
    pub grants: u32,
}

/// The owner of a group in one epoch.
#[derive(Clone, Debug)]
pub struct GroupOwner {
    pub(crate) settings: OwnerSettings,
    pub(crate) topology: GroupTopology,
    pub(crate) epoch: OwnerEpoch,
    pub(crate) engines: Vec<EngineState>,
    pub(crate) adapters: AdapterTable,
    pub(crate) queue: WaitQueue,
    pub(crate) grants: Vec<GrantState>,
    pub(crate) foreign: Vec<ForeignGrant>,
    pub(crate) orders: Vec<LoadOrder>,
    pub(crate) budget: LoadBudget,
    pub(crate) ahead: Vec<AheadLoad>,
    pub(crate) book: SuspectBook,
    pub(crate) vms: Vec<VmNeed>,
    pub(crate) vms_known: bool,
    pub(crate) asked_at: TimePoint,
    pub(crate) inherited_free: bool,
    pub(crate) majority: bool,
    pub(crate) log_writable: bool,
    pub(crate) deposed: bool,
    pub(crate) next_number: u64,
    pub(crate) load_ms: f64,
    pub(crate) service_ms: f64,
    pub(crate) invariants: InvariantLog,
}

/// How much of a new measurement enters a running mean.
const MEAN_GAIN: f64 = 0.05;

impl GroupOwner {
    /// Starts owning `topology`'s group in `epoch`. What the engines hold is learnt from reports,
    /// and what other VMs hold from their answers.
    #[must_use]
    pub fn new(
        settings: OwnerSettings,
        topology: GroupTopology,
        epoch: OwnerEpoch,
        now: TimePoint,
    ) -> Self {
        let mut owner = Self {
            budget: LoadBudget::new(topology.store, now),
            load_ms: settings.first_load_ms as f64,
            service_ms: settings.first_service_ms as f64,
            settings,
            topology: GroupTopology::default(),
            epoch,
            engines: Vec::new(),
            adapters: AdapterTable::default(),
            queue: WaitQueue::default(),
            grants: Vec::new(),
            foreign: Vec::new(),
            orders: Vec::new(),
            ahead: Vec::new(),
            book: SuspectBook::default(),
            vms: Vec::new(),
            vms_known: false,
            asked_at: TimePoint::default(),
            inherited_free: false,
            majority: false,
            log_writable: true,
            deposed: false,
            next_number: 1,
            invariants: InvariantLog::default(),
        };
        owner.set_topology(topology);
        owner
    }

    /// Takes an event, and adds what is to be done to `actions`.
    pub fn handle(
        &mut self,
        now: TimePoint,
        event: OwnerEvent,
        rng: &mut dyn Rng,
        actions: &mut Vec<OwnerAction>,
    ) {
        match event {
            OwnerEvent::Reserve { ticket, asker, spec } => {
                self.reserve(now, ticket, asker, spec, actions);
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
            OwnerEvent::OldIntent { server, evict } => self.old_intent(now, &server, evict),
            OwnerEvent::VmLive { vms, majority } => self.vm_live(now, vms, majority, actions),
            OwnerEvent::VmGone { vm } => self.vm_gone(now, &vm),
            OwnerEvent::Held { vm, grants } => self.held(now, &vm, grants, actions),
            OwnerEvent::ServerDraining { server, draining } => {
                self.server_draining(now, &server, draining);
            }
            OwnerEvent::Topology(topology) => self.set_topology(topology),
            OwnerEvent::Schedule { adapter, due_in_ms, lead_ms } => {
                self.schedule(now, &adapter, due_in_ms, lead_ms);
            }
            OwnerEvent::Suspects(entries) => self.book.set_recorded(entries),
            OwnerEvent::LogState { writable } => self.log_writable = writable,
            OwnerEvent::Tick => self.tick(now, rng, actions),
        }
        self.dispatch(now, actions);
        self.plan_loads(now, actions);
    }

    /// The checks made so far.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// The epoch of this ownership.
    #[must_use]
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// What the configuration says of the group.
    #[must_use]
    pub fn topology(&self) -> &GroupTopology {
        &self.topology
    }

    /// Whether `server` answered its last reports.
    #[must_use]
    pub fn engine_up(&self, server: &str) -> bool {
        let mut engines = self.engines.iter();
        let found = engines.find(|engine| engine.info.server.as_str() == server);
        found.is_some_and(|engine| !engine.down && engine.incarnation.is_some())
    }

    /// Whether an engine or a report has told of a later owner.
    #[must_use]
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// Figures for metrics and `status`.
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

    /// The slots of all engines, for `status` and `explain`.
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

    /// The number of an adapter version that the owner has met.
    #[must_use]
    pub fn adapter_index(&self, adapter: &AdapterVersion) -> Option<AdapterIndex> {
        self.adapters.find(adapter).map(AdapterIndex)
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number - 1
    }

    pub(crate) fn class_limits(&self, class: RequestClass) -> ClassEntry {
        let listed = self.topology.classes.iter().find(|entry| entry.class == class);
        listed.cloned().unwrap_or_else(|| class_defaults(class))
    }

    pub(crate) fn decay_micros(&self) -> f64 {
        (self.settings.heat_decay_ms * MICROS_PER_MILLI) as f64
    }

    fn reserve(
        &mut self,
        now: TimePoint,
        ticket: u64,
        asker: VmIdentity,
        spec: RequestSpec,
        actions: &mut Vec<OwnerAction>,
    ) {
        let decay = self.decay_micros();
        let adapter = self.adapters.intern(&spec.adapter);
        self.adapters.get_mut(adapter).touch(now, decay);
        if let Some(refusal) = self.refusal(now, adapter, &spec) {
            actions.push(OwnerAction::Refuse { ticket, refusal });
            return;
        }
        let left = spec.deadline_left_ms.unwrap_or(self.class_limits(spec.class).deadline_ms);
        let deadline = now.plus(left.saturating_mul(MICROS_PER_MILLI));
        let stalled = !self.is_ready(now, adapter);
        let arriving =
            ArrivingRequest { ticket, asker, spec, adapter, deadline: Some(deadline), stalled };
        let choice = if stalled { None } else { self.choose_for(now, &arriving.spec, adapter) };
        if let Some(choice) = choice {
            let grant = self.grant(now, choice, &arriving.asker, &arriving.spec, Waited::default());
            actions.push(OwnerAction::Grant { ticket, grant });
            return;
        }
        self.enqueue(now, arriving, actions);
    }

    /// Why the request cannot be served at all, if so.
    fn refusal(&self, now: TimePoint, adapter: u32, spec: &RequestSpec) -> Option<GrantRefusal> {
        let refuse = |reason, retry| Some(self.refuse(reason, retry));
        if self.deposed {
            return refuse(RefusalReason::NotOwner, 0.0);
        }
        if spec.deadline_left_ms == Some(0) {
            return refuse(RefusalReason::DeadlinePassed, self.wait_for_room_ms(spec.class));
        }
        if self.book.verdict(spec.fingerprint) == SuspectVerdict::Condemned {
            return refuse(RefusalReason::Condemned, self.settings.retry_most_ms as f64);
        }
        if !self.engines.iter().any(EngineState::hopeful) {
            return refuse(RefusalReason::NoServer, NO_SERVER_RETRY_MS);
        }
        let state = self.adapters.get(adapter);
        let failing = state.failures >= self.settings.load_attempts && state.retry_at > now;
        if failing && !self.is_ready(now, adapter) {
            let left = state.retry_at.since(now) / MICROS_PER_MILLI;
            return refuse(RefusalReason::LoadFailed, left as f64);
        }
        if self.grants.len() >= self.settings.grants {
            return refuse(RefusalReason::Overloaded, self.service_ms);
        }
        None
    }

    /// A refusal that asks the caller to come back after `retry_ms`.
    pub(crate) fn refuse(&self, reason: RefusalReason, retry_ms: f64) -> GrantRefusal {
        let (least, most) = (self.settings.retry_least_ms, self.settings.retry_most_ms);
        GrantRefusal { reason, retry_after_ms: (retry_ms as u64).clamp(least, most.max(least)) }
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
            format!("{} wait in class {}, bound {bound}", length, class.as_str())
        });
    }

    /// Milliseconds that the request would wait: for its load, then for room.
    fn expected_wait_ms(&self, now: TimePoint, arriving: &ArrivingRequest) -> f64 {
        let room = self.wait_for_room_ms(arriving.spec.class);
        if !arriving.stalled || self.is_loading(arriving.adapter) {
            return room;
        }
        let ahead = self.loads_before(now, arriving.spec.class);
        room.max(self.budget.wait_ms(ahead, self.load_ms))
    }

    /// Milliseconds until the requests of this and the earlier classes that wait for room have it.
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
            self.release_foreign(now, call);
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
                self.service_ms += (took - self.service_ms) * MEAN_GAIN;
                if self.book.clear(grant.fingerprint) {
                    let fingerprint = grant.fingerprint;
                    actions.push(OwnerAction::RecordCleared { fingerprint });
                }
            }
            GrantEnd::Broken => {
                engine.add_broken(BrokenRun { fingerprint: grant.fingerprint, at: now });
                if engine.down {
                    self.crash(now, grant.choice.server as usize, &[], actions);
                }
            }
            GrantEnd::SlotMissing => {
                let slot = &engine.slots[grant.choice.slot as usize];
                if slot.phase == SlotPhase::Ready {
                    self.lose_slot(now, grant.choice, actions);
                }
            }
            // Counts like a report that failed: without it a request would be sent to an engine that
            // is down again and again until the engine's own reports have failed.
            GrantEnd::Unreachable => {
                let server = engine.info.server.clone();
                self.report_failed(now, &server, actions);
            }
            GrantEnd::Cancelled | GrantEnd::NotRun | GrantEnd::Failed => {}
        }
    }

    /// Takes a grant out of the books and unpins its slot.
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

    pub(crate) fn unpin(&mut self, choice: SlotChoice) {
        let slot = &mut self.engines[choice.server as usize].slots[choice.slot as usize];
        slot.pins = slot.pins.saturating_sub(1);
        if slot.pins == 0 && slot.phase == SlotPhase::Lost {
            slot.phase = SlotPhase::Empty;
        }
    }

    /// Grants what waits and can run, in the order of service.
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
                let Some(choice) = self.choose_for(now, &waiting.spec, waiting.adapter) else {
                    at += 1;
                    continue;
                };
                let request = self.queue.serve(class, at);
                self.adapters.get_mut(request.adapter).waiting -= 1;
                let waited = Waited::of(&request, now);
                let ticket = request.ticket;
                let grant = self.grant(now, choice, &request.asker, &request.spec, waited);
                actions.push(OwnerAction::Grant { ticket, grant });
            }
        }
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
        waited: Waited,
    ) -> SlotGrant {
        let number = self.number();
        let suspect = self.standing(spec.fingerprint) != SuspectVerdict::Clear;
        self.check_grant(now, choice, spec, suspect);
        let engine = &mut self.engines[choice.server as usize];
        let slot = &mut engine.slots[choice.slot as usize];
        let why = match (suspect, slot.ahead, slot.extra, waited.stall_ms > 0) {
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
            why,
        };
        self.grants.push(GrantState {
            number,
            holder: holder.clone(),
            choice,
            fingerprint: spec.fingerprint,
            suspect,
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
        let right = self.adapters.get(slot.adapter).version == spec.adapter;
        self.invariants.check(InvariantName::RightAdapter, right, || {
            format!("request {} for {} granted {}", spec.id, spec.adapter, slot.name)
        });
        let ready = slot.phase == SlotPhase::Ready && slot.doomed_until <= now;
        self.invariants.check(InvariantName::NoEvictionInUse, ready, || {
            format!("request {} granted {} in phase {:?}", spec.id, slot.name, slot.phase)
        });
        let apart = !suspect || engine.suspects == 0;
        self.invariants.check(InvariantName::SuspectsApart, apart, || {
            format!("request {} is a second suspect on {}", spec.id, engine.info.server)
        });
        self.invariants.check(InvariantName::LeavingServerIdle, engine.usable(), || {
            format!("request {} granted on {}, which leaves", spec.id, engine.info.server)
        });
    }

    /// Answers every waiting request that can no longer be served in time, at once.
    pub(crate) fn give_up(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        let late = |request: &WaitingRequest| request.deadline.is_some_and(|due| due <= now);
        while let Some(request) = self.queue.take_first(late) {
            self.adapters.get_mut(request.adapter).waiting -= 1;
            let retry = self.wait_for_room_ms(request.spec.class).max(self.load_ms);
            let refusal = self.refuse(RefusalReason::DeadlinePassed, retry);
            actions.push(OwnerAction::Refuse { ticket: request.ticket, refusal });
        }
        if !self.engines.iter().any(EngineState::hopeful) {
            self.refuse_all(RefusalReason::NoServer, NO_SERVER_RETRY_MS, actions);
        }
        if self.deposed {
            self.refuse_all(RefusalReason::NotOwner, 0.0, actions);
        }
    }

    fn refuse_all(&mut self, reason: RefusalReason, retry_ms: f64, actions: &mut Vec<OwnerAction>) {
        while let Some(request) = self.queue.take_first(|_| true) {
            self.adapters.get_mut(request.adapter).waiting -= 1;
            let refusal = self.refuse(reason, retry_ms);
            actions.push(OwnerAction::Refuse { ticket: request.ticket, refusal });
        }
    }

    /// Refuses all requests that wait for `adapter`, whose loads keep failing.
    pub(crate) fn refuse_waiters(
        &mut self,
        adapter: u32,
        retry_ms: f64,
        actions: &mut Vec<OwnerAction>,
    ) {
        while let Some(request) = self.queue.take_first(|request| request.adapter == adapter) {
            self.adapters.get_mut(adapter).waiting -= 1;
            let refusal = self.refuse(RefusalReason::LoadFailed, retry_ms);
            actions.push(OwnerAction::Refuse { ticket: request.ticket, refusal });
        }
    }
}

/// When to come back while no engine is up.
const NO_SERVER_RETRY_MS: f64 = 2_000.0;

/// How long a request waited, and for what.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Waited {
    stall_ms: u64,
    queue_ms: u64,
}

impl Waited {
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

/// Milliseconds of `micros`, with their fraction.
pub(crate) fn millis(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_MILLI as f64
}
