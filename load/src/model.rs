//! A model of engines and the weight store in virtual time, on which all policies run.
//!
//! It models no network and no VMs. In a step an engine generates one token for each request of its
//! batch. A step takes longer with the size of the batch and the number of distinct adapters in it.
//! An idle engine makes no steps.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coltsfoothook_decision::outcome::RequestClass;

use crate::arrival::Arrival;

/// Microseconds per second; virtual time is in microseconds.
pub(crate) const MICROS: u64 = 1_000_000;
/// Time that each request of a batch adds to a step, as a fraction of the base step.
const STEP_PER_REQUEST: f64 = 0.004;
/// Time that each distinct adapter of a batch adds to a step, as a fraction of the base step.
const STEP_PER_ADAPTER: f64 = 0.008;

/// Sizes and rates of a run.
#[derive(Clone, Debug)]
pub(crate) struct ModelShape {
    pub(crate) servers: u32,
    pub(crate) adapters: u32,
    /// Adapter slots of an engine.
    pub(crate) slots: u32,
    /// Maximum number of requests in an engine's batch.
    pub(crate) batch: u32,
    /// Duration of a step without requests and adapters.
    pub(crate) step_us: u64,
    /// Rate at which the store budget for loads refills.
    pub(crate) loads_per_s: f64,
    /// Number of concurrent loads that the store serves at full speed.
    pub(crate) full_speed: u32,
    /// Duration of a load at full speed.
    pub(crate) load_us: u64,
    /// Requests per second outside bursts.
    pub(crate) rate: f64,
    /// Factor of the rate during a shift change.
    pub(crate) burst: f64,
    /// Zipf exponent of the adapters' popularity.
    pub(crate) skew: f64,
    /// Fraction of the adapters whose popularity changes within an hour.
    pub(crate) turnover: f64,
    /// Handovers at each shift change.
    pub(crate) handovers: u32,
    /// Mean tokens of an answer.
    pub(crate) tokens: u32,
    pub(crate) duration_s: u64,
    /// Seconds at the start that the figures leave out.
    pub(crate) warmup_s: u64,
    pub(crate) stall_weight: f64,
}

/// An event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Step { engine: usize, incarnation: u32 },
    LoadDone(u64),
    Restart(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: usize,
    tokens_left: u32,
}

/// An engine and its batch.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineModel {
    running: Vec<RunningRequest>,
    /// Whether a step is in progress.
    stepping: bool,
    /// Number of restarts.
    pub(crate) incarnation: u32,
    /// Steps after the warm-up.
    steps: u64,
    /// Tokens generated after the warm-up.
    tokens: u64,
}

/// Result of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestResult {
    /// Time spent waiting for a load; the whole deadline if the request was given up.
    pub(crate) stall_us: u64,
    /// Virtual time of the first token.
    pub(crate) first_us: Option<u64>,
    pub(crate) done: bool,
    pub(crate) given_up: bool,
}

/// A placement policy under comparison.
pub(crate) trait RequestPlacer {
    /// Handles a request that arrives, or arrives again because its engine restarted.
    fn arrive(&mut self, model: &mut PlaceModel, request: usize);
    /// Handles a request that is done and has left its engine.
    fn finished(&mut self, model: &mut PlaceModel, request: usize);
    /// Handles the end of a load.
    fn loaded(&mut self, model: &mut PlaceModel, load: u64);
    /// Handles the restart of an engine, which is empty then. The requests in `lost` ran on it and
    /// arrive again afterwards.
    fn restarted(&mut self, model: &mut PlaceModel, engine: usize, lost: &[usize]);
    /// Advances time-dependent state; called every 20 ms.
    fn tick(&mut self, model: &mut PlaceModel);
}

const TICK_INTERVAL_MICROS: u64 = 20_000;
/// Time at which the first engine restarts, as a fraction of the run.
const RESTART_FRACTION: f64 = 0.6;

/// State of a run of one policy.
pub(crate) struct PlaceModel {
    pub(crate) now: u64,
    pub(crate) shape: ModelShape,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) results: Vec<RequestResult>,
    pub(crate) engines: Vec<EngineModel>,
    /// Events by time and order of scheduling.
    queue: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    order: u64,
    loads_running: u32,
    /// Loads started.
    pub(crate) loads: u64,
    /// Time after which the run stops.
    end: u64,
}

impl PlaceModel {
    pub(crate) fn new(shape: &ModelShape, arrivals: &[Arrival]) -> Self {
        let last = arrivals.last().map_or(0, |arrival| arrival.at);
        let mut model = Self {
            now: 0,
            shape: shape.clone(),
            arrivals: arrivals.to_vec(),
            results: vec![RequestResult::default(); arrivals.len()],
            engines: vec![EngineModel::default(); shape.servers as usize],
            queue: BinaryHeap::new(),
            order: 0,
            loads_running: 0,
            loads: 0,
            end: last + DRAIN_MICROS,
        };
        for (at, arrival) in arrivals.iter().enumerate() {
            model.schedule(arrival.at, ModelEvent::Arrive(at));
        }
        model.schedule((RESTART_FRACTION * last as f64) as u64, ModelEvent::Restart(0));
        model.schedule(0, ModelEvent::Tick);
        model
    }

    fn schedule(&mut self, time: u64, event: ModelEvent) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, event)));
    }

    /// Runs until [`DRAIN_MICROS`] after the last arrival.
    pub(crate) fn run(&mut self, placer: &mut dyn RequestPlacer) {
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > self.end {
                return;
            }
            self.now = time;
            match event {
                ModelEvent::Arrive(request) => placer.arrive(self, request),
                ModelEvent::Step { engine, incarnation } => self.step(engine, incarnation, placer),
                ModelEvent::LoadDone(load) => {
                    self.loads_running -= 1;
                    placer.loaded(self, load);
                }
                ModelEvent::Restart(engine) => self.restart(engine, placer),
                ModelEvent::Tick => {
                    placer.tick(self);
                    self.schedule(time + TICK_INTERVAL_MICROS, ModelEvent::Tick);
                }
            }
        }
    }

    /// Starts a load, which ends with [`RequestPlacer::loaded`]. It takes longer if more loads are
    /// in progress than the store serves at full speed.
    pub(crate) fn load(&mut self, load: u64) {
        self.loads += 1;
        self.loads_running += 1;
        let slowdown = self.loads_running.div_ceil(self.shape.full_speed.max(1));
        let end = self.now + self.shape.load_us * u64::from(slowdown);
        self.schedule(end, ModelEvent::LoadDone(load));
    }

    /// Adds a request to an engine's batch.
    pub(crate) fn start(&mut self, request: usize, engine: usize) {
        let tokens_left = self.arrivals[request].tokens;
        self.engines[engine].running.push(RunningRequest { request, tokens_left });
        if !self.engines[engine].stepping {
            self.begin_step(engine);
        }
    }

    /// Returns the number of requests in an engine's batch.
    pub(crate) fn running(&self, engine: usize) -> usize {
        self.engines[engine].running.len()
    }

    fn begin_step(&mut self, engine: usize) {
        let mut adapters: Vec<u32> = Vec::new();
        for running in &self.engines[engine].running {
            adapters.push(self.arrivals[running.request].adapter);
        }
        adapters.sort_unstable();
        adapters.dedup();
        let batch = self.engines[engine].running.len() as f64;
        let factor = 1.0 + STEP_PER_REQUEST * batch + STEP_PER_ADAPTER * adapters.len() as f64;
        let end = self.now + (self.shape.step_us as f64 * factor) as u64;
        self.engines[engine].stepping = true;
        let incarnation = self.engines[engine].incarnation;
        self.schedule(end, ModelEvent::Step { engine, incarnation });
    }

    /// Ends a step: each request of the batch gets a token. Ignores steps begun before a restart.
    fn step(&mut self, engine: usize, incarnation: u32, placer: &mut dyn RequestPlacer) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let measured = self.now >= self.shape.warmup_s * MICROS;
        let state = &mut self.engines[engine];
        state.stepping = false;
        if measured {
            state.steps += 1;
            state.tokens += state.running.len() as u64;
        }
        let mut finished = Vec::new();
        for running in &mut state.running {
            running.tokens_left -= 1;
            self.results[running.request].first_us.get_or_insert(self.now);
            if running.tokens_left == 0 {
                finished.push(running.request);
            }
        }
        state.running.retain(|running| running.tokens_left > 0);
        for request in finished {
            self.results[request].done = true;
            placer.finished(self, request);
        }
        if !self.engines[engine].stepping && !self.engines[engine].running.is_empty() {
            self.begin_step(engine);
        }
    }

    fn restart(&mut self, engine: usize, placer: &mut dyn RequestPlacer) {
        let state = &mut self.engines[engine];
        state.incarnation += 1;
        state.stepping = false;
        let lost: Vec<usize> = state.running.drain(..).map(|running| running.request).collect();
        placer.restarted(self, engine, &lost);
        for request in lost {
            placer.arrive(self, request);
        }
    }

    /// Returns the virtual time of a request's deadline, which counts from its first arrival.
    pub(crate) fn deadline_us(&self, request: usize) -> u64 {
        self.arrivals[request].at + class_deadline(self.arrivals[request].class)
    }

    /// Records that a request will not run. It counts as stalled for its whole deadline.
    pub(crate) fn give_up(&mut self, request: usize) {
        let class = self.arrivals[request].class;
        let result = &mut self.results[request];
        result.given_up = true;
        result.stall_us = class_deadline(class);
    }

    /// Returns the mean number of tokens per step over all engines, after the warm-up.
    pub(crate) fn tokens_per_step(&self) -> f64 {
        let steps: u64 = self.engines.iter().map(|engine| engine.steps).sum();
        let tokens: u64 = self.engines.iter().map(|engine| engine.tokens).sum();
        tokens as f64 / steps.max(1) as f64
    }
}

/// Time for which a run continues after the last arrival.
const DRAIN_MICROS: u64 = 120 * MICROS;

/// Returns the deadline of a class in microseconds from the arrival; the same for all policies.
pub(crate) fn class_deadline(class: RequestClass) -> u64 {
    match class {
        RequestClass::Urgent => 20 * MICROS,
        RequestClass::Scheduled => 60 * MICROS,
        RequestClass::Audit => 300 * MICROS,
    }
}
