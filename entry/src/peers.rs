//! Handler of the interface to other VMs.

use std::sync::Arc;

use async_trait::async_trait;
use coltsfoothook_decision::grant::{ReleaseCall, ReserveCall, ReserveReply};
use coltsfoothook_decision::invariant::InvariantName;
use coltsfoothook_decision::member::{ProbeMessage, ProbeReply};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, ExplainCall, ExplainReply, HeldCall, HeldReply, InvariantCount,
    RevokeCall, RevokeReply, StatusReply, StreamStatus, WithdrawCall,
};
use coltsfoothook_peer::{PeerCounters, PeerHandler};

use crate::core::{EntryCore, read};
use crate::follow::FollowedStream;
use crate::held::lock;
use crate::own::{answer_held, not_owner};
use crate::release::apply_release;
use crate::roster::{MembershipDriver, answer_catch_up};

/// Serves requests of other VMs from the shared state.
pub(crate) struct PeerInterface {
    pub(crate) core: Arc<EntryCore>,
    pub(crate) roster: Arc<MembershipDriver>,
}

#[async_trait]
impl PeerHandler for PeerInterface {
    fn counters(&self) -> Arc<PeerCounters> {
        Arc::clone(self.core.clients.peers.counters())
    }

    async fn probe(&self, message: ProbeMessage) -> ProbeReply {
        let number = message.number;
        let reply = self.roster.answer(message).await;
        reply.unwrap_or_else(|| self.unanswered(number))
    }

    async fn reserve(&self, call: ReserveCall) -> ReserveReply {
        match self.core.shard(call.group.as_str()) {
            Some(shard) => shard.reserve(&self.core, call.requester, call.spec).await,
            None => not_owner(),
        }
    }

    async fn withdraw(&self, call: WithdrawCall) {
        if let Some(shard) = self.core.shard(call.group.as_str()) {
            shard.withdraw(&self.core, &call);
        }
    }

    async fn release(&self, calls: Vec<ReleaseCall>) {
        for call in calls {
            apply_release(&self.core, call);
        }
    }

    async fn held(&self, call: HeldCall) -> HeldReply {
        HeldReply { vm: self.core.me.clone(), grants: answer_held(&self.core, &call) }
    }

    async fn revoke(&self, call: RevokeCall) -> RevokeReply {
        lock(&self.core.claims).revoke(&call)
    }

    async fn catch_up(&self, call: CatchUpCall) -> CatchUpReply {
        answer_catch_up(&self.core, &call)
    }

    async fn status(&self) -> StatusReply {
        own_status(&self.core)
    }

    async fn explain(&self, call: ExplainCall) -> ExplainReply {
        let steps = self.core.traces.steps(call.id.as_str());
        ExplainReply { vm: self.core.me.clone(), steps }
    }
}

impl PeerInterface {
    /// Returns a reply to a probe that membership did not answer: this VM's own digest alone.
    fn unanswered(&self, number: u64) -> ProbeReply {
        let members = lock(&self.core.members);
        ProbeReply {
            number,
            from: members.own().digest().clone(),
            reached: false,
            updates: Vec::new(),
        }
    }
}

/// Returns the status that operators see of this VM.
pub(crate) fn own_status(core: &EntryCore) -> StatusReply {
    let now = core.clock.now();
    let streams = FollowedStream::ALL.iter().map(|stream| {
        let next = stream.next(core);
        StreamStatus {
            stream: stream.name().to_owned(),
            next,
            end: core.health.end(*stream as usize).max(next),
            since_answer_ms: core.health.since_answer_ms(now),
        }
    });
    let streams = streams.collect();
    let counts = core.invariant_counts();
    let invariants = InvariantName::ALL.iter().map(|name| InvariantCount {
        invariant: name.as_str().to_owned(),
        broken: counts.count(*name).violated,
    });
    let shards = read(&core.owners).clone();
    let live = lock(&core.members).live().map(|row| row.identity().vm.clone()).collect();
    StatusReply {
        vm: core.me.clone(),
        state: core.own_state(),
        config: core.view().version,
        streams,
        owners: read(&core.control).owners().to_vec(),
        groups: shards.iter().map(|shard| shard.status(core)).collect(),
        live,
        invariants: invariants.collect(),
    }
}
