//! The world of the soak: virtual time, messages, faults, callers and operators.
//!
//! Everything that happens comes from one queue of events and one seeded generator, so a seed
//! replays a run exactly. Faults are injected alone and in pairs for as long as the run lasts; then
//! everything is mended, and the system must come to rest with nothing lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coltsfoothook_decision::attempt::CallStage;
use coltsfoothook_decision::grant::SlotGrant;
use coltsfoothook_decision::id::{
    GroupName, MICROS_PER_MILLI, OwnerEpoch, ServerIncarnation, ServerName, TimePoint, VmIdentity,
    VmIncarnation, VmName, stable_hash,
};
use coltsfoothook_decision::member::{ListedVm, MemberPlace};
use coltsfoothook_decision::outcome::RequestOutcome;
use coltsfoothook_decision::owner::{EngineOrder, OrderResult};
use coltsfoothook_decision::record::{ConfigChange, ConfigRecord, JobEntry};
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_decision::slot::parse_slot;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::call::RunEnd;
use crate::effect::{OrderEnd, PeerMessage, RunSubject, SoakKind, SoakRequest, VmOutput};
use crate::fake::{FakeEngine, FakeLog, LogPage, LogRecord, LogStream};
use crate::oracle::{SoakOracle, SoakViolation};
use crate::safeguard::BrokenSafeguard;
use crate::vm::SoakVm;

/// Settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSettings {
    /// The seed.
    pub seed: u64,
    /// Events while faults are injected.
    pub events: u64,
    /// Entry VMs.
    pub vms: usize,
    /// Model engines; every second one ignores fencing numbers.
    pub engines: usize,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Adapters at the start.
    pub adapters: usize,
    /// Whether only VMs are killed and paused, and often, so that ownership moves all the time.
    pub vm_faults: bool,
    /// The safeguard that is broken on purpose.
    pub broken: BrokenSafeguard,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            events: 30_000,
            vms: 5,
            engines: 3,
            slots: 3,
            adapters: 14,
            vm_faults: false,
            broken: BrokenSafeguard::None,
        }
    }
}

/// What a run did and found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakResult {
    /// Events, those of coming to rest included.
    pub events: u64,
    /// Virtual milliseconds.
    pub virtual_ms: u64,
    /// Runs on backend servers.
    pub runs: u64,
    /// Answers by outcome: done, not run, failed, unknown.
    pub answers: [u64; 4],
    /// Jobs accepted.
    pub jobs: u64,
    /// The highest configuration version.
    pub versions: u64,
    /// Takeovers in force.
    pub takeovers: u64,
    /// Unloads of adapters.
    pub unloads: u64,
    /// Faults injected.
    pub faults: u64,
    /// What did not hold.
    pub violations: Vec<SoakViolation>,
}

/// Milliseconds between ticks of a VM.
const TICK_MS: u64 = 100;
/// Milliseconds between looks at whether the system has come to rest.
const REST_STEP_MS: u64 = 5_000;
/// Milliseconds in which it must; slots of a dead VM are free after the zombie window of 120 s.
const REST_LIMIT_MS: u64 = 400_000;
/// Milliseconds after which a leaving backend server gets nothing new.
const DRAIN_GRACE_MS: u64 = 3_000;

/// An event that is addressed to a VM.
#[derive(Clone, Debug)]
pub(crate) enum VmEvent {
    Tick,
    List(Vec<ListedVm>),
    Peer(VmName, PeerMessage),
    Page(LogStream, Option<LogPage>),
    RunEnded(u64, RunEnd),
    Ordered(OrderEnd),
    Report(GroupName, ServerName, Option<EngineReport>),
    Served(u64, RequestOutcome),
    Request(SoakRequest),
    Submit(JobEntry),
}

#[derive(Clone, Debug)]
pub(crate) struct OrderCall {
    vm: usize,
    life: u64,
    engine: usize,
    group: GroupName,
    epoch: OwnerEpoch,
    number: u64,
    incarnation: Option<ServerIncarnation>,
    order: EngineOrder,
}

#[derive(Clone, Debug)]
pub(crate) struct RunCall {
    vm: usize,
    life: u64,
    id: u64,
    engine: usize,
    grant: SlotGrant,
    subject: RunSubject,
}

#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Vm(usize, u64, VmEvent),
    Append(usize, LogRecord),
    Read(usize, u64, LogStream, u64),
    RunArrives(RunCall),
    RunEnds(u64, RunCall, ServerIncarnation),
    OrderArrives(OrderCall),
    OrderActs(OrderCall),
    ReportAsked(usize, u64, GroupName, usize),
    Serve(usize, u64, u64, String),
    Arrive,
    Resend(usize),
    Publish,
    Republish(ConfigRecord),
    Job,
    Resubmit(JobEntry, u32),
    Fault,
    Mend(FaultKind),
    Boot(usize),
    List,
    Retain,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    LogDown,
    VmKilled(usize),
    VmPaused(usize),
    Partition,
    VmWithoutLog(usize),
    EngineRestarts(usize),
    ClockJumps(usize),
    ServerDrains(usize),
    SlowLoads,
}

pub(crate) struct QueuedEvent {
    at: TimePoint,
    order: u64,
    event: WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub(crate) struct VmSeat {
    pub(crate) name: VmName,
    pub(crate) place: MemberPlace,
    pub(crate) life: u64,
    pub(crate) vm: Option<SoakVm>,
    pub(crate) paused: TimePoint,
    pub(crate) side: bool,
    pub(crate) without_log: bool,
    pub(crate) clock_ms: u64,
    pub(crate) stopped: TimePoint,
}

#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) name: String,
    pub(crate) kind: SoakKind,
    pub(crate) hedged: bool,
    pub(crate) first: TimePoint,
    pub(crate) tries: u32,
    pub(crate) done: bool,
}

/// A run in progress.
pub(crate) struct SoakWorld {
    pub(crate) settings: SoakSettings,
    pub(crate) rng: Pcg64,
    pub(crate) now: TimePoint,
    pub(crate) queue: BinaryHeap<Reverse<QueuedEvent>>,
    pub(crate) order: u64,
    pub(crate) seats: Vec<VmSeat>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) drained: Vec<Option<TimePoint>>,
    pub(crate) log: FakeLog,
    pub(crate) requests: Vec<CallerRequest>,
    pub(crate) versions: Vec<u64>,
    pub(crate) jobs: u64,
    pub(crate) publishes: u64,
    pub(crate) run_number: u64,
    pub(crate) slow_loads: bool,
    pub(crate) calm: bool,
    pub(crate) troubled: TimePoint,
    pub(crate) oracle: SoakOracle,
    pub(crate) result: SoakResult,
}

/// Runs one seed.
#[must_use]
pub fn run_seed(settings: &SoakSettings) -> SoakResult {
    let mut world = SoakWorld::new(settings.clone());
    world.run();
    world.result
}

impl SoakWorld {
    fn new(settings: SoakSettings) -> Self {
        let rng = Pcg64::seed_from_u64(settings.seed);
        let engines = (0..settings.engines)
            .map(|at| FakeEngine::new(format!("engine-{at}").into(), settings.slots, at % 2 == 0));
        let mut world = Self {
            engines: engines.collect(),
            drained: vec![None; settings.engines],
            seats: (0..settings.vms).map(VmSeat::new).collect(),
            settings,
            rng,
            now: TimePoint(0),
            queue: BinaryHeap::new(),
            order: 0,
            log: FakeLog::default(),
            requests: Vec::new(),
            versions: Vec::new(),
            jobs: 0,
            publishes: 0,
            run_number: 0,
            slow_loads: false,
            calm: false,
            troubled: TimePoint(0),
            oracle: SoakOracle::default(),
            result: SoakResult::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        let first = ConfigRecord::Publish {
            base: Default::default(),
            publish_id: "first".to_owned(),
            change: ConfigChange::Whole(self.first_manifest()),
        };
        self.log.append(self.now, LogRecord::Config(Box::new(first)));
        for at in 0..self.seats.len() {
            self.push(0, WorldEvent::Boot(at));
        }
        for event in [WorldEvent::List, WorldEvent::Retain, WorldEvent::Arrive] {
            self.push(0, event);
        }
        self.push(3_000, WorldEvent::Job);
        self.push(2_000, WorldEvent::Publish);
        self.push(6_000, WorldEvent::Fault);
    }

    fn run(&mut self) {
        while self.result.events < self.settings.events && self.violations_few() {
            self.step();
        }
        self.mend_all();
        let limit = self.now.plus(REST_LIMIT_MS * MICROS_PER_MILLI);
        let mut unrest = Vec::new();
        while self.now < limit && self.violations_few() {
            let until = self.now.plus(REST_STEP_MS * MICROS_PER_MILLI);
            while self.now < until {
                self.step();
            }
            unrest = self.unrest();
            if unrest.is_empty() {
                break;
            }
        }
        let unrest = if self.violations_few() { unrest } else { Vec::new() };
        for (rule, detail) in unrest {
            self.oracle.violate(self.now.0, rule, detail);
        }
        self.finish();
    }

    fn violations_few(&self) -> bool {
        self.oracle.violations().is_empty()
    }

    fn finish(&mut self) {
        for at in 0..self.seats.len() {
            self.collect_checks(at);
        }
        self.result.virtual_ms = self.now.0 / MICROS_PER_MILLI;
        self.result.runs = self.oracle.runs;
        self.result.answers = self.oracle.answers;
        self.result.jobs = self.oracle.jobs() as u64;
        self.result.versions = self.versions.len() as u64;
        let vms = self.seats.iter().filter_map(|seat| seat.vm.as_ref());
        let owners =
            vms.map(|vm| vm.control.owners().iter().map(|owner| owner.epoch.0).sum::<u64>());
        self.result.takeovers = owners.max().unwrap_or_default();
        self.result.violations = self.oracle.violations().to_vec();
    }

    /// Takes the checks that a VM made inside the program into the run's result.
    fn collect_checks(&mut self, at: usize) {
        let Some(vm) = &self.seats[at].vm else { return };
        for violation in vm.invariants().details() {
            let detail = format!("{}: {}", self.seats[at].name, violation.detail);
            self.oracle.violate(self.now.0, violation.name.as_str(), detail);
        }
    }

    pub(crate) fn push(&mut self, after_ms: u64, event: WorldEvent) {
        self.push_micros(after_ms * MICROS_PER_MILLI, event);
    }

    pub(crate) fn push_micros(&mut self, after: u64, event: WorldEvent) {
        self.order += 1;
        let queued = QueuedEvent { at: self.now.plus(after), order: self.order, event };
        self.queue.push(Reverse(queued));
    }

    pub(crate) fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn step(&mut self) {
        let Some(Reverse(queued)) = self.queue.pop() else { return };
        self.now = queued.at;
        self.result.events += 1;
        match queued.event {
            WorldEvent::Vm(at, life, event) => self.vm_event(at, life, event),
            WorldEvent::Append(at, record) => self.append(at, record),
            WorldEvent::Read(at, life, stream, from) => self.read(at, life, stream, from),
            WorldEvent::RunArrives(call) => self.run_arrives(call),
            WorldEvent::RunEnds(run, call, incarnation) => self.run_ends(run, call, incarnation),
            WorldEvent::OrderArrives(call) => self.order_arrives(call),
            WorldEvent::OrderActs(call) => self.order_acts(call),
            WorldEvent::ReportAsked(at, life, group, engine) => {
                self.report_asked(at, life, group, engine);
            }
            WorldEvent::Serve(at, life, id, key) => self.serve(at, life, id, &key),
            WorldEvent::Arrive => self.arrive(),
            WorldEvent::Resend(request) => self.resend(request),
            WorldEvent::Publish => self.publish(),
            WorldEvent::Republish(record) => {
                self.log.append(self.now, LogRecord::Config(Box::new(record)));
            }
            WorldEvent::Job => self.job(),
            WorldEvent::Resubmit(entry, tries) => self.resubmit(entry, tries),
            WorldEvent::Fault => self.fault(),
            WorldEvent::Mend(kind) => self.mend(kind),
            WorldEvent::Boot(at) => self.boot(at),
            WorldEvent::List => self.list(),
            WorldEvent::Retain => self.retain(),
        }
    }

    fn boot(&mut self, at: usize) {
        let now = self.now;
        let seat = &mut self.seats[at];
        if seat.vm.is_some() {
            return;
        }
        seat.life += 1;
        // Drawn like the process does, so that a later life may have the lower number.
        let incarnation = VmIncarnation(self.rng.random_range(1..u64::from(u32::MAX)));
        let identity = VmIdentity { vm: seat.name.clone(), incarnation };
        let broken = self.settings.broken;
        seat.vm = Some(SoakVm::new(identity, seat.place.clone(), now, broken));
        let life = seat.life;
        self.push(1, WorldEvent::Vm(at, life, VmEvent::Tick));
        let list = self.listed();
        self.push(2, WorldEvent::Vm(at, life, VmEvent::List(list)));
    }

    fn vm_event(&mut self, at: usize, life: u64, event: VmEvent) {
        let now = self.now;
        let seat = &mut self.seats[at];
        if seat.life != life || seat.vm.is_none() {
            return;
        }
        if seat.paused > now {
            let wait = seat.paused.since(now);
            return self.push_micros(wait, WorldEvent::Vm(at, life, event));
        }
        let ticked = matches!(event, VmEvent::Tick);
        let mut out = Vec::new();
        let clock_ms = seat.clock_ms + now.0 / MICROS_PER_MILLI;
        let Some(vm) = &mut seat.vm else { return };
        let rng = &mut self.rng;
        match event {
            VmEvent::Tick => vm.tick(now, rng, &mut out),
            VmEvent::List(list) => vm.listed(now, list, rng, &mut out),
            VmEvent::Peer(from, message) => vm.peer(now, from, message, rng, &mut out),
            VmEvent::Page(stream, page) => vm.page(now, stream, page, rng, &mut out),
            VmEvent::RunEnded(id, end) => vm.run_ended(now, id, end, rng, &mut out),
            VmEvent::Ordered(end) => vm.ordered(now, end, rng, &mut out),
            VmEvent::Report(group, server, report) => {
                vm.report(now, &group, server, report, rng, &mut out);
            }
            VmEvent::Served(id, outcome) => vm.served(id, outcome, &mut out),
            VmEvent::Request(request) => vm.request(now, clock_ms, request, rng, &mut out),
            VmEvent::Submit(entry) => vm.submit(entry, &mut out),
        }
        if ticked {
            self.collect_checks(at);
            self.push(TICK_MS, WorldEvent::Vm(at, life, VmEvent::Tick));
        }
        for output in out {
            self.output(at, life, output);
        }
    }

    fn output(&mut self, at: usize, life: u64, output: VmOutput) {
        match output {
            VmOutput::Peer(to, message) => self.send(at, &to, message),
            VmOutput::Append(record) => {
                let wait = self.rng.random_range(1..8);
                self.push(wait, WorldEvent::Append(at, record));
            }
            VmOutput::Read(stream, from) => {
                let wait = self.rng.random_range(1..8);
                self.push(wait, WorldEvent::Read(at, life, stream, from));
            }
            VmOutput::Run(id, grant, subject) => {
                let Some(engine) = self.engine(&grant.server) else { return };
                let call = RunCall { vm: at, life, id, engine, grant, subject };
                self.push_micros(700, WorldEvent::RunArrives(call));
            }
            VmOutput::Serve(id, key) => {
                self.push_micros(700, WorldEvent::Serve(at, life, id, key));
            }
            VmOutput::Order { group, epoch, number, server, incarnation, order } => {
                let Some(engine) = self.engine(&server) else { return };
                let call =
                    OrderCall { vm: at, life, engine, group, epoch, number, incarnation, order };
                let wait = self.rng.random_range(500..3_000);
                self.push_micros(wait, WorldEvent::OrderArrives(call));
            }
            VmOutput::Report(group, server) => {
                let Some(engine) = self.engine(&server) else { return };
                self.push_micros(600, WorldEvent::ReportAsked(at, life, group, engine));
            }
            VmOutput::Answer(request, try_number, outcome) => {
                self.answered(request, try_number, outcome);
            }
            VmOutput::JobAccepted(job) => self.oracle.job_accepted(&job),
            VmOutput::JobEnded(job, end) => self.oracle.job_ended(self.now.0, &job, &end),
            VmOutput::InForce => self.in_force(at),
        }
    }

    fn engine(&self, server: &ServerName) -> Option<usize> {
        self.engines.iter().position(|engine| engine.name == *server)
    }

    /// A message is lost if a side of it is cut off, or if the other VM is not there; one that is
    /// paused gets it when it wakes.
    fn send(&mut self, from: usize, to: &VmName, message: PeerMessage) {
        let Some(target) = self.seats.iter().position(|seat| seat.name == *to) else { return };
        let parted = self.seats[from].side != self.seats[target].side;
        let wait = self.rng.random_range(400..3_000);
        if parted || self.seats[target].vm.is_none() {
            return;
        }
        let name = self.seats[from].name.clone();
        let life = self.seats[target].life;
        self.push_micros(wait, WorldEvent::Vm(target, life, VmEvent::Peer(name, message)));
    }

    fn append(&mut self, at: usize, record: LogRecord) {
        if self.seats[at].without_log {
            return;
        }
        let taken = self.log.append(self.now, record.clone());
        // The client repeats an append whose answer was lost, though it took effect.
        if taken && self.chance(30) {
            self.log.append(self.now, record);
        }
    }

    fn read(&mut self, at: usize, life: u64, stream: LogStream, from: u64) {
        let page = if self.seats[at].without_log { None } else { self.log.read(stream, from) };
        let wait = self.rng.random_range(500..5_000);
        self.push_micros(wait, WorldEvent::Vm(at, life, VmEvent::Page(stream, page)));
    }

    fn run_arrives(&mut self, call: RunCall) {
        self.run_number += 1;
        let run = self.run_number;
        let engine = &mut self.engines[call.engine];
        if !engine.begin(run, &call.grant.slot) {
            return self.tell_run(&call, RunEnd::Failed(CallStage::SlotMissing));
        }
        let incarnation = engine.incarnation;
        let adapter = parse_slot(&call.grant.slot).map(|(adapter, _)| adapter);
        if adapter.as_ref() != Some(&call.subject.adapter) {
            let detail = format!("{} ran on {}", call.subject.name, call.grant.slot);
            self.oracle.violate(self.now.0, "right_adapter", detail);
        }
        self.check_drained(call.engine, &call.subject.name);
        self.oracle.ran(self.now.0, &call.subject.name, call.subject.once);
        let wait = self.rng.random_range(20..900);
        self.push(wait, WorldEvent::RunEnds(run, call, incarnation));
    }

    /// A leaving server gets nothing new after a few seconds; while faults keep the record of its
    /// leaving from the owner, nobody can know.
    fn check_drained(&mut self, engine: usize, name: &str) {
        let Some(since) = self.drained[engine] else { return };
        let known = since.max(self.troubled);
        if self.calm && self.now.since(known) > DRAIN_GRACE_MS * MICROS_PER_MILLI {
            let detail = format!("{name} began on engine-{engine}, which is leaving");
            self.oracle.violate(self.now.0, "leaving_server_idle", detail);
        }
    }

    fn run_ends(&mut self, run: u64, call: RunCall, incarnation: ServerIncarnation) {
        let engine = &mut self.engines[call.engine];
        let whole = engine.incarnation == incarnation && engine.end(run);
        let end = if whole { RunEnd::Done } else { RunEnd::Failed(CallStage::SentNoAnswer) };
        self.tell_run(&call, end);
    }

    fn tell_run(&mut self, call: &RunCall, end: RunEnd) {
        let event = VmEvent::RunEnded(call.id, end);
        self.push_micros(700, WorldEvent::Vm(call.vm, call.life, event));
    }

    fn order_arrives(&mut self, call: OrderCall) {
        let engine = &mut self.engines[call.engine];
        let gone = call.incarnation.is_some_and(|life| life != engine.incarnation);
        if gone || engine.fences(call.epoch) {
            let result = if gone { OrderResult::Failed } else { OrderResult::Stale };
            return self.tell_order(&call, result);
        }
        let unload = matches!(call.order, EngineOrder::Unload { .. });
        let most = if self.slow_loads { 30_000 } else { 900 };
        let wait = if unload { 1 } else { self.rng.random_range(100..most) };
        self.push(wait, WorldEvent::OrderActs(call));
    }

    fn order_acts(&mut self, call: OrderCall) {
        let life = self.engines[call.engine].incarnation;
        if call.incarnation.is_some_and(|known| known != life) {
            return;
        }
        let load = matches!(call.order, EngineOrder::Load { .. });
        if load && self.chance(30) {
            return self.tell_order(&call, OrderResult::Failed);
        }
        let (result, cut) = self.engines[call.engine].obey(&call.order);
        self.result.unloads += u64::from(!load && call.incarnation.is_some());
        if !cut.is_empty() {
            let detail = format!("{:?} by epoch {} cut runs {cut:?}", call.order, call.epoch);
            self.oracle.violate(self.now.0, "no_eviction_in_use", detail);
        }
        if !self.chance(20) {
            self.tell_order(&call, result);
        }
    }

    fn tell_order(&mut self, call: &OrderCall, result: OrderResult) {
        let server = self.engines[call.engine].name.clone();
        let (group, epoch, number) = (call.group.clone(), call.epoch, call.number);
        let event = VmEvent::Ordered(OrderEnd { server, group, epoch, number, result });
        self.push_micros(800, WorldEvent::Vm(call.vm, call.life, event));
    }

    fn report_asked(&mut self, at: usize, life: u64, group: GroupName, engine: usize) {
        let engine = &mut self.engines[engine];
        let (server, report) = (engine.name.clone(), engine.report());
        let lag = self.rng.random_range(1..800);
        let event = VmEvent::Report(group, server, Some(report));
        self.push(lag, WorldEvent::Vm(at, life, event));
    }

    /// The plain service runs the call when it arrives. Now and then it refuses before it ran, or
    /// its answer is lost after it ran.
    fn serve(&mut self, at: usize, life: u64, id: u64, key: &str) {
        if self.chance(40) {
            let event = VmEvent::Served(id, RequestOutcome::NotRun);
            return self.push(1, WorldEvent::Vm(at, life, event));
        }
        self.oracle.ran(self.now.0, key, true);
        if self.chance(60) {
            return;
        }
        let wait = self.rng.random_range(1..300);
        self.push(wait, WorldEvent::Vm(at, life, VmEvent::Served(id, RequestOutcome::Done)));
    }

    /// A configuration came into force at a VM: the same version must be the same everywhere.
    fn in_force(&mut self, at: usize) {
        let Some(vm) = &self.seats[at].vm else { return };
        let version = vm.config.version().0 as usize;
        let manifest = serde_json::to_string(&**vm.config.manifest()).unwrap_or_default();
        let hash = stable_hash(&[&manifest]);
        if self.versions.len() < version {
            self.versions.resize(version, 0);
        }
        let Some(known) = version.checked_sub(1).map(|at| &mut self.versions[at]) else { return };
        if *known == 0 {
            *known = hash;
        }
        if *known != hash {
            let detail = format!("version {version} differs at {}", self.seats[at].name);
            self.oracle.violate(self.now.0, "config_never_reverts", detail);
        }
    }
}

impl VmSeat {
    fn new(at: usize) -> Self {
        let address = |port: usize| std::net::SocketAddr::from(([127, 0, 0, 1], port as u16));
        let place = MemberPlace {
            caller: address(8_000 + at),
            peer: address(9_000 + at),
            domain: format!("domain-{}", at % 3).into(),
            region: REGION.into(),
        };
        Self {
            name: format!("vm-{at}").into(),
            place,
            life: 0,
            vm: None,
            paused: TimePoint(0),
            side: false,
            without_log: false,
            clock_ms: 1_700_000_000_000,
            stopped: TimePoint(0),
        }
    }
}

/// The region of the soak.
pub(crate) const REGION: &str = "nbo";
