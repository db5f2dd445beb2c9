//! Limit on the data that a VM holds for callers and servers.
//!
//! Bodies of requests and answers, and events that are not complete, are held in memory. Peers that
//! are slow, or that send without end, must neither exhaust the memory of the VM nor leave none to
//! others. A fixed limit for each would be either too low for one large body or too high for many.

/// How much data is held, of a limit.
#[derive(Clone, Debug)]
pub struct BufferLedger {
    limit: usize,
    held: usize,
}

impl BufferLedger {
    /// Creates a ledger in which nothing is held; `limit` is in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, held: 0 }
    }

    /// Returns how many bytes are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds `more` bytes to a holder that has `own`, and returns true, if it then holds no more than
    /// remains free.
    ///
    /// One holder gets up to half of the limit, and of many that take all they can each gets the
    /// same part, so that as much as each of them has stays free for the next one.
    pub fn try_hold(&mut self, own: usize, more: usize) -> bool {
        let held = self.held.saturating_add(more);
        let fits = own.saturating_add(more) <= self.limit.saturating_sub(held);
        if fits {
            self.held = held;
        }
        fits
    }

    /// Releases bytes that are no longer held.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }
}
