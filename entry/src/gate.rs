//! Counts the requests in flight, so that a shutdown cuts none.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use coltsfoothook_decision::outcome::RefusalReason;
use tokio::sync::Notify;

/// Lets requests in, up to a bound, until the shutdown begins; tells when the last one has ended.
#[derive(Debug)]
pub(crate) struct RequestGate {
    most: usize,
    closed: AtomicBool,
    inside: AtomicUsize,
    empty: Notify,
}

/// Stands for one request in flight; dropping it lets the request out.
#[derive(Debug)]
pub(crate) struct GatePass {
    gate: Arc<RequestGate>,
}

impl RequestGate {
    /// A gate for at most `most` requests at once.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            most,
            closed: AtomicBool::new(false),
            inside: AtomicUsize::new(0),
            empty: Notify::new(),
        }
    }

    /// Lets a request in, or refuses it when the VM is full or after the shutdown has begun.
    ///
    /// The count grows before the flag is read: a shutdown that sets the flag and then sees no
    /// request inside cannot miss one that was let in.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<GatePass, RefusalReason> {
        let before = self.inside.fetch_add(1, Ordering::SeqCst);
        let pass = GatePass { gate: Arc::clone(self) };
        if self.closed.load(Ordering::SeqCst) {
            return Err(RefusalReason::Leaving);
        }
        if before >= self.most {
            return Err(RefusalReason::Overloaded);
        }
        Ok(pass)
    }

    /// Refuses requests from now on.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Requests in flight.
    pub(crate) fn inside(&self) -> usize {
        self.inside.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn emptied(&self) {
        loop {
            let notified = self.empty.notified();
            if self.inside() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if self.gate.inside.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.gate.empty.notify_waiters();
        }
    }
}
