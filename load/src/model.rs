//! A small model of engines and of the weight store, in virtual time.
//!
//! It is no cluster: nothing is lost or late here but loads. An engine makes one token for each
//! request of its batch in a step; a step takes longer the larger the batch is and the more
//! adapters it mixes, and an idle engine makes no steps. All policies run on the same model.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coltsfoothook_decision::outcome::RequestClass;

use crate::arrival::Arrival;

/// Microseconds in a second, the unit of virtual time.
pub(crate) const MICROS: u64 = 1_000_000;
/// What each request of a batch adds to a step, as a part of it.
const STEP_PER_REQUEST: f64 = 0.004;
/// What each distinct adapter of a batch adds to a step, as a part of it.
const STEP_PER_ADAPTER: f64 = 0.008;

/// The sizes of a run.
#[derive(Clone, Debug)]
pub(crate) struct ModelShape {
    pub(crate) servers: u32,
    pub(crate) adapters: u32,
    pub(crate) slots: u32,
    pub(crate) batch: u32,
    pub(crate) step_us: u64,
    pub(crate) loads_per_s: f64,
    pub(crate) full_speed: u32,
    pub(crate) load_us: u64,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) skew: f64,
    pub(crate) turnover: f64,
    pub(crate) handovers: u32,
    pub(crate) tokens: u32,
    pub(crate) duration_s: u64,
    pub(crate) warmup_s: u64,
    pub(crate) stall_weight: f64,
}

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Step { engine: usize, life: u32 },
    LoadDone(u64),
    Restart(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: usize,
    left: u32,
}

/// An engine: its batch, and how far it is in a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineModel {
    running: Vec<RunningRequest>,
    stepping: bool,
    pub(crate) life: u32,
    steps: u64,
    tokens: u64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestFate {
    pub(crate) stall_us: u64,
    pub(crate) first_us: Option<u64>,
    pub(crate) done: bool,
    pub(crate) given_up: bool,
}

/// A policy under comparison.
pub(crate) trait RequestPlacer {
    /// A request arrives, or arrives again because its engine restarted.
    fn arrive(&mut self, model: &mut PlaceModel, request: usize);
    /// A request is done and has left its engine.
    fn finished(&mut self, model: &mut PlaceModel, request: usize);
    /// A load ended.
    fn loaded(&mut self, model: &mut PlaceModel, load: u64);
    /// An engine restarted empty; `lost` ran on it.
    fn restarted(&mut self, model: &mut PlaceModel, engine: usize, lost: &[usize]);
    /// Time passes; called every 20 ms.
    fn tick(&mut self, model: &mut PlaceModel);
}

const TICK_MICROS: u64 = 20_000;
/// The part of the run at which an engine restarts.
const RESTART_PART: f64 = 0.6;

/// A run of one policy.
pub(crate) struct PlaceModel {
    pub(crate) now: u64,
    pub(crate) shape: ModelShape,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) fates: Vec<RequestFate>,
    pub(crate) engines: Vec<EngineModel>,
    agenda: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    order: u64,
    loads_running: u32,
    pub(crate) loads: u64,
    end: u64,
}

impl PlaceModel {
    pub(crate) fn new(shape: &ModelShape, arrivals: &[Arrival]) -> Self {
        let last = arrivals.last().map_or(0, |arrival| arrival.at);
        let mut model = Self {
            now: 0,
            shape: shape.clone(),
            arrivals: arrivals.to_vec(),
            fates: vec![RequestFate::default(); arrivals.len()],
            engines: vec![EngineModel::default(); shape.servers as usize],
            agenda: BinaryHeap::new(),
            order: 0,
            loads_running: 0,
            loads: 0,
            end: last + DRAIN_MICROS,
        };
        for (at, arrival) in arrivals.iter().enumerate() {
            model.at(arrival.at, ModelEvent::Arrive(at));
        }
        model.at((RESTART_PART * last as f64) as u64, ModelEvent::Restart(0));
        model.at(0, ModelEvent::Tick);
        model
    }

    fn at(&mut self, time: u64, event: ModelEvent) {
        self.order += 1;
        self.agenda.push(Reverse((time, self.order, event)));
    }

    /// Runs until every request has left, or long after the last arrival.
    pub(crate) fn run(&mut self, placer: &mut dyn RequestPlacer) {
        while let Some(Reverse((time, _, event))) = self.agenda.pop() {
            if time > self.end {
                return;
            }
            self.now = time;
            match event {
                ModelEvent::Arrive(request) => placer.arrive(self, request),
                ModelEvent::Step { engine, life } => self.step(engine, life, placer),
                ModelEvent::LoadDone(load) => {
                    self.loads_running -= 1;
                    placer.loaded(self, load);
                }
                ModelEvent::Restart(engine) => self.restart(engine, placer),
                ModelEvent::Tick => {
                    placer.tick(self);
                    self.at(time + TICK_MICROS, ModelEvent::Tick);
                }
            }
        }
    }

    /// Starts a load, which ends with [`RequestPlacer::loaded`]. More than the loads at full speed
    /// share the store.
    pub(crate) fn load(&mut self, load: u64) {
        self.loads += 1;
        self.loads_running += 1;
        let crowd = self.loads_running.div_ceil(self.shape.full_speed.max(1));
        let end = self.now + self.shape.load_us * u64::from(crowd);
        self.at(end, ModelEvent::LoadDone(load));
    }

    /// Puts a request into an engine's batch.
    pub(crate) fn start(&mut self, request: usize, engine: usize) {
        let left = self.arrivals[request].tokens;
        self.engines[engine].running.push(RunningRequest { request, left });
        if !self.engines[engine].stepping {
            self.begin_step(engine);
        }
    }

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
        let grown = 1.0 + STEP_PER_REQUEST * batch + STEP_PER_ADAPTER * adapters.len() as f64;
        let end = self.now + (self.shape.step_us as f64 * grown) as u64;
        self.engines[engine].stepping = true;
        let life = self.engines[engine].life;
        self.at(end, ModelEvent::Step { engine, life });
    }

    /// Ends a step. Requests that joined in the middle of it get their token with the next.
    fn step(&mut self, engine: usize, life: u32, placer: &mut dyn RequestPlacer) {
        if self.engines[engine].life != life {
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
            running.left -= 1;
            self.fates[running.request].first_us.get_or_insert(self.now);
            if running.left == 0 {
                finished.push(running.request);
            }
        }
        state.running.retain(|running| running.left > 0);
        for request in finished {
            self.fates[request].done = true;
            placer.finished(self, request);
        }
        if !self.engines[engine].stepping && !self.engines[engine].running.is_empty() {
            self.begin_step(engine);
        }
    }

    fn restart(&mut self, engine: usize, placer: &mut dyn RequestPlacer) {
        let state = &mut self.engines[engine];
        state.life += 1;
        state.stepping = false;
        let lost: Vec<usize> = state.running.drain(..).map(|running| running.request).collect();
        placer.restarted(self, engine, &lost);
        for request in lost {
            placer.arrive(self, request);
        }
    }

    /// Milliseconds until the request's deadline, which counts from its arrival.
    pub(crate) fn deadline_us(&self, request: usize) -> u64 {
        self.arrivals[request].at + class_deadline(self.arrivals[request].class)
    }

    /// Notes that a request is not run any more; it counts as stalled for its whole deadline.
    pub(crate) fn give_up(&mut self, request: usize) {
        let class = self.arrivals[request].class;
        let fate = &mut self.fates[request];
        fate.given_up = true;
        fate.stall_us = class_deadline(class);
    }

    /// Tokens in a step, over all engines, after the warm-up.
    pub(crate) fn tokens_per_step(&self) -> f64 {
        let steps: u64 = self.engines.iter().map(|engine| engine.steps).sum();
        let tokens: u64 = self.engines.iter().map(|engine| engine.tokens).sum();
        tokens as f64 / steps.max(1) as f64
    }
}

/// How long a run goes on after the last arrival.
const DRAIN_MICROS: u64 = 120 * MICROS;

/// Deadlines of the classes in the comparison, for all policies.
pub(crate) fn class_deadline(class: RequestClass) -> u64 {
    match class {
        RequestClass::Urgent => 20 * MICROS,
        RequestClass::Scheduled => 60 * MICROS,
        RequestClass::Audit => 300 * MICROS,
    }
}
