//! A grant in use: registered while it is held, given back however the request ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::grant::{GrantEnd, HeldGrant, ReleaseCall, SlotGrant};
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};
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
            Some(GrantEnd::Done | GrantEnd::NotRun | GrantEnd::SlotMissing | GrantEnd::Failed) => {
                false
            }
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
        let end =
            self.end.unwrap_or(if self.sent { GrantEnd::Cancelled } else { GrantEnd::NotRun });
        let call = self.release_call(end);
        if self.may_run() {
            tokio::spawn(cancel_run(Arc::clone(&self.core), self.address, self.id.clone(), call));
        } else {
            give_back(&self.core, call);
        }
    }
}

async fn cancel_run(
    core: Arc<EntryCore>,
    address: SocketAddr,
    id: RequestId,
    mut call: ReleaseCall,
) {
    for _ in 0..CANCEL_TRIES {
        if core.clients.engines.cancel(address, &id).await.is_ok() {
            give_back(&core, call);
            return;
        }
        sleep(CANCEL_PAUSE).await;
    }
    call.end = GrantEnd::Broken;
    give_back(&core, call);
}

fn give_back(core: &EntryCore, call: ReleaseCall) {
    core.held.remove(&call.grant);
    core.releases.release(call);
}
