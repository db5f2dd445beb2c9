//! Baseline policies of the placement comparison: random, least loaded, sticky hash and affinity.
//!
//! All of them evict the least recently used adapter, serve classes in order, let one load serve
//! all requests that wait for it, and keep to the store budget that the owner has.

use coltsfoothook_decision::id::stable_hash;
use coltsfoothook_decision::outcome::RequestClass;
use rand::RngExt;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

use crate::model::{MICROS, PlaceModel, RequestPlacer};

/// How a baseline chooses the engine of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BaselineRule {
    /// An engine chosen uniformly at random.
    Random,
    /// The engine with the fewest requests, running or waiting.
    LeastLoaded,
    /// The engine that ranks first for the adapter by rendezvous hashing, among those with free
    /// batch slots if there are any.
    StickyHash,
    /// The least loaded engine that holds the adapter and has free batch slots, else the least
    /// loaded engine.
    Affinity,
}

#[derive(Clone, Copy, Debug)]
struct BaselineSlot {
    adapter: u32,
    ready: bool,
    running: u32,
    /// Requests that wait for this adapter at the engine.
    waiting: u32,
    last_used: u64,
}

#[derive(Clone, Debug, Default)]
struct BaselineEngine {
    slots: Vec<BaselineSlot>,
    /// Requests in order of class and arrival.
    waiting: Vec<usize>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedLoad {
    class: RequestClass,
    queued_at: u64,
    engine: usize,
    adapter: u32,
}

#[derive(Clone, Copy, Debug)]
struct RunningLoad {
    number: u64,
    engine: usize,
    incarnation: u32,
    adapter: u32,
}

/// A baseline policy.
pub(crate) struct BaselinePlacer {
    rule: BaselineRule,
    rng: Pcg64,
    engines: Vec<BaselineEngine>,
    queued: Vec<QueuedLoad>,
    running: Vec<RunningLoad>,
    /// The engine of each request.
    placed: Vec<usize>,
    /// Whether each request waits for a load.
    stalled: Vec<bool>,
    /// When each request was placed last, in microseconds.
    placed_at: Vec<u64>,
    /// Tokens of the bucket that limits loads, as of `tokens_at`.
    tokens: f64,
    tokens_at: u64,
    last_load: u64,
}

impl BaselinePlacer {
    pub(crate) fn new(rule: BaselineRule, model: &PlaceModel, seed: u64) -> Self {
        Self {
            rule,
            rng: Pcg64::seed_from_u64(seed),
            engines: vec![BaselineEngine::default(); model.engines.len()],
            queued: Vec::new(),
            running: Vec::new(),
            placed: vec![0; model.arrivals.len()],
            stalled: vec![false; model.arrivals.len()],
            placed_at: vec![0; model.arrivals.len()],
            tokens: f64::from(model.shape.full_speed),
            tokens_at: 0,
            last_load: 0,
        }
    }

    fn choose(&mut self, model: &PlaceModel, adapter: u32) -> usize {
        let load = |at: usize| model.running(at) + self.engines[at].waiting.len();
        let room = |at: usize| load(at) < model.shape.batch as usize;
        let all = 0..self.engines.len();
        let has = |at: usize| self.engines[at].slots.iter().any(|slot| slot.adapter == adapter);
        let least = |engines: &mut dyn Iterator<Item = usize>| engines.min_by_key(|&at| load(at));
        match self.rule {
            BaselineRule::Random => self.rng.random_range(all),
            BaselineRule::LeastLoaded => least(&mut all.clone()).unwrap_or(0),
            BaselineRule::StickyHash => {
                let rank = |at: &usize| stable_hash(&[&format!("a{adapter}"), &format!("e{at}")]);
                let open = all.clone().filter(|&at| room(at)).max_by_key(rank);
                open.or_else(|| all.max_by_key(rank)).unwrap_or(0)
            }
            BaselineRule::Affinity => {
                let holder = least(&mut all.clone().filter(|&at| has(at) && room(at)));
                holder.or_else(|| least(&mut all.clone())).unwrap_or(0)
            }
        }
    }

    fn slot(&mut self, engine: usize, adapter: u32) -> Option<&mut BaselineSlot> {
        self.engines[engine].slots.iter_mut().find(|slot| slot.adapter == adapter)
    }

    fn queue_load(&mut self, model: &PlaceModel, request: usize, engine: usize) {
        let arrival = model.arrivals[request];
        let same =
            |load: &&mut QueuedLoad| load.engine == engine && load.adapter == arrival.adapter;
        match self.queued.iter_mut().find(same) {
            Some(load) => load.class = load.class.min(arrival.class),
            None => self.queued.push(QueuedLoad {
                class: arrival.class,
                queued_at: model.now,
                engine,
                adapter: arrival.adapter,
            }),
        }
    }

    /// Starts queued loads within the store budget, urgent ones first and then by age.
    fn start_loads(&mut self, model: &mut PlaceModel) {
        let capacity = f64::from(model.shape.full_speed);
        let earned = (model.now - self.tokens_at) as f64 / MICROS as f64 * model.shape.loads_per_s;
        self.tokens = (self.tokens + earned).min(capacity);
        self.tokens_at = model.now;
        self.queued.sort_by_key(|load| (load.class != RequestClass::Urgent, load.queued_at));
        let mut at = 0;
        while at < self.queued.len()
            && self.tokens >= 1.0
            && self.running.len() < model.shape.full_speed as usize
        {
            let load = self.queued[at];
            if !self.make_room(load.engine, model.shape.slots as usize) {
                at += 1;
                continue;
            }
            self.queued.remove(at);
            self.tokens -= 1.0;
            let waiting = self.waiting_for(model, load.engine, load.adapter);
            self.engines[load.engine].slots.push(BaselineSlot {
                adapter: load.adapter,
                ready: false,
                running: 0,
                waiting,
                last_used: model.now,
            });
            self.last_load += 1;
            let incarnation = model.engines[load.engine].incarnation;
            let (engine, adapter) = (load.engine, load.adapter);
            self.running.push(RunningLoad { number: self.last_load, engine, incarnation, adapter });
            model.load(self.last_load);
        }
    }

    fn waiting_for(&self, model: &PlaceModel, engine: usize, adapter: u32) -> u32 {
        let waits = |request: &&usize| model.arrivals[**request].adapter == adapter;
        self.engines[engine].waiting.iter().filter(waits).count() as u32
    }

    /// Evicts the least recently used idle adapter if all slots are taken. Returns whether a slot
    /// is free.
    fn make_room(&mut self, engine: usize, capacity: usize) -> bool {
        let slots = &mut self.engines[engine].slots;
        if slots.len() < capacity {
            return true;
        }
        let idle = |slot: &BaselineSlot| slot.ready && slot.running == 0 && slot.waiting == 0;
        let victim =
            (0..slots.len()).filter(|&at| idle(&slots[at])).min_by_key(|&at| slots[at].last_used);
        let Some(victim) = victim else { return false };
        slots.swap_remove(victim);
        true
    }

    /// Starts waiting requests whose adapter is loaded, in order of class and arrival, while the
    /// batch has free slots.
    fn run_waiting(&mut self, model: &mut PlaceModel, engine: usize) {
        let mut at = 0;
        while at < self.engines[engine].waiting.len()
            && model.running(engine) < model.shape.batch as usize
        {
            let request = self.engines[engine].waiting[at];
            let now = model.now;
            let Some(slot) =
                self.slot(engine, model.arrivals[request].adapter).filter(|slot| slot.ready)
            else {
                at += 1;
                continue;
            };
            slot.waiting = slot.waiting.saturating_sub(1);
            slot.running += 1;
            slot.last_used = now;
            self.engines[engine].waiting.remove(at);
            model.start(request, engine);
        }
    }
}

impl RequestPlacer for BaselinePlacer {
    fn arrive(&mut self, model: &mut PlaceModel, request: usize) {
        let arrival = model.arrivals[request];
        let engine = self.choose(model, arrival.adapter);
        self.placed[request] = engine;
        self.placed_at[request] = model.now;
        let now = model.now;
        let loaded = match self.slot(engine, arrival.adapter) {
            Some(slot) => {
                slot.waiting += 1;
                slot.last_used = now;
                Some(slot.ready)
            }
            None => None,
        };
        if loaded.is_none() {
            self.queue_load(model, request, engine);
        }
        self.stalled[request] = loaded != Some(true);
        let waiting = &mut self.engines[engine].waiting;
        let key = |request: usize| (model.arrivals[request].class, model.arrivals[request].at);
        let at = waiting.partition_point(|&other| key(other) <= key(request));
        waiting.insert(at, request);
        self.start_loads(model);
        self.run_waiting(model, engine);
    }

    fn finished(&mut self, model: &mut PlaceModel, request: usize) {
        let engine = self.placed[request];
        let now = model.now;
        if let Some(slot) = self.slot(engine, model.arrivals[request].adapter) {
            slot.running = slot.running.saturating_sub(1);
            slot.last_used = now;
        }
        self.run_waiting(model, engine);
        self.start_loads(model);
    }

    fn loaded(&mut self, model: &mut PlaceModel, load: u64) {
        let Some(at) = self.running.iter().position(|running| running.number == load) else {
            return;
        };
        let load = self.running.swap_remove(at);
        if model.engines[load.engine].incarnation == load.incarnation {
            if let Some(slot) = self.slot(load.engine, load.adapter) {
                slot.ready = true;
            }
            for &request in &self.engines[load.engine].waiting {
                let arrival = model.arrivals[request];
                if arrival.adapter == load.adapter && self.stalled[request] {
                    model.results[request].stall_us += model.now - self.placed_at[request];
                    self.stalled[request] = false;
                }
            }
            self.run_waiting(model, load.engine);
        }
        self.start_loads(model);
    }

    fn restarted(&mut self, model: &mut PlaceModel, engine: usize, _lost: &[usize]) {
        self.engines[engine].slots.clear();
        let waiting = std::mem::take(&mut self.engines[engine].waiting);
        self.queued.retain(|load| load.engine != engine);
        for request in waiting {
            if self.stalled[request] {
                model.results[request].stall_us += model.now - self.placed_at[request];
            }
            self.arrive(model, request);
        }
    }

    fn tick(&mut self, model: &mut PlaceModel) {
        for engine in 0..self.engines.len() {
            let mut at = 0;
            while at < self.engines[engine].waiting.len() {
                let request = self.engines[engine].waiting[at];
                if model.deadline_us(request) > model.now {
                    at += 1;
                    continue;
                }
                self.engines[engine].waiting.remove(at);
                model.give_up(request);
                if let Some(slot) = self.slot(engine, model.arrivals[request].adapter) {
                    slot.waiting = slot.waiting.saturating_sub(1);
                }
            }
        }
        let engines = &self.engines;
        self.queued.retain(|load| {
            let waits = |&request: &usize| model.arrivals[request].adapter == load.adapter;
            engines[load.engine].waiting.iter().any(waits)
        });
        self.start_loads(model);
    }
}
