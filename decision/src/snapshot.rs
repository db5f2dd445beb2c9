//! When a stream's whole state is written again, and by which VM.
//!
//! The log keeps records for a limited time. A VM that starts with nothing can build the state only
//! if a snapshot and every record behind it are still there, so one is written well ahead of that
//! time, and again after many records to keep a start short. See docs/AGREEMENT.md, "Retention".

use crate::id::{MICROS_PER_MILLI, TimePoint};
use crate::member::{MemberState, MemberTable};
use crate::takeover::{PauseWatch, rank_among_live};

/// Settings of snapshots.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotSettings {
    /// Milliseconds after which a snapshot is due; a quarter of the log's retention, so that
    /// several VMs can fail to write it and an outage can pass before the last one is lost.
    pub age_ms: u64,
    /// Records after which one is due.
    pub records: u64,
    /// Milliseconds that each later rank waits for the ranks before it to write.
    pub rank_ms: u64,
    /// Milliseconds after which a snapshot that was not read back is written again.
    pub repeat_ms: u64,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self { age_ms: 900_000, records: 1_000, rank_ms: 3_000, repeat_ms: 30_000 }
    }
}

/// Decides when this VM writes a stream's snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotPlan {
    settings: SnapshotSettings,
    stream: &'static str,
    started: TimePoint,
    seen: Option<(TimePoint, u64)>,
    due_since: Option<TimePoint>,
    asked: Option<TimePoint>,
    pauses: PauseWatch,
}

impl SnapshotPlan {
    /// The plan for `stream` of a VM that started at `now`.
    #[must_use]
    pub fn new(settings: SnapshotSettings, stream: &'static str, now: TimePoint) -> Self {
        Self {
            settings,
            stream,
            started: now,
            seen: None,
            due_since: None,
            asked: None,
            pauses: PauseWatch::default(),
        }
    }

    /// A snapshot of the state before `through` was read from the log.
    pub fn note(&mut self, now: TimePoint, through: u64) {
        if self.seen.is_none_or(|(_, known)| through > known) {
            self.seen = Some((now, through));
            self.due_since = None;
        }
    }

    /// Whether this VM is to write a snapshot now; `next` is the offset that its fold will read
    /// next. The first VM by rank writes, a later one only if the earlier ones did not.
    pub fn due(&mut self, now: TimePoint, next: u64, members: &MemberTable) -> bool {
        self.pauses.ask(now);
        if next == 0 || !self.needed(now, next) {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        let wait = rank_among_live(self.stream, members) * self.settings.rank_ms;
        let turn = self.pauses.passed(now, since, wait);
        let repeat = self.settings.repeat_ms * MICROS_PER_MILLI;
        let waits = self.asked.is_some_and(|asked| now.since(asked) < repeat);
        let able = members.own().state() == MemberState::Alive;
        if !turn || waits || !able {
            return false;
        }
        self.asked = Some(now);
        true
    }

    fn needed(&self, now: TimePoint, next: u64) -> bool {
        let age = self.settings.age_ms * MICROS_PER_MILLI;
        match self.seen {
            Some((at, through)) => {
                // A snapshot that was there at the start may be older than this VM knows.
                let early = now.since(self.started) < age && now.since(at) >= age / 2;
                let many = next.saturating_sub(through) >= self.settings.records;
                early || many || now.since(at) >= age
            }
            None => next >= self.settings.records || now.since(self.started) >= age / 4,
        }
    }
}
