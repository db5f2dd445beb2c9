//! Detects missed changes of a topic of which VMs notify each other.
//!
//! Some VMs read a topic and send its changes to the others, each change for some seconds since
//! messages can be lost. The time is counted rather than the messages: several may follow one
//! another at once, and one disruption then loses all of them. Some changes are found but not sent:
//! those of a snapshot, taken where the history was dropped, and those of an outage, which each VM
//! assesses for itself. A received message therefore doesn't imply that no change is missing. Each
//! message names the span of the topic whose changes it contains. A VM that knows all changes up to
//! a position in that span then knows them up to the span's end; any other VM has missed changes and
//! reads the topic itself.

use crate::id::TimePoint;
use crate::value;

value! {
    /// Span of a topic all of whose changes a message contains.
    #[derive(Copy, Eq, Default)]
    pub struct ReportedSpan {
        /// First position.
        pub since: u64,
        /// End position, exclusive.
        pub up_to: u64,
    }
}

/// How far one VM knows all changes of a topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct TopicCoverage {
    known_to: Option<u64>,
}

impl TopicCoverage {
    /// Records that the VM read the topic itself up to a position.
    pub fn record_read(&mut self, up_to: u64) {
        self.known_to = self.known_to.max(Some(up_to));
    }

    /// Records a received span. Returns false if changes before the span are missing.
    pub fn apply_report(&mut self, span: ReportedSpan) -> bool {
        let complete = self.known_to.is_some_and(|known| span.since <= known);
        if complete {
            self.record_read(span.up_to);
        }
        complete
    }
}

/// Latest reads of a VM that sends the changes to others.
#[derive(Clone, Debug)]
pub struct ReportHistory<T> {
    up_to: u64,
    /// Oldest first.
    reads: Vec<ReportedRead<T>>,
    kept_us: u64,
}

/// One read of a topic.
#[derive(Clone, Debug)]
struct ReportedRead<T> {
    since: u64,
    changes: T,
    at: TimePoint,
}

impl<T> ReportHistory<T> {
    /// Creates an empty history. Each read is sent for `kept_us` microseconds.
    #[must_use]
    pub fn new(kept_us: u64) -> Self {
        Self { up_to: 0, reads: Vec::new(), kept_us }
    }

    /// Adds the changes found between the end of the previous read and a position.
    pub fn add_read(&mut self, up_to: u64, changes: T, now: TimePoint) {
        self.reads.push(ReportedRead { since: self.up_to, changes, at: now });
        self.up_to = up_to;
        self.expire(now);
    }

    /// Drops reads that were sent for long enough.
    pub fn expire(&mut self, now: TimePoint) {
        self.reads.retain(|read| now.since(read.at) < self.kept_us);
    }

    /// Drops the oldest reads until their changes, counted by `count`, are `max` at most. VMs that
    /// miss the dropped ones read the topic themselves.
    pub fn truncate(&mut self, max: usize, count: impl Fn(&T) -> usize) {
        let mut total: usize = self.reads.iter().map(|read| count(&read.changes)).sum();
        while total > max {
            total -= count(&self.reads.remove(0).changes);
        }
    }

    /// Restarts the history at a position, because some changes before it are not sent.
    pub fn restart(&mut self, up_to: u64) {
        self.reads.clear();
        self.up_to = up_to;
    }

    /// Returns the span that a message with all changes of the history covers.
    #[must_use]
    pub fn span(&self) -> ReportedSpan {
        let since = self.reads.first().map_or(self.up_to, |read| read.since);
        ReportedSpan { since, up_to: self.up_to }
    }

    /// Returns the changes to send, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &T> {
        self.reads.iter().map(|read| &read.changes)
    }
}
