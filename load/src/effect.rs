//! What a VM of the soak sends and keeps open: messages, outputs and calls.

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
    /// A probe; the number names the call.
    Probe(u64, ProbeMessage),
    /// The answer to a probe.
    ProbeReply(ProbeReply),
    /// A question for a grant; the number names the question.
    Reserve(u64, ReserveCall),
    /// The answer to it.
    Reserved(u64, Result<SlotGrant, GrantRefusal>),
    /// A grant is given back.
    Release(ReleaseCall),
    /// It was taken back.
    Released(GrantId),
    /// A question for a grant is withdrawn; if it was granted, the grant is void.
    Withdraw(u64, GroupName),
    /// That was heard.
    Withdrawn(u64),
    /// A new owner asks what is held.
    Held(HeldCall),
    /// The answer to it.
    HeldReply(GroupName, OwnerEpoch, HeldReply),
    /// A key is to be revoked; the number names the question.
    Revoke(u64, RevokeCall),
    /// The answer to it.
    Revoked(u64, RevokeReply),
    /// What was missed?
    CatchUp(CatchUpCall),
    /// The answer to it.
    CaughtUp(Box<CatchUpReply>),
}

/// What a VM wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum VmOutput {
    /// Send a message to another VM.
    Peer(VmName, PeerMessage),
    /// Append to the log.
    Append(LogRecord),
    /// Read a stream from an offset.
    Read(LogStream, u64),
    /// Run a request on an engine; the number names the run.
    Run(u64, SlotGrant, RunSubject),
    /// Call the plain service, which must not be called twice for a key.
    Serve(u64, String),
    /// Send an order to an engine.
    Order {
        /// The owner's group.
        group: GroupName,
        /// The owner's epoch.
        epoch: OwnerEpoch,
        /// The order's number.
        number: u64,
        /// The engine and its life.
        server: ServerName,
        /// The engine's life; none for an order to any.
        incarnation: Option<ServerIncarnation>,
        /// The order.
        order: EngineOrder,
    },
    /// Ask an engine for its report.
    Report(GroupName, ServerName),
    /// Answer a caller; the numbers name the request and its try.
    Answer(u64, u64, RequestOutcome),
    /// Tell a caller that its job is accepted.
    JobAccepted(String),
    /// A job's end was read: the job, and the outcome and result.
    JobEnded(String, String),
    /// An accepted configuration came into force.
    InForce,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderEnd {
    /// The engine.
    pub server: ServerName,
    /// The group of the owner that sent it.
    pub group: GroupName,
    /// The owner's epoch.
    pub epoch: OwnerEpoch,
    /// The order's number.
    pub number: u64,
    /// How it ended.
    pub result: OrderResult,
}

/// What runs on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSubject {
    /// The name by which the oracle knows it.
    pub name: String,
    /// The adapter that it must run on.
    pub adapter: AdapterVersion,
    /// Whether it must not run twice.
    pub once: bool,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakRequest {
    /// The world's number for it; a resend has the same.
    pub number: u64,
    /// Which try it is, from 1.
    pub number_of_try: u64,
    /// The name by which the oracle knows it; a resend has the same.
    pub name: String,
    /// What it asks for.
    pub kind: SoakKind,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakKind {
    /// A completion.
    Model {
        /// The adapter.
        adapter: AdapterVersion,
        /// Whether it may run twice.
        repeatable: bool,
    },
    /// A call that must not run twice, under this key.
    Service {
        /// The idempotency key.
        key: String,
        /// Whether the caller sent it nowhere before.
        first_try: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum CallPhase {
    /// Waits for a grant since then.
    Reserving { asked: TimePoint },
    /// Runs under the grant.
    Running { grant: SlotGrant },
    /// Waits for its claim.
    Claiming,
    /// Waits for another VM's word on its key.
    Revoking { asked: TimePoint },
    /// The service runs it.
    Serving,
}

/// A request or job run in progress.
#[derive(Clone, Debug)]
pub(crate) struct OpenCall {
    pub(crate) id: u64,
    pub(crate) request: Option<(u64, u64)>,
    pub(crate) job: Option<JobEntry>,
    pub(crate) subject: RunSubject,
    pub(crate) key: String,
    pub(crate) attempt: AttemptState,
    pub(crate) phase: CallPhase,
    pub(crate) avoid: Vec<ServerName>,
    pub(crate) group: GroupName,
}

/// A run whose caller was answered already, while the engine may still run it.
#[derive(Clone, Debug)]
pub(crate) struct AbandonedRun {
    pub(crate) id: u64,
    pub(crate) grant: SlotGrant,
}

/// A question that its requester gave up, until the owner has heard of it.
#[derive(Clone, Debug)]
pub(crate) struct OpenWithdrawal {
    pub(crate) id: u64,
    pub(crate) group: GroupName,
    pub(crate) sent: Option<TimePoint>,
}

/// A grant that this VM, as owner, gave on another VM's question.
#[derive(Clone, Debug)]
pub(crate) struct GivenGrant {
    pub(crate) requester: VmName,
    pub(crate) question: u64,
    pub(crate) grant: GrantId,
}

#[derive(Clone, Debug)]
pub(crate) struct OpenRelease {
    pub(crate) call: ReleaseCall,
    pub(crate) sent: Option<TimePoint>,
}
