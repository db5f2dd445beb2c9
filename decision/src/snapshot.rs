//! When a stream's state is written as a snapshot, and by which VM.
//!
//! The log keeps records for a limited time. A VM that starts without state can build it only if a
//! snapshot and all records after it are still in the log. A snapshot is therefore written well
//! before the retention time ends, and also after many records, to keep starts short. See
//! docs/AGREEMENT.md, "Retention".

use crate::id::{MICROS_PER_MILLI, TimePoint};
use crate::member::{MemberState, MemberTable};
use crate::takeover::{PauseDetector, rank_among_live};

/// Settings of snapshots.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotSettings {
    /// Milliseconds after which a snapshot is due; a quarter of the log's retention, so that
    /// failures of several VMs to write it, or an outage, can pass before the last one is dropped.
    pub age_ms: u64,
    /// Records since the last snapshot after which one is due.
    pub records: u64,
    /// Milliseconds per rank that a VM waits for the VMs ranked before it to write.
    pub rank_ms: u64,
    /// Milliseconds after which a snapshot that was not read back is written again.
    pub repeat_ms: u64,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self { age_ms: 900_000, records: 1_000, rank_ms: 3_000, repeat_ms: 30_000 }
    }
}

/// Decides when this VM writes the snapshot of one stream.
#[derive(Clone, Debug)]
pub struct SnapshotPlan {
    settings: SnapshotSettings,
    stream: &'static str,
    started: TimePoint,
    last_read: Option<(TimePoint, u64)>,
    due_since: Option<TimePoint>,
    appended_at: Option<TimePoint>,
    pauses: PauseDetector,
}

impl SnapshotPlan {
    /// Creates the plan for `stream` of a VM that started at `now`.
    #[must_use]
    pub fn new(settings: SnapshotSettings, stream: &'static str, now: TimePoint) -> Self {
        Self {
            settings,
            stream,
            started: now,
            last_read: None,
            due_since: None,
            appended_at: None,
            pauses: PauseDetector::default(),
        }
    }

    /// Processes a snapshot, of the state before `through`, that was read from the log.
    pub fn note(&mut self, now: TimePoint, through: u64) {
        if self.last_read.is_none_or(|(_, known)| through > known) {
            self.last_read = Some((now, through));
            self.due_since = None;
        }
    }

    /// Whether this VM writes a snapshot now; `next` is the next offset that its fold reads. The VM
    /// of rank 0 writes it, a later rank only if the ranks before did not.
    pub fn due(&mut self, now: TimePoint, next: u64, members: &MemberTable) -> bool {
        self.pauses.observe(now);
        if next == 0 || !self.is_due(now, next) {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        let wait = rank_among_live(self.stream, members) * self.settings.rank_ms;
        let rank_elapsed = self.pauses.passed(now, since, wait);
        let repeat = self.settings.repeat_ms * MICROS_PER_MILLI;
        let in_flight = self.appended_at.is_some_and(|at| now.since(at) < repeat);
        let alive = members.own().state() == MemberState::Alive;
        if !rank_elapsed || in_flight || !alive {
            return false;
        }
        self.appended_at = Some(now);
        true
    }

    fn is_due(&self, now: TimePoint, next: u64) -> bool {
        let age = self.settings.age_ms * MICROS_PER_MILLI;
        match self.last_read {
            Some((at, through)) => {
                // A snapshot read at the start may be older than its time of reading here.
                let maybe_old = now.since(self.started) < age && now.since(at) >= age / 2;
                let many_records = next.saturating_sub(through) >= self.settings.records;
                maybe_old || many_records || now.since(at) >= age
            }
            None => next >= self.settings.records || now.since(self.started) >= age / 4,
        }
    }
}
