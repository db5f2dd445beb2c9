//! Messages and outputs of a soak VM, and its state of open calls.

use coltsfoothook_decision::attempt::AttemptState;
use coltsfoothook_decision::grant::{GrantId, GrantRefusal, ReleaseCall, ReserveCall, SlotGrant};
use coltsfoothook_decision::id::{
    AdapterVersion, GroupName, OwnerEpoch, ServerIncarnation, ServerName, TimePoint, VmName,
};
use coltsfoothook_decision::member::{ProbeMessage, ProbeReply};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, HeldCall, HeldReply, RevokeCall, RevokeReply,
};
use coltsfoothook_decision::outcome::RequestOutcome;
use coltsfoothook_decision::owner::{EngineOrder, OrderResult};
use coltsfoothook_decision::record::JobEntry;

use crate::fake::{LogRecord, LogStream};

/// A message between VMs.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A probe; the number identifies the call.
    Probe(u64, ProbeMessage),
    /// The reply to a probe.
    ProbeReply(ProbeReply),
    /// A request for a grant; the number identifies the request.
    Reserve(u64, ReserveCall),
    /// The reply to [`Self::Reserve`], with its number.
    Reserved(u64, Result<SlotGrant, GrantRefusal>),
    /// The holder releases a grant.
    Release(ReleaseCall),
    /// Acknowledges [`Self::Release`].
    Released(GrantId),
    /// Withdraws a request for a grant; a grant that it already led to becomes void.
    Withdraw(u64, GroupName),
    /// Acknowledges [`Self::Withdraw`].
    Withdrawn(u64),
    /// A new owner's query for the grants that a VM holds.
    Held(HeldCall),
    /// The reply to [`Self::Held`].
    HeldReply(GroupName, OwnerEpoch, HeldReply),
    /// A request to revoke an issued key; the number identifies the request.
    Revoke(u64, RevokeCall),
    /// The reply to [`Self::Revoke`], with its number.
    Revoked(u64, RevokeReply),
    /// A query for state newer than the sender's.
    CatchUp(CatchUpCall),
    /// The reply to [`Self::CatchUp`].
    CaughtUp(Box<CatchUpReply>),
}

/// An effect that the world carries out for a VM.
#[derive(Clone, Debug, PartialEq)]
pub enum VmOutput {
    /// Send a message to another VM.
    Peer(VmName, PeerMessage),
    /// Append to the log.
    Append(LogRecord),
    /// Read a stream from an offset.
    Read(LogStream, u64),
    /// Run a request on an engine; the number identifies the call.
    Run(u64, SlotGrant, RunSubject),
    /// Call the plain service, which must not run twice for a key; the number identifies the call.
    Serve(u64, String),
    /// Send an owner's order to an engine.
    Order {
        /// The owner's group.
        group: GroupName,
        /// The owner's epoch.
        epoch: OwnerEpoch,
        /// The order's number within the epoch.
        number: u64,
        /// The engine.
        server: ServerName,
        /// The engine incarnation that the order is for; `None` for any.
        incarnation: Option<ServerIncarnation>,
        /// What the engine is to do.
        order: EngineOrder,
    },
    /// Request an engine's report for the owner of the group.
    Report(GroupName, ServerName),
    /// Answer a caller; the numbers identify the request and the attempt.
    Answer(u64, u64, RequestOutcome),
    /// Report to a caller that its job is accepted.
    JobAccepted(String),
    /// Report the end of a job that was read from the log: the job, and its outcome and result as
    /// text.
    JobEnded(String, String),
    /// Report that another configuration came into force at the VM.
    InForce,
}

/// The end of an order.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderEnd {
    /// The engine that the order was sent to.
    pub server: ServerName,
    /// The group of the owner that sent it.
    pub group: GroupName,
    /// The epoch of the owner that sent it.
    pub epoch: OwnerEpoch,
    /// The order's number within the epoch.
    pub number: u64,
    /// Its result.
    pub result: OrderResult,
}

/// The request or job that a call runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSubject {
    /// Name under which the oracle counts its runs.
    pub name: String,
    /// The adapter that it must run on.
    pub adapter: AdapterVersion,
    /// Whether it must not run twice.
    pub once: bool,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakRequest {
    /// Number assigned by the world; a resend has the same.
    pub number: u64,
    /// Number of the attempt, from 1.
    pub attempt_number: u64,
    /// Name under which the oracle counts its runs; a resend has the same.
    pub name: String,
    /// What the request is for.
    pub kind: SoakKind,
}

/// The kind of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakKind {
    /// A completion.
    Model {
        /// The adapter.
        adapter: AdapterVersion,
        /// Whether it may run more than once.
        repeatable: bool,
    },
    /// A call of the plain service, which must not run twice.
    Service {
        /// The idempotency key.
        key: String,
        /// Whether the caller asserts that no earlier attempt was sent.
        first_try: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum CallPhase {
    /// Waits for a grant, requested at `since`.
    Reserving { since: TimePoint },
    /// Runs under the grant.
    Running { grant: SlotGrant },
    /// Waits for its claim to be read back from the log.
    Claiming,
    /// Waits for the key's issuer to reply to a revocation sent at `since`.
    Revoking { since: TimePoint },
    /// Waits for the plain service.
    Serving,
}

/// A request or job in progress at a VM.
#[derive(Clone, Debug)]
pub(crate) struct OpenCall {
    pub(crate) id: u64,
    /// The caller's request and the number of the attempt; `None` for a job.
    pub(crate) request: Option<(u64, u64)>,
    pub(crate) job: Option<JobEntry>,
    pub(crate) subject: RunSubject,
    /// The idempotency key; empty for model requests and jobs.
    pub(crate) key: String,
    pub(crate) attempt: AttemptState,
    pub(crate) phase: CallPhase,
    /// Engines at which an attempt failed.
    pub(crate) avoid: Vec<ServerName>,
    /// The group that a grant was requested from last; empty before.
    pub(crate) group: GroupName,
}

/// A run that timed out at the VM, while the engine may still run it.
#[derive(Clone, Debug)]
pub(crate) struct AbandonedRun {
    pub(crate) id: u64,
    pub(crate) grant: SlotGrant,
}

/// A withdrawn request for a grant, kept until the owner acknowledges the withdrawal.
#[derive(Clone, Debug)]
pub(crate) struct OpenWithdrawal {
    pub(crate) id: u64,
    pub(crate) group: GroupName,
    /// When it was sent last; `None` before the first time.
    pub(crate) sent: Option<TimePoint>,
}

/// A grant that this VM issued as owner.
#[derive(Clone, Debug)]
pub(crate) struct IssuedGrant {
    pub(crate) requester: VmName,
    /// The requester's number of its request.
    pub(crate) request: u64,
    pub(crate) grant: GrantId,
}

/// A release of a grant, kept until the owner acknowledges it.
#[derive(Clone, Debug)]
pub(crate) struct OpenRelease {
    pub(crate) call: ReleaseCall,
    pub(crate) sent: Option<TimePoint>,
}
