//! Whether what others tell of a topic's changes leaves none out.
//!
//! Some VMs read a topic and tell the others what changed, several times since messages get lost. There are
//! changes that they find and do not tell of: those in a snapshot, taken where the history was dropped, and
//! those of an outage, which each VM judges for itself. That a message came is therefore no sign that all
//! changes did. Each message names the span of the topic whose changes it holds. Who knows the topic up to a
//! place in that span knows it up to the span's end; anybody else has missed something and looks itself.

use crate::value;

value! {
    /// A part of a topic all of whose changes a message holds.
    #[derive(Copy, Eq, Default)]
    pub struct ToldSpan {
        /// Where it begins.
        pub since: u64,
        /// Where it ends; the record at this place is not in it.
        pub up_to: u64,
    }
}

/// How far one VM knows all changes of a topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct TopicCoverage {
    known_to: Option<u64>,
}

impl TopicCoverage {
    /// The VM read the topic itself, up to a place.
    pub fn looked(&mut self, up_to: u64) {
        self.known_to = self.known_to.max(Some(up_to));
    }

    /// The VM was told of a span; false if changes between what it knew and the span are missing.
    pub fn told(&mut self, span: ToldSpan) -> bool {
        let complete = self.known_to.is_some_and(|known| span.since <= known);
        if complete {
            self.looked(span.up_to);
        }
        complete
    }
}

/// The last looks of a VM that tells others what it read.
#[derive(Clone, Debug)]
pub struct ToldHistory<T> {
    up_to: u64,
    /// Where each look began, and what it found.
    looks: Vec<(u64, T)>,
    repeats: usize,
}

impl<T> ToldHistory<T> {
    /// Without looks yet; each is told so many times.
    #[must_use]
    pub fn new(repeats: usize) -> Self {
        Self { up_to: 0, looks: Vec::new(), repeats }
    }

    /// A look found these changes between the end of the one before and a place.
    pub fn look(&mut self, up_to: u64, changes: T) {
        self.looks.push((self.up_to, changes));
        self.up_to = up_to;
        let excess = self.looks.len().saturating_sub(self.repeats);
        self.looks.drain(..excess);
    }

    /// The VM knows the topic up to a place, and not all that it found is told.
    pub fn untold(&mut self, up_to: u64) {
        self.looks.clear();
        self.up_to = up_to;
    }

    /// What a message with all changes covers.
    #[must_use]
    pub fn span(&self) -> ToldSpan {
        let since = self.looks.first().map_or(self.up_to, |(since, _)| *since);
        ToldSpan { since, up_to: self.up_to }
    }

    /// The changes.
    pub fn changes(&self) -> impl Iterator<Item = &T> {
        self.looks.iter().map(|(_, changes)| changes)
    }
}
