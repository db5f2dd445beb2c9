//! A grant in use: registered while it is held, released however the request ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::grant::{GrantEnd, HeldGrant, ReleaseCall, SlotGrant};
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_engine::OrderError;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::core::EntryCore;
use crate::stated::TakenPlace;

/// Attempts to cancel a run at its engine before the run counts as broken.
const CANCEL_ATTEMPTS: u32 = 5;
/// Wait between two attempts to cancel.
const CANCEL_INTERVAL: Duration = Duration::from_millis(200);

/// Holds a grant from its arrival to its release.
///
/// It may be dropped at any time, when the caller disconnects. If the request was sent and is not
/// known to have ended, the run is cancelled at the engine before the release; otherwise the slot
/// would be unpinned and could be evicted under a running request.
pub(crate) struct GrantHold {
    core: Arc<EntryCore>,
    pub(crate) grant: SlotGrant,
    pub(crate) address: SocketAddr,
    id: RequestId,
    end: Option<GrantEnd>,
    sent: bool,
    tokens: u32,
    given_back: bool,
    /// Counts the request at the engine.
    pub(crate) place: Option<TakenPlace>,
}

impl GrantHold {
    /// Registers the grant.
    pub(crate) fn new(
        core: &Arc<EntryCore>,
        grant: SlotGrant,
        address: SocketAddr,
        id: &RequestId,
        fingerprint: RequestFingerprint,
    ) -> Self {
        core.held.insert(HeldGrant {
            grant: grant.id.clone(),
            server: grant.server.clone(),
            slot: grant.slot.clone(),
            fingerprint,
        });
        Self {
            core: Arc::clone(core),
            grant,
            address,
            id: id.clone(),
            end: None,
            sent: false,
            tokens: 0,
            given_back: false,
            place: None,
        }
    }

    /// Releases the grant now. The receiver resolves once the owner has the release or it was
    /// dropped.
    ///
    /// A request whose engine failed waits for this before its next attempt. Until the owner knows
    /// which runs failed it cannot place suspects apart, and a poison request could run next to
    /// the same requests on its second server.
    pub(crate) fn give_back(&mut self) -> oneshot::Receiver<()> {
        let (delivered, receiver) = oneshot::channel();
        if !std::mem::replace(&mut self.given_back, true) {
            self.release(delivered);
        }
        receiver
    }

    fn release(&self, delivered: oneshot::Sender<()>) {
        let unknown = if self.sent { GrantEnd::Cancelled } else { GrantEnd::NotRun };
        let call = self.release_call(self.end.unwrap_or(unknown));
        let core = Arc::clone(&self.core);
        if self.may_run() {
            tokio::spawn(cancel_run(core, self.address, self.id.clone(), call, delivered));
        } else {
            release_grant(&core, call, delivered);
        }
    }

    /// Records that the request is about to be sent.
    pub(crate) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records how the use ended and how many tokens it produced.
    pub(crate) fn end(&mut self, end: GrantEnd, tokens: u32) {
        self.end = Some(end);
        self.tokens = tokens;
    }

    /// Records how the request ended at the engine, and counts it there no longer.
    pub(crate) fn end_place(&mut self, end: PlaceEnd) {
        if let Some(mut place) = self.place.take() {
            place.end(end);
        }
    }

    /// Returns whether the engine may still be running the request.
    fn may_run(&self) -> bool {
        match self.end {
            None => self.sent,
            Some(GrantEnd::Broken | GrantEnd::Cancelled) => self.sent,
            Some(
                GrantEnd::Done
                | GrantEnd::NotRun
                | GrantEnd::Unreachable
                | GrantEnd::SlotMissing
                | GrantEnd::Failed,
            ) => false,
        }
    }

    fn release_call(&self, end: GrantEnd) -> ReleaseCall {
        ReleaseCall {
            holder: self.core.me.clone(),
            grant: self.grant.id.clone(),
            end,
            tokens: self.tokens,
        }
    }
}

impl Drop for GrantHold {
    fn drop(&mut self) {
        drop(self.give_back());
    }
}

/// Cancels a run and then releases its grant. An engine that refuses the connection is down and
/// its runs have ended, so the release is not delayed by further attempts.
async fn cancel_run(
    core: Arc<EntryCore>,
    address: SocketAddr,
    id: RequestId,
    mut call: ReleaseCall,
    delivered: oneshot::Sender<()>,
) {
    for _ in 0..CANCEL_ATTEMPTS {
        match core.clients.engines.cancel(address, &id).await {
            Ok(()) => {
                release_grant(&core, call, delivered);
                return;
            }
            Err(OrderError::OrderNotSent { .. }) => break,
            Err(_) => sleep(CANCEL_INTERVAL).await,
        }
    }
    call.end = GrantEnd::Broken;
    release_grant(&core, call, delivered);
}

fn release_grant(core: &EntryCore, call: ReleaseCall, delivered: oneshot::Sender<()>) {
    core.held.remove(&call.grant);
    core.releases.release(call, delivered);
}
