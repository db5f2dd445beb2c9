//! What the entry process implements to answer other VMs.

use std::sync::Arc;

use async_trait::async_trait;
use coltsfoothook_decision::grant::{ReleaseCall, ReserveCall, ReserveReply};
use coltsfoothook_decision::member::{ProbeMessage, ProbeReply};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, ExplainCall, ExplainReply, HeldCall, HeldReply, RevokeCall,
    RevokeReply, StatusReply, WithdrawCall,
};

use crate::settings::PeerCounters;

/// Answers calls of other VMs. The names in messages have been checked against the certificates.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Where to count traffic and refusals, usually the counters of the pool, so that both
    /// directions add up. By default the server has counters of its own.
    fn counters(&self) -> Arc<PeerCounters> {
        Arc::default()
    }

    /// Answers a probe, or probes the named VM on the sender's behalf.
    async fn probe(&self, message: ProbeMessage) -> ProbeReply;

    /// Waits until the request may run or is refused.
    ///
    /// The future is dropped when the requester's caller goes away, when the requester's connection
    /// breaks, and at the call's deadline. A guard in it must then withdraw the request from the
    /// queue, and release a grant that was already given as not run: the requester will never learn
    /// of it. The [`PeerHandler::withdraw`] that a requester sends besides finds nothing more to
    /// do.
    async fn reserve(&self, call: ReserveCall) -> ReserveReply;

    /// Forgets a request that waits for a grant, or releases the grant if there is one.
    async fn withdraw(&self, call: WithdrawCall);

    /// Takes grants back.
    async fn release(&self, calls: Vec<ReleaseCall>);

    /// Tells a new owner which grants are held.
    async fn held(&self, call: HeldCall) -> HeldReply;

    /// Gives up a key that was not begun.
    async fn revoke(&self, call: RevokeCall) -> RevokeReply;

    /// Tells a VM without the log what it missed.
    async fn catch_up(&self, call: CatchUpCall) -> CatchUpReply;

    /// Tells operators what this VM knows and does.
    async fn status(&self) -> StatusReply;

    /// Tells the steps of a request.
    async fn explain(&self, call: ExplainCall) -> ExplainReply;
}
