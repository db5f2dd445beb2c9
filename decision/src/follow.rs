//! Reader position in a stream of the log, across retention, restarts and repeated reads.
//!
//! Offsets in a stream are consecutive. A reader that meets a gap has missed records that retention
//! dropped: its state is out of date, and it must not fold records until a snapshot fills the gap.
//! Until then it buffers the records it reads, because a later snapshot may hold the state at an
//! earlier offset.

/// Maximum buffered records. Beyond it the oldest are dropped, and only a snapshot that includes
/// them can be used.
const MAX_BUFFERED: usize = 16_384;

/// Position in a stream, and the records that wait for a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct StreamCursor<R> {
    /// Next offset to read.
    next: u64,
    /// Offset from which on no record was missed, up to `next`.
    first: u64,
    /// Whether the folded state includes every record before `next`.
    complete: bool,
    buffered: Vec<(u64, R)>,
}

impl<R> Default for StreamCursor<R> {
    fn default() -> Self {
        Self { next: 0, first: 0, complete: true, buffered: Vec::new() }
    }
}

impl<R> StreamCursor<R> {
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Advances past `offset`. Returns false for a record that was read before, for instance after
    /// a lost answer; it must not be folded twice.
    pub(crate) fn advance(&mut self, offset: u64) -> bool {
        if offset < self.next {
            return false;
        }
        if offset > self.next {
            self.complete = false;
            self.first = offset;
            self.buffered.clear();
        }
        self.next = offset + 1;
        true
    }

    /// Goes back to `offset`, from which on the log has other records than those that were read.
    pub(crate) fn rewind(&mut self, offset: u64) {
        self.next = self.next.min(offset);
        self.buffered.retain(|(buffered, _)| *buffered < offset);
    }

    /// Marks the records before `first` as dropped from the log.
    pub(crate) fn retained_from(&mut self, first: u64) {
        if first > self.next {
            self.complete = false;
            self.first = first;
            self.next = first;
            self.buffered.clear();
        }
    }

    /// Whether a peer's state up to `through` includes more than the state here.
    pub(crate) fn is_behind(&self, through: u64) -> bool {
        through > self.next || (!self.complete && self.can_continue_from(through))
    }

    /// Whether folding can continue from a snapshot of the state before `through`: no record from
    /// there on was missed.
    pub(crate) fn can_continue_from(&self, through: u64) -> bool {
        through >= self.first
    }

    pub(crate) fn buffer(&mut self, offset: u64, record: R) {
        if self.buffered.len() == MAX_BUFFERED {
            let (dropped, _) = self.buffered.remove(0);
            self.first = dropped + 1;
        }
        self.buffered.push((offset, record));
    }

    /// Marks the state as complete after a snapshot of the state before `through`, and drops the
    /// buffered records that it includes.
    pub(crate) fn complete_with(&mut self, through: u64) {
        self.complete = true;
        self.buffered.retain(|(offset, _)| *offset >= through);
    }

    /// Removes and returns the buffered records, in offset order.
    pub(crate) fn take_buffered(&mut self) -> Vec<(u64, R)> {
        std::mem::take(&mut self.buffered)
    }

    /// Advances to `through` after a peer's state was taken over.
    pub(crate) fn advance_to(&mut self, through: u64) {
        self.next = self.next.max(through);
    }
}
