//! Following a stream of the log across retention, restarts and re-reads.
//!
//! Offsets of a stream grow by one with each record. A reader that meets a gap has been overtaken
//! by retention: what it holds is no longer the state at its place, and it must not judge records
//! until a snapshot fills the gap. Until then it holds the records it meets, because a snapshot
//! that comes later may hold the state at an earlier offset.

/// The most records that wait for a snapshot. Beyond it the oldest are dropped, and only a later
/// snapshot will do.
const HELD_RECORDS: usize = 16_384;

/// Where a reader is in a stream, and what waits for a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct StreamCursor<R> {
    next: u64,
    begin: u64,
    whole: bool,
    held: Vec<(u64, R)>,
}

impl<R> Default for StreamCursor<R> {
    fn default() -> Self {
        Self { next: 0, begin: 0, whole: true, held: Vec::new() }
    }
}

impl<R> StreamCursor<R> {
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    pub(crate) fn whole(&self) -> bool {
        self.whole
    }

    /// Moves past `offset`. False for a record that was read before, for instance after a lost
    /// answer; it must not be folded twice.
    pub(crate) fn reaches(&mut self, offset: u64) -> bool {
        if offset < self.next {
            return false;
        }
        if offset > self.next {
            self.whole = false;
            self.begin = offset;
            self.held.clear();
        }
        self.next = offset + 1;
        true
    }

    /// Notes that the log holds nothing before `first` any more.
    pub(crate) fn retained_from(&mut self, first: u64) {
        if first > self.next {
            self.whole = false;
            self.begin = first;
            self.next = first;
            self.held.clear();
        }
    }

    /// Whether a peer's state before `through` is more than what is known here.
    pub(crate) fn gains(&self, through: u64) -> bool {
        through > self.next || (!self.whole && self.usable(through))
    }

    /// Whether a snapshot of the state before `through` can be folded on from: every record from
    /// there on was seen.
    pub(crate) fn usable(&self, through: u64) -> bool {
        through >= self.begin
    }

    pub(crate) fn hold(&mut self, offset: u64, record: R) {
        if self.held.len() == HELD_RECORDS {
            let (dropped, _) = self.held.remove(0);
            self.begin = dropped + 1;
        }
        self.held.push((offset, record));
    }

    /// Drops what a snapshot of the state before `through` holds already.
    pub(crate) fn begin_at(&mut self, through: u64) {
        self.whole = true;
        self.held.retain(|(offset, _)| *offset >= through);
    }

    /// The records that waited, in offset order.
    pub(crate) fn release(&mut self) -> Vec<(u64, R)> {
        std::mem::take(&mut self.held)
    }

    /// Continues at `through`, which a peer's state holds.
    pub(crate) fn jump(&mut self, through: u64) {
        self.next = self.next.max(through);
    }
}
