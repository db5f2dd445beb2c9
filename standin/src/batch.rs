//! The state of the model engine stand-in: slots, and the batch that runs on them.
//!
//! It protects nobody from wrong orders: a slot in use is unloaded when an order says so, the
//! request on it is cut, and the harm is counted. So the counters show what the system did.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::{ServerIncarnation, SlotName};
use coltsfoothook_decision::report::{EngineReport, SlotReport};
use tokio::sync::watch;

use crate::count::EngineCounters;
use crate::engine::EngineServerSettings;
use crate::prefix::PrefixCache;
use crate::tally::BoundedTally;

/// How many ids, keys and bodies are remembered, each.
const TALLY_LIMIT: usize = 100_000;

/// How far a run is. A reader follows it and writes the tokens out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunProgress {
    /// The number of the next token; all before it are there.
    pub(crate) next: u32,
    /// How it ended, if it did.
    pub(crate) end: Option<RunEnd>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// All tokens are there.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Its slot was taken away, or the engine restarted.
    Lost,
}

/// A run that can be read, resumed and cancelled by its id.
pub(crate) struct RunStream {
    pub(crate) id: String,
    pub(crate) slot: String,
    pub(crate) weights: String,
    pub(crate) label: String,
    pub(crate) prompt: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) first: u32,
    pub(crate) chat: bool,
    pub(crate) created: u64,
    pub(crate) progress: watch::Sender<RunProgress>,
}

/// A run in the queue or the batch.
pub(crate) struct BatchRun {
    pub(crate) stream: Arc<RunStream>,
    pub(crate) prefill_left: u32,
    pub(crate) last: u32,
    pub(crate) priority: i32,
    pub(crate) serial: u64,
    /// Its body carries the mark of a crash.
    pub(crate) crashes: bool,
    pub(crate) key: String,
    pub(crate) body_hash: String,
    /// Since when nobody reads it.
    pub(crate) unread_since: Option<Instant>,
}

/// A slot.
pub(crate) struct AdapterSlot {
    pub(crate) name: String,
    pub(crate) weights: String,
    pub(crate) running: u32,
    /// None while it loads.
    pub(crate) loaded: watch::Sender<Option<Result<(), String>>>,
}

/// What the next step is to be.
pub(crate) enum StepPlan {
    /// Nothing runs.
    Idle,
    /// A step that takes so long.
    Step(Duration),
    /// A run in the batch crashes the engine.
    Crash,
}

/// The engine's whole state.
pub(crate) struct EngineState {
    pub(crate) settings: EngineServerSettings,
    pub(crate) incarnation: ServerIncarnation,
    pub(crate) sequence: u64,
    pub(crate) highest_fencing: u64,
    /// Sorted by name.
    pub(crate) slots: Vec<AdapterSlot>,
    /// Sorted so that the next one stands last.
    pub(crate) waiting: Vec<BatchRun>,
    pub(crate) running: Vec<BatchRun>,
    /// In the order of their beginning; the oldest are forgotten first.
    pub(crate) streams: Vec<Arc<RunStream>>,
    pub(crate) prefixes: PrefixCache,
    pub(crate) counters: EngineCounters,
    pub(crate) ids: BoundedTally,
    pub(crate) keys: BoundedTally,
    pub(crate) bodies: BoundedTally,
    next_serial: u64,
}

impl EngineState {
    /// An engine without slots.
    pub(crate) fn new(settings: EngineServerSettings, incarnation: u64) -> Self {
        Self {
            incarnation: ServerIncarnation(incarnation),
            sequence: 0,
            highest_fencing: 0,
            slots: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            streams: Vec::new(),
            prefixes: PrefixCache::new(settings.cache_tokens, settings.event_gap_every),
            counters: EngineCounters::default(),
            ids: BoundedTally::new(TALLY_LIMIT),
            keys: BoundedTally::new(TALLY_LIMIT),
            bodies: BoundedTally::new(TALLY_LIMIT),
            next_serial: 0,
            settings,
        }
    }

    /// Starts again with nothing, as another incarnation. What was counted stays, since it is the
    /// tests' and not the engine's.
    pub(crate) fn restart(&mut self) {
        self.incarnation.0 += 1;
        self.sequence = 0;
        self.highest_fencing = 0;
        for run in self.waiting.drain(..).chain(self.running.drain(..)) {
            end(&run.stream, RunEnd::Lost);
        }
        for slot in self.slots.drain(..) {
            slot.loaded.send_replace(Some(Err("engine restarted".to_owned())));
        }
        self.streams.clear();
        self.prefixes.clear();
        self.counters.restarts += 1;
    }

    /// The place of a slot.
    pub(crate) fn slot(&self, name: &str) -> Result<usize, usize> {
        self.slots.binary_search_by(|slot| slot.name.as_str().cmp(name))
    }

    /// Takes a slot away, whatever runs on it.
    pub(crate) fn remove_slot(&mut self, at: usize) {
        let slot = self.slots.remove(at);
        slot.loaded.send_replace(Some(Err("unloaded".to_owned())));
        self.counters.evicted_in_use += u64::from(slot.running);
        for run in self.waiting.extract_if(.., |run| run.stream.slot == slot.name) {
            end(&run.stream, RunEnd::Lost);
        }
        for run in self.running.extract_if(.., |run| run.stream.slot == slot.name) {
            end(&run.stream, RunEnd::Lost);
        }
    }

    /// An id for a request that came without one.
    pub(crate) fn next_id(&self) -> String {
        format!("run-{}", self.next_serial)
    }

    /// Puts a run into the queue.
    pub(crate) fn enqueue(&mut self, mut run: BatchRun) {
        run.serial = self.next_serial;
        self.next_serial += 1;
        if let Ok(at) = self.slot(&run.stream.slot) {
            self.slots[at].running += 1;
        }
        if self.streams.len() >= self.settings.keep_streams {
            self.forget_stream();
        }
        self.streams.push(run.stream.clone());
        let place = |other: &BatchRun| (other.priority, other.serial) > (run.priority, run.serial);
        let at = self.waiting.partition_point(place);
        self.waiting.insert(at, run);
    }

    /// The latest stream with the id.
    pub(crate) fn stream(&self, id: &str) -> Option<Arc<RunStream>> {
        self.streams.iter().rev().find(|stream| stream.id == id).cloned()
    }

    /// Ends the runs with the id; returns whether there was one.
    pub(crate) fn cancel(&mut self, id: &str) -> bool {
        let before = self.counters.cancelled;
        self.end_where(RunEnd::Cancelled, |run| run.stream.id == id);
        let ended = self.counters.cancelled - before;
        ended > 0
    }

    /// Takes runs from the queue into the batch and tells how long the step takes.
    pub(crate) fn plan(&mut self, now: Instant) -> StepPlan {
        self.drop_unread(now);
        self.admit(now);
        if self.running.is_empty() {
            return StepPlan::Idle;
        }
        if self.running.iter().any(|run| run.crashes) {
            return StepPlan::Crash;
        }
        StepPlan::Step(self.step_time())
    }

    /// Ends a step: prompts advance, and each run whose prompt is read gets a token.
    pub(crate) fn finish_step(&mut self) {
        self.counters.steps += 1;
        let mut budget = self.settings.prefill_tokens.max(1);
        for run in &mut self.running {
            if run.prefill_left > 0 {
                let read = run.prefill_left.min(budget);
                run.prefill_left -= read;
                budget -= read;
                continue;
            }
            self.counters.tokens += 1;
            let last = run.last;
            run.stream.progress.send_modify(|progress| {
                progress.next += 1;
                if progress.next >= last {
                    progress.end = Some(RunEnd::Done);
                }
            });
        }
        for run in self.running.extract_if(.., |run| is_over(&run.stream)) {
            self.counters.done += 1;
            if let Ok(at) = find_slot(&self.slots, &run.stream.slot) {
                self.slots[at].running -= 1;
            }
        }
    }

    /// What the engine says of itself now.
    pub(crate) fn report(&mut self) -> EngineReport {
        self.sequence += 1;
        let loaded = self.slots.iter().filter(|slot| *slot.loaded.borrow() == Some(Ok(())));
        EngineReport {
            incarnation: self.incarnation,
            sequence: self.sequence,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: loaded
                .map(|slot| SlotReport { slot: SlotName(slot.name.clone()), running: slot.running })
                .collect(),
        }
    }

    fn admit(&mut self, now: Instant) {
        while self.running.len() < self.settings.batch_slots as usize {
            let Some(mut run) = self.waiting.pop() else {
                return;
            };
            self.count_run(&run);
            run.unread_since = unread(&run, now);
            self.running.push(run);
        }
    }

    fn count_run(&mut self, run: &BatchRun) {
        self.counters.runs += 1;
        let again = |count: u32| u64::from(count > 1);
        self.counters.repeated_ids += again(self.ids.add(&run.stream.id));
        if !run.key.is_empty() {
            self.counters.repeated_keys += again(self.keys.add(&run.key));
        }
        self.counters.repeated_bodies += again(self.bodies.add(&run.body_hash));
    }

    fn step_time(&mut self) -> Duration {
        let mut slots: Vec<&str> =
            self.running.iter().map(|run| run.stream.slot.as_str()).collect();
        slots.sort_unstable();
        slots.dedup();
        let (batch, adapters) = (self.running.len() as u64, slots.len() as u64);
        self.counters.batch_sum += batch;
        self.counters.adapter_sum += adapters;
        let settings = &self.settings;
        let micros = settings.step_us
            + settings.request_us * (batch - 1)
            + settings.adapter_us * (adapters - 1);
        Duration::from_micros(micros)
    }

    /// Ends runs that nobody has read for a while; a reader may come back until then.
    fn drop_unread(&mut self, now: Instant) {
        let patience = Duration::from_millis(self.settings.unread_ms);
        for run in self.waiting.iter_mut().chain(&mut self.running) {
            run.unread_since = unread(run, now);
        }
        self.end_where(RunEnd::Cancelled, |run| {
            run.unread_since.is_some_and(|since| now.saturating_duration_since(since) >= patience)
        });
    }

    fn end_where(&mut self, how: RunEnd, mut which: impl FnMut(&BatchRun) -> bool) {
        let waiting = self.waiting.extract_if(.., |run| which(run)).collect::<Vec<_>>();
        let running = self.running.extract_if(.., |run| which(run)).collect::<Vec<_>>();
        for run in waiting.into_iter().chain(running) {
            end(&run.stream, how);
            self.counters.cancelled += 1;
            if let Ok(at) = self.slot(&run.stream.slot) {
                self.slots[at].running -= 1;
            }
        }
    }

    /// Forgets the oldest stream that is over.
    fn forget_stream(&mut self) {
        if let Some(at) = self.streams.iter().position(|stream| is_over(stream)) {
            self.streams.remove(at);
        }
    }
}

fn find_slot(slots: &[AdapterSlot], name: &str) -> Result<usize, usize> {
    slots.binary_search_by(|slot| slot.name.as_str().cmp(name))
}

fn is_over(stream: &RunStream) -> bool {
    stream.progress.borrow().end.is_some()
}

fn end(stream: &RunStream, how: RunEnd) {
    stream.progress.send_modify(|progress| progress.end = Some(how));
}

fn unread(run: &BatchRun, now: Instant) -> Option<Instant> {
    if run.stream.progress.receiver_count() > 0 {
        return None;
    }
    run.unread_since.or(Some(now))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;

    /// Something that happens to an engine.
    #[derive(Clone, Debug)]
    enum EngineStep {
        Load(u8),
        Unload(u8),
        Run { slot: u8, tokens: u32, priority: i32, read: bool },
        Cancel(u8),
        Step,
        Restart,
    }

    fn engine_step() -> impl Strategy<Value = EngineStep> {
        let run =
            (0..4u8, 1..5u32, 0..3i32, any::<bool>()).prop_map(|(slot, tokens, priority, read)| {
                EngineStep::Run { slot, tokens, priority, read }
            });
        prop_oneof![
            3 => (0..4u8).prop_map(EngineStep::Load),
            1 => (0..4u8).prop_map(EngineStep::Unload),
            6 => run,
            1 => (0..40u8).prop_map(EngineStep::Cancel),
            8 => Just(EngineStep::Step),
            1 => Just(EngineStep::Restart),
        ]
    }

    /// An engine with the readers of its runs.
    struct SteppedEngine {
        state: EngineState,
        readers: Vec<(u32, watch::Receiver<RunProgress>)>,
        now: Instant,
    }

    impl SteppedEngine {
        fn take(&mut self, step: EngineStep) {
            match step {
                EngineStep::Load(slot) => self.load(slot),
                EngineStep::Unload(slot) => {
                    if let Ok(at) = self.state.slot(&slot.to_string()) {
                        self.state.remove_slot(at);
                    }
                }
                EngineStep::Run { slot, tokens, priority, read } => {
                    self.run(slot, tokens, priority, read);
                }
                EngineStep::Cancel(id) => drop(self.state.cancel(&format!("run-{id}"))),
                EngineStep::Step => {
                    self.now += Duration::from_secs(1);
                    if matches!(self.state.plan(self.now), StepPlan::Step(_)) {
                        self.state.finish_step();
                    }
                }
                EngineStep::Restart => self.state.restart(),
            }
        }

        fn load(&mut self, slot: u8) {
            let name = slot.to_string();
            if let Err(at) = self.state.slot(&name) {
                let loaded = watch::Sender::new(Some(Ok(())));
                let slot = AdapterSlot { weights: name.clone(), name, running: 0, loaded };
                self.state.slots.insert(at, slot);
            }
        }

        fn run(&mut self, slot: u8, tokens: u32, priority: i32, read: bool) {
            let slot = slot.to_string();
            if self.state.slot(&slot).is_err() {
                return;
            }
            let progress = watch::Sender::new(RunProgress::default());
            if read {
                self.readers.push((tokens, progress.subscribe()));
            }
            let stream = Arc::new(RunStream {
                id: self.state.next_id(),
                weights: slot.clone(),
                label: slot.clone(),
                slot,
                prompt: 0,
                prompt_tokens: 1,
                first: 0,
                chat: false,
                created: 0,
                progress,
            });
            self.state.enqueue(BatchRun {
                stream,
                prefill_left: 1,
                last: tokens,
                priority,
                serial: 0,
                crashes: false,
                key: String::new(),
                body_hash: String::new(),
                unread_since: None,
            });
        }

        fn check(&self) {
            let state = &self.state;
            let alive = || state.waiting.iter().chain(&state.running);
            for slot in &state.slots {
                let using = alive().filter(|run| run.stream.slot == slot.name).count();
                assert_eq!(slot.running as usize, using, "slot {}", slot.name);
            }
            let over = alive().filter(|run| is_over(&run.stream)).count();
            assert_eq!(over, 0, "a run that is over stays in the batch");
            assert!(state.running.len() <= state.settings.batch_slots as usize);
            for (tokens, reader) in &self.readers {
                let progress = *reader.borrow();
                assert_eq!(progress.end == Some(RunEnd::Done), progress.next == *tokens);
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: RngSeed::Fixed(7),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        /// Whatever happens to an engine, its count of the requests on a slot is right, and a run
        /// is told to be done if and only if all its tokens are there.
        #[test]
        fn counts_stay_right(steps in prop::collection::vec(engine_step(), 1..120)) {
            let settings = EngineServerSettings { batch_slots: 3, ..Default::default() };
            let state = EngineState::new(settings, 1);
            let mut engine =
                SteppedEngine { state, readers: Vec::new(), now: Instant::now() };
            for step in steps {
                engine.take(step);
                engine.check();
            }
        }
    }
}
