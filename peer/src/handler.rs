//! Interface between the peer server and the entry process, which handles the calls.

use std::sync::Arc;

use async_trait::async_trait;
use coltsfoothook_decision::grant::{ReleaseCall, ReserveCall, ReserveReply};
use coltsfoothook_decision::member::{ProbeMessage, ProbeReply};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, ExplainCall, ExplainReply, HeldCall, HeldReply, RevokeCall,
    RevokeReply, StatusReply, WithdrawCall,
};

use crate::settings::PeerCounters;

/// Handles calls from other VMs.
///
/// With TLS, VM names in calls that carry the sender's identity have been checked against the
/// sender's certificate.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Returns the counters that the server updates. Implementations usually return those of their
    /// [`crate::PeerPool`], so that the counts cover both directions; the default is a separate
    /// set.
    fn counters(&self) -> Arc<PeerCounters> {
        Arc::default()
    }

    /// Answers a probe, or probes the VM in [`ProbeMessage::target`] on the sender's behalf.
    async fn probe(&self, message: ProbeMessage) -> ProbeReply;

    /// Queues a request and returns when it is granted or refused.
    ///
    /// The future is dropped when the requester cancels the call, when its connection breaks, and
    /// at the call's deadline. A guard in the future must then remove the request from the queue,
    /// or release a grant already made as not run, since the requester never receives it. A
    /// [`PeerHandler::withdraw`] for the same request must then have no further effect.
    async fn reserve(&self, call: ReserveCall) -> ReserveReply;

    /// Removes a request from the queue, or releases its grant if it has one.
    async fn withdraw(&self, call: WithdrawCall);

    /// Releases grants that their holders no longer use.
    async fn release(&self, calls: Vec<ReleaseCall>);

    /// Returns the grants that this VM holds in a group to the group's new owner. The VM must
    /// accept no grants of an older epoch from then on.
    async fn held(&self, call: HeldCall) -> HeldReply;

    /// Revokes an idempotency key whose request has not started on this VM.
    async fn revoke(&self, call: RevokeCall) -> RevokeReply;

    /// Returns newer configuration and control state to a VM that cannot read the log.
    async fn catch_up(&self, call: CatchUpCall) -> CatchUpReply;

    /// Returns this VM's state for operators.
    async fn status(&self) -> StatusReply;

    /// Returns the steps that this VM recorded for a request.
    async fn explain(&self, call: ExplainCall) -> ExplainReply;
}
