//! Data that the VM holds for callers and servers, and how long callers may leave an answer unread.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use coltsfoothook_decision::buffer::BufferLedger;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::answer::BrokenAnswer;

/// The largest piece of an answer, in bytes, that the connection to its caller takes at once.
const MAX_PIECE_BYTES: usize = 64 << 10;

/// What the VM holds, of its limit. Clones share it.
#[derive(Clone)]
pub(crate) struct BufferPool(Arc<Mutex<BufferLedger>>);

impl BufferPool {
    pub(crate) fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(BufferLedger::new(limit))))
    }

    /// Returns how many bytes are held.
    pub(crate) fn held(&self) -> usize {
        self.ledger().held()
    }

    /// Returns a share that holds nothing yet.
    pub(crate) fn share(&self) -> BufferShare {
        BufferShare { pool: self.clone(), bytes: 0 }
    }

    fn ledger(&self) -> MutexGuard<'_, BufferLedger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What is held of one request, answer or event. It is released on drop.
pub(crate) struct BufferShare {
    pool: BufferPool,
    bytes: usize,
}

impl BufferShare {
    /// Holds `more` bytes, and returns whether the limit allows that.
    pub(crate) fn grow(&mut self, more: usize) -> bool {
        let fits = self.pool.ledger().try_hold(self.bytes, more);
        if fits {
            self.bytes += more;
        }
        fits
    }

    /// Holds `bytes` in all, and returns whether the limit allows that.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        if bytes < self.bytes {
            self.pool.ledger().release(self.bytes - bytes);
            self.bytes = bytes;
        }
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// When the answer that a connection sends must have been read; `None` without one. The connection is closed then.
#[derive(Clone)]
pub(crate) struct ReadingDue(watch::Sender<Option<Instant>>);

impl Default for ReadingDue {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl ReadingDue {
    /// Closes the connection at `due` unless the guard is dropped before.
    pub(crate) fn guard(&self, due: Instant) -> ReadingGuard {
        self.0.send_replace(Some(due));
        ReadingGuard { due, signal: self.clone() }
    }

    /// Returns once an answer was not read in time.
    pub(crate) async fn passed(&self) {
        let mut changes = self.0.subscribe();
        loop {
            let due = *changes.borrow_and_update();
            let changed = changes.changed();
            match due {
                Some(due) => tokio::select! {
                    () = sleep_until(due) => return,
                    _ = changed => {}
                },
                None => drop(changed.await),
            }
        }
    }
}

/// Limits the time for which an answer may stay unread.
pub(crate) struct ReadingGuard {
    due: Instant,
    signal: ReadingDue,
}

impl ReadingGuard {
    /// Returns whether the time is over.
    pub(crate) fn has_passed(&self) -> bool {
        Instant::now() >= self.due
    }
}

impl Drop for ReadingGuard {
    fn drop(&mut self) {
        self.signal.0.send_replace(None);
    }
}

/// The body of an answer that is held whole, and counted until the connection to its caller has taken it.
pub(crate) struct HeldBody {
    pub(crate) rest: Bytes,
    pub(crate) _share: BufferShare,
    pub(crate) _guard: ReadingGuard,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
