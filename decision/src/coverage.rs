//! Detects missed changes of a topic of which VMs notify each other.
//!
//! Some VMs read a topic and send its changes to the others, each change several times since
//! messages can be lost. Some changes are found but not sent: those of a snapshot, taken where the
//! history was dropped, and those of an outage, which each VM assesses for itself. A received
//! message therefore doesn't imply that no change is missing. Each message names the span of the
//! topic whose changes it contains. A VM that knows all changes up to a position in that span then
//! knows them up to the span's end; any other VM has missed changes and reads the topic itself.

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
    /// Start position of each read, and the changes it found.
    reads: Vec<(u64, T)>,
    repeats: usize,
}

impl<T> ReportHistory<T> {
    /// Creates an empty history. Each read is sent `repeats` times.
    #[must_use]
    pub fn new(repeats: usize) -> Self {
        Self { up_to: 0, reads: Vec::new(), repeats }
    }

    /// Adds the changes found between the end of the previous read and a position.
    pub fn add_read(&mut self, up_to: u64, changes: T) {
        self.reads.push((self.up_to, changes));
        self.up_to = up_to;
        let excess = self.reads.len().saturating_sub(self.repeats);
        self.reads.drain(..excess);
    }

    /// Restarts the history at a position, because some changes before it are not sent.
    pub fn restart(&mut self, up_to: u64) {
        self.reads.clear();
        self.up_to = up_to;
    }

    /// Returns the span that a message with all changes of the history covers.
    #[must_use]
    pub fn span(&self) -> ReportedSpan {
        let since = self.reads.first().map_or(self.up_to, |(since, _)| *since);
        ReportedSpan { since, up_to: self.up_to }
    }

    /// Returns the changes to send, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &T> {
        self.reads.iter().map(|(_, changes)| changes)
    }
}
