//! The tarpc service and its server side, which checks sender names before calling the handler.

use std::sync::Arc;

use coltsfoothook_decision::grant::{ReleaseCall, ReserveCall, ReserveReply};
use coltsfoothook_decision::id::VmName;
use coltsfoothook_decision::member::{ProbeMessage, ProbeReply};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, ExplainCall, ExplainReply, HeldCall, HeldReply, RevokeCall,
    RevokeReply, StatusReply, WithdrawCall,
};
use coltsfoothook_decision::value;
use coltsfoothook_telemetry::event;
use serde::{Deserialize, Serialize};
use tarpc::context::Context;

use crate::handler::PeerHandler;
use crate::identity::PeerIdentity;
use crate::settings::PeerCounters;

value! {
    /// The reason why a VM refused a call.
    #[derive(Copy, Eq)]
    pub enum FaultReason {
        /// The VM name in the message does not match the sender's certificate.
        ForgedName,
        /// The receiver's release cannot decode the message, for example an unknown method.
        Unsupported,
        /// The receiver has too many calls in flight.
        Busy,
    }

    /// A refusal of a call, of which no part was carried out.
    #[derive(Eq)]
    pub struct PeerFault {
        /// Why the call was refused.
        pub reason: FaultReason,
        /// A human-readable explanation; may be empty.
        #[serde(default)]
        pub detail: String,
    }
}

/// The calls between entry VMs.
#[tarpc::service(derive = [Serialize, Deserialize])]
pub(crate) trait VmPeer {
    async fn probe(message: ProbeMessage) -> Result<ProbeReply, PeerFault>;
    async fn reserve(call: ReserveCall) -> Result<ReserveReply, PeerFault>;
    async fn withdraw(call: WithdrawCall) -> Result<(), PeerFault>;
    async fn release(calls: Vec<ReleaseCall>) -> Result<(), PeerFault>;
    async fn held(call: HeldCall) -> Result<HeldReply, PeerFault>;
    async fn revoke(call: RevokeCall) -> Result<RevokeReply, PeerFault>;
    async fn catch_up(call: CatchUpCall) -> Result<CatchUpReply, PeerFault>;
    async fn status() -> Result<StatusReply, PeerFault>;
    async fn explain(call: ExplainCall) -> Result<ExplainReply, PeerFault>;
    /// Replaces a received message that this release cannot decode. Never sent.
    async fn unsupported(detail: String) -> Result<(), PeerFault>;
}

/// Server side of the service on one connection.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) handler: Arc<dyn PeerHandler>,
    pub(crate) identity: Arc<PeerIdentity>,
    pub(crate) counters: Arc<PeerCounters>,
}

impl PeerService {
    /// Checks that the sender is the VM named in its message.
    ///
    /// Otherwise an attacker with one VM's key could release other VMs' grants, and slots would be
    /// evicted that running requests still use.
    fn check_name(&self, claimed: &VmName) -> Result<(), PeerFault> {
        if self.identity.is(claimed) {
            return Ok(());
        }
        self.counters.count_forged_name();
        event!(PeerRefused, reason = "forged_name", vm = claimed);
        let detail = format!("the certificate does not match the VM name {claimed}");
        Err(PeerFault { reason: FaultReason::ForgedName, detail })
    }
}

impl VmPeer for PeerService {
    async fn probe(self, _: Context, message: ProbeMessage) -> Result<ProbeReply, PeerFault> {
        self.check_name(&message.from.vm.vm)?;
        Ok(self.handler.probe(message).await)
    }

    async fn reserve(self, _: Context, call: ReserveCall) -> Result<ReserveReply, PeerFault> {
        self.check_name(&call.requester.vm)?;
        Ok(self.handler.reserve(call).await)
    }

    async fn withdraw(self, _: Context, call: WithdrawCall) -> Result<(), PeerFault> {
        self.check_name(&call.requester.vm)?;
        self.handler.withdraw(call).await;
        Ok(())
    }

    async fn release(self, _: Context, calls: Vec<ReleaseCall>) -> Result<(), PeerFault> {
        for call in &calls {
            self.check_name(&call.holder.vm)?;
        }
        self.handler.release(calls).await;
        Ok(())
    }

    async fn held(self, _: Context, call: HeldCall) -> Result<HeldReply, PeerFault> {
        self.check_name(&call.requester.vm)?;
        Ok(self.handler.held(call).await)
    }

    async fn revoke(self, _: Context, call: RevokeCall) -> Result<RevokeReply, PeerFault> {
        Ok(self.handler.revoke(call).await)
    }

    async fn catch_up(self, _: Context, call: CatchUpCall) -> Result<CatchUpReply, PeerFault> {
        Ok(self.handler.catch_up(call).await)
    }

    async fn status(self, _: Context) -> Result<StatusReply, PeerFault> {
        Ok(self.handler.status().await)
    }

    async fn explain(self, _: Context, call: ExplainCall) -> Result<ExplainReply, PeerFault> {
        Ok(self.handler.explain(call).await)
    }

    async fn unsupported(self, _: Context, detail: String) -> Result<(), PeerFault> {
        self.counters.count_unsupported();
        event!(PeerRefused, reason = "unsupported_message", detail = detail);
        Err(PeerFault { reason: FaultReason::Unsupported, detail })
    }
}
