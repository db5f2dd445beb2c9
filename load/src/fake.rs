//! Fakes of the log and the model engines for the randomised soak.
//!
//! They have no clock and no randomness of their own: the world calls them when a message arrives,
//! so that a run can be replayed from its seed.

use std::collections::VecDeque;

use coltsfoothook_decision::id::{OwnerEpoch, ServerIncarnation, ServerName, SlotName, TimePoint};
use coltsfoothook_decision::owner::{EngineOrder, OrderResult};
use coltsfoothook_decision::record::{ClaimRecord, ConfigRecord, ControlRecord, JobRecord};
use coltsfoothook_decision::report::{EngineReport, SlotReport};

/// The streams of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStream {
    /// Configuration records.
    Config,
    /// Ownership, intents, drains and suspects.
    Control,
    /// Claims of idempotency keys.
    Claims,
    /// Audit jobs.
    Jobs,
}

impl LogStream {
    /// All streams, in the order of their discriminants.
    pub const ALL: [Self; 4] = [Self::Config, Self::Control, Self::Claims, Self::Jobs];
}

/// A record of any stream.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRecord {
    /// Of the configuration stream.
    Config(Box<ConfigRecord>),
    /// Of the control stream.
    Control(ControlRecord),
    /// Of the claim stream.
    Claim(ClaimRecord),
    /// Of the job stream.
    Job(JobRecord),
}

impl LogRecord {
    /// Returns the stream that the record belongs to.
    #[must_use]
    pub fn stream(&self) -> LogStream {
        match self {
            Self::Config(_) => LogStream::Config,
            Self::Control(_) => LogStream::Control,
            Self::Claim(_) => LogStream::Claims,
            Self::Job(_) => LogStream::Jobs,
        }
    }
}

/// The result of reading a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct LogPage {
    /// The first offset that the stream retains.
    pub first: u64,
    /// The offset of the first record of the page.
    pub from: u64,
    /// Consecutive records from offset `from`.
    pub records: Vec<LogRecord>,
    /// The offset after the stream's last record.
    pub end: u64,
}

#[derive(Clone, Debug, Default)]
struct FakeStream {
    /// Offset of the first retained record.
    first: u64,
    records: VecDeque<(TimePoint, LogRecord)>,
}

/// An append-only log with offsets, retention and outages.
#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    streams: [FakeStream; 4],
    /// Whether an outage is in progress.
    pub down: bool,
}

/// Maximum number of records of a page.
const MAX_PAGE_RECORDS: usize = 64;

impl FakeLog {
    /// Appends a record. Returns false, without appending, in an outage.
    pub fn append(&mut self, now: TimePoint, record: LogRecord) -> bool {
        if !self.down {
            self.streams[record.stream() as usize].records.push_back((now, record));
        }
        !self.down
    }

    /// Reads a page of a stream from offset `from`, or from the first retained record if that is
    /// later. Returns `None` in an outage.
    #[must_use]
    pub fn read(&self, stream: LogStream, from: u64) -> Option<LogPage> {
        if self.down {
            return None;
        }
        let stream = &self.streams[stream as usize];
        let from = from.max(stream.first);
        let skip = (from - stream.first) as usize;
        let records = stream.records.iter().skip(skip).take(MAX_PAGE_RECORDS);
        Some(LogPage {
            first: stream.first,
            from,
            records: records.map(|(_, record)| record.clone()).collect(),
            end: stream.first + stream.records.len() as u64,
        })
    }

    /// Drops records that were appended before `oldest`.
    pub fn retain(&mut self, oldest: TimePoint) {
        for stream in &mut self.streams {
            while stream.records.front().is_some_and(|(at, _)| *at < oldest) {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }
}

/// A slot of a fake engine.
#[derive(Clone, Debug)]
pub struct FakeSlot {
    /// The slot's name, which contains its adapter.
    pub name: SlotName,
    /// The runs in progress on the slot.
    pub runs: Vec<u64>,
}

/// A fake model engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Its server name in the manifest.
    pub name: ServerName,
    /// Its incarnation, incremented at each restart.
    pub incarnation: ServerIncarnation,
    /// Whether it refuses orders of an epoch older than the newest that it received.
    pub checks_fencing: bool,
    /// Its loaded slots.
    pub slots: Vec<FakeSlot>,
    capacity: usize,
    sequence: u64,
    fence: OwnerEpoch,
}

impl FakeEngine {
    /// Creates an engine without loaded slots.
    #[must_use]
    pub fn new(name: ServerName, capacity: usize, checks_fencing: bool) -> Self {
        Self {
            name,
            incarnation: ServerIncarnation(1),
            checks_fencing,
            slots: Vec::new(),
            capacity,
            sequence: 0,
            fence: OwnerEpoch(0),
        }
    }

    /// Restarts the engine with no loaded slots. Returns the runs that this aborted.
    pub fn restart(&mut self) -> Vec<u64> {
        self.incarnation.0 += 1;
        self.sequence = 0;
        self.fence = OwnerEpoch(0);
        std::mem::take(&mut self.slots).into_iter().flat_map(|slot| slot.runs).collect()
    }

    /// Records the epoch of an order. Returns whether the engine refuses the order.
    pub fn rejects_epoch(&mut self, epoch: OwnerEpoch) -> bool {
        let old = epoch < self.fence;
        self.fence = self.fence.max(epoch);
        self.checks_fencing && old
    }

    /// Executes an order. Returns its result and the runs that an unload aborted; there must be
    /// none.
    pub fn execute(&mut self, order: &EngineOrder) -> (OrderResult, Vec<u64>) {
        match order {
            EngineOrder::Load { slot, .. } => {
                if self.slots.iter().any(|known| known.name == *slot) {
                    return (OrderResult::Done, Vec::new());
                }
                if self.slots.len() >= self.capacity {
                    return (OrderResult::Failed, Vec::new());
                }
                self.slots.push(FakeSlot { name: slot.clone(), runs: Vec::new() });
                (OrderResult::Done, Vec::new())
            }
            EngineOrder::Unload { slot } => {
                let at = self.slots.iter().position(|known| known.name == *slot);
                let aborted = at.map(|at| self.slots.remove(at).runs).unwrap_or_default();
                (OrderResult::Done, aborted)
            }
        }
    }

    /// Begins a run on a slot. Returns false if the slot is not loaded.
    pub fn begin(&mut self, run: u64, slot: &SlotName) -> bool {
        let Some(slot) = self.slots.iter_mut().find(|known| known.name == *slot) else {
            return false;
        };
        slot.runs.push(run);
        true
    }

    /// Ends a run. Returns false if it was aborted before.
    pub fn end(&mut self, run: u64) -> bool {
        let mut found = false;
        for slot in &mut self.slots {
            let before = slot.runs.len();
            slot.runs.retain(|other| *other != run);
            found |= slot.runs.len() < before;
        }
        found
    }

    /// Returns a report of the current state, with the next sequence number.
    pub fn report(&mut self) -> EngineReport {
        self.sequence += 1;
        let slots = self
            .slots
            .iter()
            .map(|slot| SlotReport { slot: slot.name.clone(), running: slot.runs.len() as u32 });
        EngineReport {
            leaving: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            running: self.slots.iter().map(|slot| slot.runs.len() as u32).sum(),
            waiting: 0,
            slots: slots.collect(),
        }
    }
}
