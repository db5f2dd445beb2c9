//! The simulated world of the soak: virtual time, messages, faults, callers and operators.
//!
//! One event queue and one seeded random generator drive a run, so a seed replays it exactly. A run
//! injects faults, alone and in pairs, for a number of events. Then it ends all faults, and the
//! system must settle with no request or job lost.

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

/// Settings of a soak run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSettings {
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of events while faults are injected.
    pub events: u64,
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of model engines; every second one ignores fencing numbers.
    pub engines: usize,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Number of adapters at the start.
    pub adapters: usize,
    /// Whether to inject no faults but killed and paused VMs, and these more often, so that
    /// ownership moves continually.
    pub vm_faults: bool,
    /// The safeguard that the run disables.
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

/// Result of a soak run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakResult {
    /// Events, including those while the system settles.
    pub events: u64,
    /// Virtual time at the end, in milliseconds.
    pub virtual_ms: u64,
    /// Runs on backend servers.
    pub runs: u64,
    /// Number of answers by outcome: done, not run, failed, unknown.
    pub answers: [u64; 4],
    /// Jobs accepted.
    pub jobs: u64,
    /// The highest configuration version.
    pub versions: u64,
    /// Sum over groups of the epoch in force, which counts takeovers.
    pub takeovers: u64,
    /// Unloads of adapters by owners.
    pub unloads: u64,
    /// Faults injected.
    pub faults: u64,
    /// Violations found; empty if every check passed.
    pub violations: Vec<SoakViolation>,
}

/// Interval between ticks of a VM, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;
/// Interval between checks of whether the system has settled, in milliseconds.
const SETTLE_CHECK_INTERVAL_MS: u64 = 5_000;
/// Time in which the system must settle, in milliseconds. Slots of a dead VM are freed after the
/// zombie window of 120 s.
const SETTLE_TIMEOUT_MS: u64 = 400_000;
/// Time after which a draining backend server must not receive new runs, in milliseconds.
const DRAIN_GRACE_MS: u64 = 3_000;

/// An event for a VM.
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

/// An order in flight to an engine, with its sender.
#[derive(Clone, Debug)]
pub(crate) struct OrderCall {
    vm: usize,
    generation: u64,
    engine: usize,
    group: GroupName,
    epoch: OwnerEpoch,
    number: u64,
    incarnation: Option<ServerIncarnation>,
    order: EngineOrder,
}

/// A run in flight to an engine or in progress there, with its sender.
#[derive(Clone, Debug)]
pub(crate) struct RunCall {
    vm: usize,
    generation: u64,
    id: u64,
    engine: usize,
    grant: SlotGrant,
    subject: RunSubject,
}

/// An event of the queue. Numbers are the VM's host, its generation and further ids.
#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Vm(usize, u64, VmEvent),
    Append(usize, LogRecord),
    Read(usize, u64, LogStream, u64),
    RunArrives(RunCall),
    RunEnds(u64, RunCall, ServerIncarnation),
    OrderArrives(OrderCall),
    OrderExecutes(OrderCall),
    ReportRequested(usize, u64, GroupName, usize),
    Serve(usize, u64, u64, String),
    Arrive,
    Resend(usize),
    Publish,
    Republish(ConfigRecord),
    Job,
    Resubmit(JobEntry, u32),
    Fault,
    Repair(FaultKind),
    Boot(usize),
    List,
    Retain,
}

/// A kind of fault, with the number of the VM host or engine.
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

/// An event with its time; events of the same time are ordered by `order`.
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

/// State of one named VM, across its incarnations.
pub(crate) struct VmHost {
    pub(crate) name: VmName,
    pub(crate) place: MemberPlace,
    /// Incremented at each start and kill; events for an earlier generation are dropped.
    pub(crate) generation: u64,
    /// The running VM; `None` while it is down.
    pub(crate) vm: Option<SoakVm>,
    /// Until when the VM is paused.
    pub(crate) paused: TimePoint,
    /// Side of the network partition; VMs on different sides cannot reach each other.
    pub(crate) partitioned: bool,
    /// Whether the VM cannot reach the log.
    pub(crate) without_log: bool,
    /// Wall clock at virtual time 0, in milliseconds.
    pub(crate) clock_ms: u64,
    /// When the VM was killed last.
    pub(crate) stopped: TimePoint,
}

/// A caller's request, over all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) name: String,
    pub(crate) kind: SoakKind,
    /// Whether the caller resends it while it still waits for an answer.
    pub(crate) hedged: bool,
    /// When it was created.
    pub(crate) first: TimePoint,
    pub(crate) attempts: u32,
    pub(crate) done: bool,
}

/// State of a soak run.
pub(crate) struct SoakWorld {
    pub(crate) settings: SoakSettings,
    pub(crate) rng: Pcg64,
    pub(crate) now: TimePoint,
    pub(crate) queue: BinaryHeap<Reverse<QueuedEvent>>,
    pub(crate) order: u64,
    pub(crate) hosts: Vec<VmHost>,
    pub(crate) engines: Vec<FakeEngine>,
    /// Since when each engine drains; `None` if it does not.
    pub(crate) drained: Vec<Option<TimePoint>>,
    pub(crate) log: FakeLog,
    pub(crate) requests: Vec<CallerRequest>,
    /// Hash of the manifest of each configuration version; 0 if it has not come into force yet.
    pub(crate) versions: Vec<u64>,
    pub(crate) jobs: u64,
    pub(crate) publishes: u64,
    pub(crate) run_number: u64,
    pub(crate) slow_loads: bool,
    /// Whether all faults and new load have ended.
    pub(crate) settling: bool,
    /// When the last fault ends, pauses included; set when `settling` is.
    pub(crate) faults_end: TimePoint,
    pub(crate) oracle: SoakOracle,
    pub(crate) result: SoakResult,
}

/// Runs one seed: the same settings always give the same result. Stops at the first violation.
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
            hosts: (0..settings.vms).map(VmHost::new).collect(),
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
            settling: false,
            faults_end: TimePoint(0),
            oracle: SoakOracle::default(),
            result: SoakResult::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        let publish = ConfigRecord::Publish {
            base: Default::default(),
            publish_id: "first".to_owned(),
            change: ConfigChange::Whole(self.initial_manifest()),
        };
        self.log.append(self.now, LogRecord::Config(Box::new(publish)));
        for at in 0..self.hosts.len() {
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
        while self.result.events < self.settings.events && self.no_violations() {
            self.step();
        }
        self.repair_all();
        let limit = self.now.plus(SETTLE_TIMEOUT_MS * MICROS_PER_MILLI);
        let mut unsettled = Vec::new();
        while self.now < limit && self.no_violations() {
            let until = self.now.plus(SETTLE_CHECK_INTERVAL_MS * MICROS_PER_MILLI);
            while self.now < until {
                self.step();
            }
            unsettled = self.unsettled();
            if unsettled.is_empty() {
                break;
            }
        }
        let unsettled = if self.no_violations() { unsettled } else { Vec::new() };
        for (rule, detail) in unsettled {
            self.oracle.record_violation(self.now.0, rule, detail);
        }
        self.finish();
    }

    fn no_violations(&self) -> bool {
        self.oracle.violations().is_empty()
    }

    fn finish(&mut self) {
        for at in 0..self.hosts.len() {
            self.collect_invariants(at);
        }
        self.result.virtual_ms = self.now.0 / MICROS_PER_MILLI;
        self.result.runs = self.oracle.runs;
        self.result.answers = self.oracle.answers;
        self.result.jobs = self.oracle.jobs() as u64;
        self.result.versions = self.versions.len() as u64;
        let vms = self.hosts.iter().filter_map(|host| host.vm.as_ref());
        let owners =
            vms.map(|vm| vm.control.owners().iter().map(|owner| owner.epoch.0).sum::<u64>());
        self.result.takeovers = owners.max().unwrap_or_default();
        self.result.violations = self.oracle.violations().to_vec();
    }

    /// Records the invariant violations that a VM detected itself.
    fn collect_invariants(&mut self, at: usize) {
        let Some(vm) = &self.hosts[at].vm else { return };
        for violation in vm.invariants().details() {
            let detail = format!("{}: {}", self.hosts[at].name, violation.detail);
            self.oracle.record_violation(self.now.0, violation.name.as_str(), detail);
        }
    }

    /// Schedules an event after a delay in milliseconds.
    pub(crate) fn push(&mut self, after_ms: u64, event: WorldEvent) {
        self.push_micros(after_ms * MICROS_PER_MILLI, event);
    }

    /// Schedules an event after a delay in microseconds.
    pub(crate) fn push_micros(&mut self, after_us: u64, event: WorldEvent) {
        self.order += 1;
        let queued = QueuedEvent { at: self.now.plus(after_us), order: self.order, event };
        self.queue.push(Reverse(queued));
    }

    /// Draws true with the given probability.
    pub(crate) fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn step(&mut self) {
        let Some(Reverse(queued)) = self.queue.pop() else { return };
        self.now = queued.at;
        self.result.events += 1;
        match queued.event {
            WorldEvent::Vm(at, generation, event) => self.vm_event(at, generation, event),
            WorldEvent::Append(at, record) => self.append(at, record),
            WorldEvent::Read(at, generation, stream, pos) => self.read(at, generation, stream, pos),
            WorldEvent::RunArrives(call) => self.run_arrives(call),
            WorldEvent::RunEnds(run, call, incarnation) => self.run_ends(run, call, incarnation),
            WorldEvent::OrderArrives(call) => self.order_arrives(call),
            WorldEvent::OrderExecutes(call) => self.order_executes(call),
            WorldEvent::ReportRequested(at, generation, group, engine) => {
                self.report_requested(at, generation, group, engine);
            }
            WorldEvent::Serve(at, generation, id, key) => self.serve(at, generation, id, &key),
            WorldEvent::Arrive => self.arrive(),
            WorldEvent::Resend(request) => self.resend(request),
            WorldEvent::Publish => self.publish(),
            WorldEvent::Republish(record) => {
                self.log.append(self.now, LogRecord::Config(Box::new(record)));
            }
            WorldEvent::Job => self.job(),
            WorldEvent::Resubmit(entry, attempts) => self.resubmit(entry, attempts),
            WorldEvent::Fault => self.fault(),
            WorldEvent::Repair(kind) => self.repair(kind),
            WorldEvent::Boot(at) => self.boot(at),
            WorldEvent::List => self.list(),
            WorldEvent::Retain => self.retain(),
        }
    }

    /// Starts a VM as a new incarnation, unless it runs.
    fn boot(&mut self, at: usize) {
        let now = self.now;
        let host = &mut self.hosts[at];
        if host.vm.is_some() {
            return;
        }
        host.generation += 1;
        // Drawn at random as in the entry process: a later incarnation may have a lower number.
        let incarnation = VmIncarnation(self.rng.random_range(1..u64::from(u32::MAX)));
        let identity = VmIdentity { vm: host.name.clone(), incarnation };
        let broken = self.settings.broken;
        host.vm = Some(SoakVm::new(identity, host.place.clone(), now, broken));
        let generation = host.generation;
        self.push(1, WorldEvent::Vm(at, generation, VmEvent::Tick));
        let list = self.listed();
        self.push(2, WorldEvent::Vm(at, generation, VmEvent::List(list)));
    }

    /// Delivers an event to a VM and carries out its outputs. Defers the event while the VM is
    /// paused, and drops it if the VM has restarted.
    fn vm_event(&mut self, at: usize, generation: u64, event: VmEvent) {
        let now = self.now;
        let host = &mut self.hosts[at];
        if host.generation != generation || host.vm.is_none() {
            return;
        }
        if host.paused > now {
            let wait = host.paused.since(now);
            return self.push_micros(wait, WorldEvent::Vm(at, generation, event));
        }
        let ticked = matches!(event, VmEvent::Tick);
        let mut out = Vec::new();
        let clock_ms = host.clock_ms + now.0 / MICROS_PER_MILLI;
        let Some(vm) = &mut host.vm else { return };
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
            self.collect_invariants(at);
            self.push(TICK_INTERVAL_MS, WorldEvent::Vm(at, generation, VmEvent::Tick));
        }
        for output in out {
            self.output(at, generation, output);
        }
    }

    fn output(&mut self, at: usize, generation: u64, output: VmOutput) {
        match output {
            VmOutput::Peer(to, message) => self.send(at, &to, message),
            VmOutput::Append(record) => {
                let wait = self.rng.random_range(1..8);
                self.push(wait, WorldEvent::Append(at, record));
            }
            VmOutput::Read(stream, from) => {
                let wait = self.rng.random_range(1..8);
                self.push(wait, WorldEvent::Read(at, generation, stream, from));
            }
            VmOutput::Run(id, grant, subject) => {
                let Some(engine) = self.engine(&grant.server) else { return };
                let call = RunCall { vm: at, generation, id, engine, grant, subject };
                self.push_micros(700, WorldEvent::RunArrives(call));
            }
            VmOutput::Serve(id, key) => {
                self.push_micros(700, WorldEvent::Serve(at, generation, id, key));
            }
            VmOutput::Order { group, epoch, number, server, incarnation, order } => {
                let Some(engine) = self.engine(&server) else { return };
                let call = OrderCall {
                    vm: at,
                    generation,
                    engine,
                    group,
                    epoch,
                    number,
                    incarnation,
                    order,
                };
                let wait = self.rng.random_range(500..3_000);
                self.push_micros(wait, WorldEvent::OrderArrives(call));
            }
            VmOutput::Report(group, server) => {
                let Some(engine) = self.engine(&server) else { return };
                self.push_micros(600, WorldEvent::ReportRequested(at, generation, group, engine));
            }
            VmOutput::Answer(request, attempt_number, outcome) => {
                self.answered(request, attempt_number, outcome);
            }
            VmOutput::JobAccepted(job) => self.oracle.job_accepted(&job),
            VmOutput::JobEnded(job, end) => self.oracle.job_ended(self.now.0, &job, &end),
            VmOutput::InForce => self.in_force(at),
        }
    }

    fn engine(&self, server: &ServerName) -> Option<usize> {
        self.engines.iter().position(|engine| engine.name == *server)
    }

    /// Sends a message between VMs. It is lost if the VMs are on different sides of a partition, or
    /// if the receiver is down. A paused receiver handles it after the pause.
    fn send(&mut self, from: usize, to: &VmName, message: PeerMessage) {
        let Some(target) = self.hosts.iter().position(|host| host.name == *to) else { return };
        let separated = self.hosts[from].partitioned != self.hosts[target].partitioned;
        let wait = self.rng.random_range(400..3_000);
        if separated || self.hosts[target].vm.is_none() {
            return;
        }
        let name = self.hosts[from].name.clone();
        let generation = self.hosts[target].generation;
        self.push_micros(wait, WorldEvent::Vm(target, generation, VmEvent::Peer(name, message)));
    }

    fn append(&mut self, at: usize, record: LogRecord) {
        if self.hosts[at].without_log {
            return;
        }
        let appended = self.log.append(self.now, record.clone());
        // The log client repeats an append whose reply was lost although it took effect.
        if appended && self.chance(30) {
            self.log.append(self.now, record);
        }
    }

    fn read(&mut self, at: usize, generation: u64, stream: LogStream, from: u64) {
        let page = if self.hosts[at].without_log { None } else { self.log.read(stream, from) };
        let wait = self.rng.random_range(500..5_000);
        self.push_micros(wait, WorldEvent::Vm(at, generation, VmEvent::Page(stream, page)));
    }

    fn run_arrives(&mut self, call: RunCall) {
        self.run_number += 1;
        let run = self.run_number;
        let engine = &mut self.engines[call.engine];
        if !engine.begin(run, &call.grant.slot) {
            return self.send_run_end(&call, RunEnd::Failed(CallStage::SlotMissing));
        }
        let incarnation = engine.incarnation;
        let adapter = parse_slot(&call.grant.slot).map(|(adapter, _)| adapter);
        if adapter.as_ref() != Some(&call.subject.adapter) {
            let detail = format!("{} ran on {}", call.subject.name, call.grant.slot);
            self.oracle.record_violation(self.now.0, "right_adapter", detail);
        }
        self.check_drained(call.engine, &call.subject.name);
        self.oracle.ran(self.now.0, &call.subject.name, call.subject.once);
        let wait = self.rng.random_range(20..900);
        self.push(wait, WorldEvent::RunEnds(run, call, incarnation));
    }

    /// Checks that a draining server receives no new runs after the grace time. Only checked once
    /// all faults have ended, since a fault may keep the drain record from the owner.
    fn check_drained(&mut self, engine: usize, name: &str) {
        let Some(since) = self.drained[engine] else { return };
        let start = since.max(self.faults_end);
        if self.settling && self.now.since(start) > DRAIN_GRACE_MS * MICROS_PER_MILLI {
            let detail = format!("{name} began on engine-{engine}, which is leaving");
            self.oracle.record_violation(self.now.0, "leaving_server_idle", detail);
        }
    }

    fn run_ends(&mut self, run: u64, call: RunCall, incarnation: ServerIncarnation) {
        let engine = &mut self.engines[call.engine];
        let completed = engine.incarnation == incarnation && engine.end(run);
        let end = if completed { RunEnd::Done } else { RunEnd::Failed(CallStage::SentNoAnswer) };
        self.send_run_end(&call, end);
    }

    fn send_run_end(&mut self, call: &RunCall, end: RunEnd) {
        let event = VmEvent::RunEnded(call.id, end);
        self.push_micros(700, WorldEvent::Vm(call.vm, call.generation, event));
    }

    fn order_arrives(&mut self, call: OrderCall) {
        let engine = &mut self.engines[call.engine];
        let restarted = call.incarnation.is_some_and(|expected| expected != engine.incarnation);
        if restarted || engine.rejects_epoch(call.epoch) {
            let result = if restarted { OrderResult::Failed } else { OrderResult::Stale };
            return self.send_order_end(&call, result);
        }
        let unload = matches!(call.order, EngineOrder::Unload { .. });
        let max = if self.slow_loads { 30_000 } else { 900 };
        let wait = if unload { 1 } else { self.rng.random_range(100..max) };
        self.push(wait, WorldEvent::OrderExecutes(call));
    }

    fn order_executes(&mut self, call: OrderCall) {
        let current = self.engines[call.engine].incarnation;
        if call.incarnation.is_some_and(|expected| expected != current) {
            return;
        }
        let load = matches!(call.order, EngineOrder::Load { .. });
        if load && self.chance(30) {
            return self.send_order_end(&call, OrderResult::Failed);
        }
        let (result, aborted) = self.engines[call.engine].execute(&call.order);
        self.result.unloads += u64::from(!load && call.incarnation.is_some());
        if !aborted.is_empty() {
            let detail = format!("{:?} by epoch {} cut runs {aborted:?}", call.order, call.epoch);
            self.oracle.record_violation(self.now.0, "no_eviction_in_use", detail);
        }
        if !self.chance(20) {
            self.send_order_end(&call, result);
        }
    }

    fn send_order_end(&mut self, call: &OrderCall, result: OrderResult) {
        let server = self.engines[call.engine].name.clone();
        let (group, epoch, number) = (call.group.clone(), call.epoch, call.number);
        let event = VmEvent::Ordered(OrderEnd { server, group, epoch, number, result });
        self.push_micros(800, WorldEvent::Vm(call.vm, call.generation, event));
    }

    fn report_requested(&mut self, at: usize, generation: u64, group: GroupName, engine: usize) {
        let engine = &mut self.engines[engine];
        let (server, report) = (engine.name.clone(), engine.report());
        let lag = self.rng.random_range(1..800);
        let event = VmEvent::Report(group, server, Some(report));
        self.push(lag, WorldEvent::Vm(at, generation, event));
    }

    /// Runs a call at the plain service. Some calls are refused before they run, and some answers
    /// are lost after the run.
    fn serve(&mut self, at: usize, generation: u64, id: u64, key: &str) {
        if self.chance(40) {
            let event = VmEvent::Served(id, RequestOutcome::NotRun);
            return self.push(1, WorldEvent::Vm(at, generation, event));
        }
        self.oracle.ran(self.now.0, key, true);
        if self.chance(60) {
            return;
        }
        let wait = self.rng.random_range(1..300);
        self.push(wait, WorldEvent::Vm(at, generation, VmEvent::Served(id, RequestOutcome::Done)));
    }

    /// Checks a configuration that came into force at a VM: a version must have the same content at
    /// every VM.
    fn in_force(&mut self, at: usize) {
        let Some(vm) = &self.hosts[at].vm else { return };
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
            let detail = format!("version {version} differs at {}", self.hosts[at].name);
            self.oracle.record_violation(self.now.0, "config_never_reverts", detail);
        }
    }
}

impl VmHost {
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
            generation: 0,
            vm: None,
            paused: TimePoint(0),
            partitioned: false,
            without_log: false,
            clock_ms: 1_700_000_000_000,
            stopped: TimePoint(0),
        }
    }
}

/// The only region of the soak.
pub(crate) const REGION: &str = "nbo";
