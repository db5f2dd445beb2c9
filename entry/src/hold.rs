//! A grant in use: registered while it is held, given back however the request ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::grant::{GrantEnd, HeldGrant, ReleaseCall, SlotGrant};
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};
use coltsfoothook_engine::OrderError;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::core::EntryCore;

/// Tries to cancel at the engine before the run counts as broken.
const CANCEL_TRIES: u32 = 5;
const CANCEL_PAUSE: Duration = Duration::from_millis(200);

/// Holds a grant from its arrival to its release.
///
/// It may be dropped at any moment, because the caller went away. If the request was sent and is
/// not known to have ended, the engine is told to cancel first: the slot stays pinned until the
/// engine has let go of it, or an eviction would meet a running request.
pub(crate) struct GrantHold {
    core: Arc<EntryCore>,
    pub(crate) grant: SlotGrant,
    pub(crate) address: SocketAddr,
    id: RequestId,
    end: Option<GrantEnd>,
    sent: bool,
    tokens: u32,
    given_back: bool,
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
        }
    }

    /// Gives the grant back now. The receiver resolves once the owner knows how the use ended.
    ///
    /// A request whose engine broke waits for it before its next try: until the owner knows which
    /// runs broke it cannot keep suspects apart, and a poison request would meet the same neighbours
    /// on its second server.
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
            hand_back(&core, call, delivered);
        }
    }

    /// Notes that the request is about to be sent.
    pub(crate) fn sending(&mut self) {
        self.sent = true;
    }

    /// Notes how the use ended.
    pub(crate) fn end(&mut self, end: GrantEnd, tokens: u32) {
        self.end = Some(end);
        self.tokens = tokens;
    }

    /// Whether the engine may still be running the request.
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

/// Cancels a run before its grant is given back. An engine that refuses the connection is down, and
/// the run with it; waiting for it would keep from the owner which runs broke.
async fn cancel_run(
    core: Arc<EntryCore>,
    address: SocketAddr,
    id: RequestId,
    mut call: ReleaseCall,
    delivered: oneshot::Sender<()>,
) {
    for _ in 0..CANCEL_TRIES {
        match core.clients.engines.cancel(address, &id).await {
            Ok(()) => {
                hand_back(&core, call, delivered);
                return;
            }
            Err(OrderError::OrderNotSent { .. }) => break,
            Err(_) => sleep(CANCEL_PAUSE).await,
        }
    }
    call.end = GrantEnd::Broken;
    hand_back(&core, call, delivered);
}

fn hand_back(core: &EntryCore, call: ReleaseCall, delivered: oneshot::Sender<()>) {
    core.held.remove(&call.grant);
    core.releases.release(call, delivered);
}
