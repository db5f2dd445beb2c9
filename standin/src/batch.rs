//! State of the model engine stand-in: adapter slots, queue and batch.
//!
//! It does not guard against wrong orders: an order to unload a slot in use is carried out. The
//! requests on the slot are cut and counted, so that tests can detect the order by the counters.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::{ServerIncarnation, SlotName};
use coltsfoothook_decision::report::{EngineReport, SlotReport};
use tokio::sync::watch;

use crate::count::EngineCounters;
use crate::engine::EngineServerSettings;
use crate::prefix::PrefixCache;
use crate::tally::BoundedTally;

/// Maximum number of different ids, of keys and of bodies that are counted.
const TALLY_LIMIT: usize = 100_000;

/// Progress of a run, which its readers follow to write the tokens out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunProgress {
    /// The number of the next token; all before it are generated.
    pub(crate) next: u32,
    /// How the run ended; `None` while it waits or runs.
    pub(crate) end: Option<RunEnd>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// All tokens are generated.
    Done,
    /// The run was cancelled, by request or because nobody read it.
    Cancelled,
    /// The run's slot was unloaded, or the engine restarted.
    Lost,
}

/// A run that can be read, resumed and cancelled by its id.
pub(crate) struct RunStream {
    pub(crate) id: String,
    pub(crate) slot: String,
    pub(crate) weights: String,
    /// The adapter label in the tokens, as `adapter@version`.
    pub(crate) label: String,
    /// The hash of the prompt.
    pub(crate) prompt: u64,
    pub(crate) prompt_tokens: u32,
    /// The number of the first token; above 0 if an earlier answer is continued.
    pub(crate) first: u32,
    pub(crate) chat: bool,
    /// Seconds since the Unix epoch.
    pub(crate) created: u64,
    pub(crate) progress: watch::Sender<RunProgress>,
}

/// A run in the queue or the batch.
pub(crate) struct BatchRun {
    pub(crate) stream: Arc<RunStream>,
    /// Tokens of the prompt that are still to be read.
    pub(crate) prefill_left: u32,
    /// One more than the number of the last token.
    pub(crate) end_token: u32,
    /// Runs with lower numbers go first.
    pub(crate) priority: i32,
    /// Order of arrival, set by [`EngineState::enqueue`].
    pub(crate) serial: u64,
    /// Whether the body contains the crash mark.
    pub(crate) crashes: bool,
    /// The idempotency key; empty if the request has none.
    pub(crate) key: String,
    pub(crate) body_hash: String,
    /// Since when the run has had no reader; `None` while it has one.
    pub(crate) unread_since: Option<Instant>,
}

/// A slot that holds an adapter or loads one.
pub(crate) struct AdapterSlot {
    pub(crate) name: String,
    pub(crate) weights: String,
    /// Requests that wait for the slot or run on it.
    pub(crate) running: u32,
    /// The result of the load; `None` while the slot loads.
    pub(crate) loaded: watch::Sender<Option<Result<(), String>>>,
}

/// What the step loop does next.
pub(crate) enum StepPlan {
    /// The batch is empty.
    Idle,
    /// Runs a step of this duration.
    Step(Duration),
    /// A run in the batch crashes the engine.
    Crash,
}

/// State of the engine that the step loop needs, and its counters.
pub(crate) struct EngineState {
    pub(crate) settings: EngineServerSettings,
    pub(crate) incarnation: ServerIncarnation,
    /// Sequence number of the latest load report.
    pub(crate) sequence: u64,
    pub(crate) highest_fencing: u64,
    /// Sorted by name.
    pub(crate) slots: Vec<AdapterSlot>,
    /// Sorted so that the next run to be admitted is last.
    pub(crate) waiting: Vec<BatchRun>,
    pub(crate) running: Vec<BatchRun>,
    /// In order of arrival; the oldest ended ones are dropped first.
    pub(crate) streams: Vec<Arc<RunStream>>,
    pub(crate) prefixes: PrefixCache,
    pub(crate) counters: EngineCounters,
    /// Runs by request id.
    pub(crate) ids: BoundedTally,
    /// Runs by idempotency key.
    pub(crate) keys: BoundedTally,
    /// Runs by hash of the body.
    pub(crate) bodies: BoundedTally,
    next_serial: u64,
}

impl EngineState {
    /// Creates an engine without slots.
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

    /// Drops all runs, slots and cached prefixes, increments the incarnation and resets the
    /// sequence and fencing numbers. The counters and tallies are kept, since tests read them
    /// across restarts.
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

    /// Returns the index of a slot, or the index at which to insert it.
    pub(crate) fn slot(&self, name: &str) -> Result<usize, usize> {
        self.slots.binary_search_by(|slot| slot.name.as_str().cmp(name))
    }

    /// Removes a slot. The runs on it are lost.
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

    /// Returns an id for a request without one.
    pub(crate) fn next_id(&self) -> String {
        format!("run-{}", self.next_serial)
    }

    /// Adds a run to the queue, ordered by priority and then by arrival.
    pub(crate) fn enqueue(&mut self, mut run: BatchRun) {
        run.serial = self.next_serial;
        self.next_serial += 1;
        if let Ok(at) = self.slot(&run.stream.slot) {
            self.slots[at].running += 1;
        }
        if self.streams.len() >= self.settings.keep_streams {
            self.drop_ended_stream();
        }
        self.streams.push(run.stream.clone());
        let later = |other: &BatchRun| (other.priority, other.serial) > (run.priority, run.serial);
        let at = self.waiting.partition_point(later);
        self.waiting.insert(at, run);
    }

    /// Returns the latest stream with the id.
    pub(crate) fn stream(&self, id: &str) -> Option<Arc<RunStream>> {
        self.streams.iter().rev().find(|stream| stream.id == id).cloned()
    }

    /// Cancels the runs with the id; returns whether there was one.
    pub(crate) fn cancel(&mut self, id: &str) -> bool {
        let before = self.counters.cancelled;
        self.end_where(RunEnd::Cancelled, |run| run.stream.id == id);
        let ended = self.counters.cancelled - before;
        ended > 0
    }

    /// Cancels unread runs, admits runs from the queue into the batch and plans the next step.
    pub(crate) fn plan(&mut self, now: Instant) -> StepPlan {
        self.cancel_unread(now);
        self.admit(now);
        if self.running.is_empty() {
            return StepPlan::Idle;
        }
        if self.running.iter().any(|run| run.crashes) {
            return StepPlan::Crash;
        }
        StepPlan::Step(self.step_time())
    }

    /// Completes a step: reads prompts within the prefill budget and generates a token for each run
    /// whose prompt has been read. Ended runs leave the batch.
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
            let end_token = run.end_token;
            run.stream.progress.send_modify(|progress| {
                progress.next += 1;
                if progress.next >= end_token {
                    progress.end = Some(RunEnd::Done);
                }
            });
        }
        for run in self.running.extract_if(.., |run| has_ended(&run.stream)) {
            self.counters.done += 1;
            if let Ok(at) = find_slot(&self.slots, &run.stream.slot) {
                self.slots[at].running -= 1;
            }
        }
    }

    /// Makes the engine's load report for the present state.
    pub(crate) fn report(&mut self) -> EngineReport {
        self.sequence += 1;
        let loaded = self.slots.iter().filter(|slot| *slot.loaded.borrow() == Some(Ok(())));
        EngineReport {
            leaving: false,
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
            run.unread_since = unread_since(&run, now);
            self.running.push(run);
        }
    }

    fn count_run(&mut self, run: &BatchRun) {
        self.counters.runs += 1;
        let repeated = |count: u32| u64::from(count > 1);
        self.counters.repeated_ids += repeated(self.ids.add(&run.stream.id));
        if !run.key.is_empty() {
            self.counters.repeated_keys += repeated(self.keys.add(&run.key));
        }
        self.counters.repeated_bodies += repeated(self.bodies.add(&run.body_hash));
    }

    /// Returns the duration of a step with the present batch. Adds the batch's numbers of runs and
    /// adapters to the counters.
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

    /// Cancels runs that have had no reader for `unread_ms`; a reader may resume before that.
    fn cancel_unread(&mut self, now: Instant) {
        let timeout = Duration::from_millis(self.settings.unread_ms);
        for run in self.waiting.iter_mut().chain(&mut self.running) {
            run.unread_since = unread_since(run, now);
        }
        self.end_where(RunEnd::Cancelled, |run| {
            run.unread_since.is_some_and(|since| now.saturating_duration_since(since) >= timeout)
        });
    }

    /// Ends the selected runs, waiting or running, and counts them as cancelled.
    fn end_where(&mut self, run_end: RunEnd, mut selected: impl FnMut(&BatchRun) -> bool) {
        let waiting = self.waiting.extract_if(.., |run| selected(run)).collect::<Vec<_>>();
        let running = self.running.extract_if(.., |run| selected(run)).collect::<Vec<_>>();
        for run in waiting.into_iter().chain(running) {
            end(&run.stream, run_end);
            self.counters.cancelled += 1;
            if let Ok(at) = self.slot(&run.stream.slot) {
                self.slots[at].running -= 1;
            }
        }
    }

    /// Drops the oldest stream that has ended.
    fn drop_ended_stream(&mut self) {
        if let Some(at) = self.streams.iter().position(|stream| has_ended(stream)) {
            self.streams.remove(at);
        }
    }
}

fn find_slot(slots: &[AdapterSlot], name: &str) -> Result<usize, usize> {
    slots.binary_search_by(|slot| slot.name.as_str().cmp(name))
}

fn has_ended(stream: &RunStream) -> bool {
    stream.progress.borrow().end.is_some()
}

fn end(stream: &RunStream, run_end: RunEnd) {
    stream.progress.send_modify(|progress| progress.end = Some(run_end));
}

/// Returns since when the run has had no reader, or `None` if it has one.
fn unread_since(run: &BatchRun, now: Instant) -> Option<Instant> {
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

    /// An operation on the engine under test.
    #[derive(Clone, Debug)]
    enum EngineOperation {
        Load(u8),
        Unload(u8),
        Run { slot: u8, tokens: u32, priority: i32, read: bool },
        Cancel(u8),
        Step,
        Restart,
    }

    fn engine_operation() -> impl Strategy<Value = EngineOperation> {
        let run =
            (0..4u8, 1..5u32, 0..3i32, any::<bool>()).prop_map(|(slot, tokens, priority, read)| {
                EngineOperation::Run { slot, tokens, priority, read }
            });
        prop_oneof![
            3 => (0..4u8).prop_map(EngineOperation::Load),
            1 => (0..4u8).prop_map(EngineOperation::Unload),
            6 => run,
            1 => (0..40u8).prop_map(EngineOperation::Cancel),
            8 => Just(EngineOperation::Step),
            1 => Just(EngineOperation::Restart),
        ]
    }

    /// An engine with the readers of its runs, each with the run's number of tokens.
    struct TestEngine {
        state: EngineState,
        readers: Vec<(u32, watch::Receiver<RunProgress>)>,
        now: Instant,
    }

    impl TestEngine {
        fn apply(&mut self, operation: EngineOperation) {
            match operation {
                EngineOperation::Load(slot) => self.load(slot),
                EngineOperation::Unload(slot) => {
                    if let Ok(at) = self.state.slot(&slot.to_string()) {
                        self.state.remove_slot(at);
                    }
                }
                EngineOperation::Run { slot, tokens, priority, read } => {
                    self.run(slot, tokens, priority, read);
                }
                EngineOperation::Cancel(id) => drop(self.state.cancel(&format!("run-{id}"))),
                EngineOperation::Step => {
                    self.now += Duration::from_secs(1);
                    if matches!(self.state.plan(self.now), StepPlan::Step(_)) {
                        self.state.finish_step();
                    }
                }
                EngineOperation::Restart => self.state.restart(),
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
                end_token: tokens,
                priority,
                serial: 0,
                crashes: false,
                key: String::new(),
                body_hash: String::new(),
                unread_since: None,
            });
        }

        /// Checks the invariants.
        fn check(&self) {
            let state = &self.state;
            let active = || state.waiting.iter().chain(&state.running);
            for slot in &state.slots {
                let using = active().filter(|run| run.stream.slot == slot.name).count();
                assert_eq!(slot.running as usize, using, "slot {}", slot.name);
            }
            let ended = active().filter(|run| has_ended(&run.stream)).count();
            assert_eq!(ended, 0, "a run that has ended stays in the batch");
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

        /// After any sequence of operations, the count of requests per slot is right, and a run is
        /// reported as done if and only if all its tokens are generated.
        #[test]
        fn counts_stay_right(operations in prop::collection::vec(engine_operation(), 1..120)) {
            let settings = EngineServerSettings { batch_slots: 3, ..Default::default() };
            let state = EngineState::new(settings, 1);
            let mut engine =
                TestEngine { state, readers: Vec::new(), now: Instant::now() };
            for operation in operations {
                engine.apply(operation);
                engine.check();
            }
        }
    }
}
