//! Messages between entry VMs other than probes and grants.
//!
//! Probes are in [`crate::member`], grants in [`crate::grant`]. Every message is a plain value, so
//! that tarpc, the randomised soak test and the unit tests use the same types. Unknown fields are
//! ignored and new fields have defaults, because two releases communicate during a rolling
//! replacement of the VMs.

use crate::grant::HeldGrant;
use crate::id::{
    AdapterVersion, ConfigVersion, CustomerName, GroupName, IdempotencyKey, OwnerEpoch,
    RequestFingerprint, RequestId, ServerName, VmIdentity, VmName,
};
use crate::member::MemberState;
use crate::outcome::RequestClass;
use crate::record::{ConfigRecord, ControlSnapshot, GroupOwnership};
use crate::value;

value! {
    /// Request of a new owner for the grants of its group that a VM holds, before it evicts
    /// inherited slots.
    pub struct HeldCall {
        /// The group.
        pub group: GroupName,
        /// Epoch of the new owner; the receiver accepts no grant of an older epoch from now on.
        pub epoch: OwnerEpoch,
        /// The new owner.
        #[serde(rename = "asker")]
        pub requester: VmIdentity,
    }

    /// Grants that a VM holds in a group.
    pub struct HeldReply {
        /// VM that replies.
        pub vm: VmIdentity,
        /// Grants of epochs before [`HeldCall::epoch`].
        pub grants: Vec<HeldGrant>,
    }

    /// Cancels a pending request for a grant, because its caller disconnected.
    pub struct WithdrawCall {
        /// VM that requested the grant.
        #[serde(rename = "asker")]
        pub requester: VmIdentity,
        /// The group.
        pub group: GroupName,
        /// The request.
        pub id: RequestId,
    }

    /// Requests the one VM that may run an idempotency key to give it up if it has not started.
    pub struct RevokeCall {
        /// Customer that the key belongs to.
        pub tenant: CustomerName,
        /// The key.
        pub key: IdempotencyKey,
        /// Fingerprint of the request, to detect the key being used with another body.
        pub fingerprint: RequestFingerprint,
    }

    /// Outcome of a revocation at the one VM that may run the key.
    #[derive(Copy, Eq)]
    pub enum RevokeReply {
        /// The request did not run there and never will; the only reply that permits the answer
        /// "not run".
        Revoked,
        /// The request is running.
        Running,
        /// The request ran; its response went to the caller that sent it there.
        Done,
        /// The VM does not know.
        Unknown(RevokeUncertainty),
    }

    /// Reason why a VM does not know the outcome of a key.
    #[derive(Copy, Eq)]
    pub enum RevokeUncertainty {
        /// The key belongs to an earlier incarnation of the VM, whose state is lost.
        #[serde(rename = "earlier_life")]
        EarlierIncarnation,
        /// The request was sent to a backend server and no complete response was received.
        NoAnswer,
        /// The key was used with another body.
        OtherBody,
        /// The VM neither issued nor claimed the key.
        NotMine,
    }

    /// Request of a VM that cannot read the log for the records that it missed.
    pub struct CatchUpCall {
        /// Configuration version that the requester has.
        pub config: ConfigVersion,
        /// Offset in the control stream up to which (exclusive) the requester has folded records.
        pub control_through: u64,
    }

    /// State that the requester missed. `None` for a part where the replying VM has nothing newer.
    pub struct CatchUpReply {
        /// Snapshot record of the configuration.
        pub config: Option<ConfigRecord>,
        /// State of the control stream.
        pub control: Option<ControlSnapshot>,
    }

    /// Status of a VM, for operators.
    pub struct StatusReply {
        /// The VM.
        pub vm: VmIdentity,
        /// State of the VM itself: alive, or leaving during a shutdown.
        pub state: MemberState,
        /// Configuration version in force at the VM.
        pub config: ConfigVersion,
        /// Read position in each stream of the log.
        pub streams: Vec<StreamStatus>,
        /// Owners in the VM's view, sorted by group.
        pub owners: Vec<GroupOwnership>,
        /// Groups that the VM owns, sorted.
        pub groups: Vec<GroupStatus>,
        /// VMs that are alive in the VM's view, sorted.
        pub live: Vec<VmName>,
        /// Violations per invariant; zero unless there is a defect.
        pub invariants: Vec<InvariantCount>,
    }

    /// Read position of a VM in a stream.
    pub struct StreamStatus {
        /// Name of the stream.
        pub stream: String,
        /// Offset of the next record to fold.
        pub next: u64,
        /// Offset after the last record of the stream, as last reported by the log.
        pub end: u64,
        /// Milliseconds since the log last answered a read of the stream.
        #[serde(rename = "silent_ms")]
        pub since_answer_ms: u64,
    }

    /// Status of a group at its owner.
    pub struct GroupStatus {
        /// The group.
        pub group: GroupName,
        /// Epoch of the owner.
        pub epoch: OwnerEpoch,
        /// Waiting requests per class.
        pub queues: Vec<QueueStatus>,
        /// Engines of the group, sorted.
        pub servers: Vec<ServerStatus>,
    }

    /// Queue of one class in a group.
    #[derive(Copy, Eq)]
    pub struct QueueStatus {
        /// The class.
        pub class: RequestClass,
        /// Number of waiting requests.
        pub waiting: u32,
    }

    /// Status of an engine at its group's owner.
    pub struct ServerStatus {
        /// The engine.
        pub server: ServerName,
        /// Whether the engine answers.
        pub up: bool,
        /// Whether the engine is draining.
        pub draining: bool,
        /// Number of requests running on the engine.
        pub running: u32,
        /// Slots with a loaded adapter.
        pub slots: Vec<SlotStatus>,
    }

    /// Status of a loaded slot.
    pub struct SlotStatus {
        /// Adapter version in the slot.
        pub adapter: AdapterVersion,
        /// Number of grants that pin the slot.
        pub in_use: u32,
    }

    /// Number of violations of an invariant.
    pub struct InvariantCount {
        /// Name of the invariant, as in the metrics.
        pub invariant: String,
        /// Number of violations since the process started.
        pub broken: u64,
    }

    /// Request for the steps of a request that the receiver handled.
    pub struct ExplainCall {
        /// The request.
        pub id: RequestId,
    }

    /// Steps of a request, oldest first; empty if the VM no longer has them.
    pub struct ExplainReply {
        /// VM that replies.
        pub vm: VmIdentity,
        /// The steps, oldest first.
        pub steps: Vec<ExplainStep>,
    }

    /// One step of a request.
    pub struct ExplainStep {
        /// Milliseconds since the request arrived.
        pub at_ms: u64,
        /// Kind of the step.
        pub kind: StepKind,
        /// Details for operators as free text: names, counts and reasons.
        pub detail: String,
    }

    /// Kind of a step in the processing of a request.
    #[derive(Copy, Eq)]
    pub enum StepKind {
        /// The request arrived and was validated.
        Arrived,
        /// Its idempotency key was claimed in the log.
        Claimed,
        /// A grant was requested.
        Reserved,
        /// The request waited in the owner's queue.
        Queued,
        /// A grant was received.
        Granted,
        /// The request was sent to a backend server.
        Sent,
        /// The first token or byte of the response was received.
        FirstByte,
        /// An attempt failed and another may follow.
        Retried,
        /// The request was refused.
        Refused,
        /// The request ended.
        Ended,
    }
}

impl StepKind {
    /// Returns the name of the step in `explain` and in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Arrived => "arrived",
            Self::Claimed => "claimed",
            Self::Reserved => "reserved",
            Self::Queued => "queued",
            Self::Granted => "granted",
            Self::Sent => "sent",
            Self::FirstByte => "first_byte",
            Self::Retried => "retried",
            Self::Refused => "refused",
            Self::Ended => "ended",
        }
    }
}
