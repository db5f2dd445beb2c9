//! Bounds and counts the requests in flight, so that a shutdown interrupts none.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use coltsfoothook_decision::outcome::RefusalReason;
use tokio::sync::Notify;

/// Admits requests up to a bound until the shutdown begins, and signals when the last one has
/// ended.
#[derive(Debug)]
pub(crate) struct RequestGate {
    max_requests: usize,
    closed: AtomicBool,
    active: AtomicUsize,
    empty: Notify,
}

/// One request in flight; dropping it ends the request's count.
#[derive(Debug)]
pub(crate) struct GatePass {
    gate: Arc<RequestGate>,
}

impl RequestGate {
    /// Creates a gate for at most `max_requests` concurrent requests.
    pub(crate) fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            closed: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            empty: Notify::new(),
        }
    }

    /// Admits a request, or refuses it when the VM is full or the shutdown has begun.
    ///
    /// The count is incremented before the flag is read, so a shutdown that sets the flag and then
    /// sees a count of 0 cannot miss an admitted request.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<GatePass, RefusalReason> {
        let before = self.active.fetch_add(1, Ordering::SeqCst);
        let pass = GatePass { gate: Arc::clone(self) };
        if self.closed.load(Ordering::SeqCst) {
            return Err(RefusalReason::Leaving);
        }
        if before >= self.max_requests {
            return Err(RefusalReason::Overloaded);
        }
        Ok(pass)
    }

    /// Begins the shutdown: all further requests are refused.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether the shutdown has begun.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn wait_empty(&self) {
        loop {
            let notified = self.empty.notified();
            if self.active() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if self.gate.active.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.gate.empty.notify_waiters();
        }
    }
}
