//! Messages between an entry VM, which holds a request, and the VM that owns the request's group.
//!
//! The entry VM requests a *grant* from the owner, runs the request on the engine that the grant
//! names, and releases the grant. The owner pins the adapter's slot from the grant to its release,
//! and only the owner orders loads and evictions, so an adapter in use is never evicted. Response
//! bodies do not pass through the owner. See docs/DESIGN.md, "Groups and grants".

use crate::id::{
    AdapterVersion, CustomerName, GroupName, ModelName, OwnerEpoch, PartFingerprint,
    RequestFingerprint, RequestId, ServerIncarnation, ServerName, SlotName, VmIdentity,
};
use crate::outcome::{RefusalReason, RequestClass};
use crate::value;

value! {
    /// What the owner needs to place a request.
    pub struct RequestSpec {
        /// The request's id, for logs and for `explain`.
        pub id: RequestId,
        /// The customer on whose account it runs.
        pub tenant: CustomerName,
        /// The adapter and version to run it on.
        pub adapter: AdapterVersion,
        /// The base model of the adapter.
        pub model: ModelName,
        /// Sets the queue, the priority and the default deadline.
        pub class: RequestClass,
        /// Milliseconds until the deadline when the message was sent. `None`: the class default
        /// applies.
        pub deadline_left_ms: Option<u64>,
        /// Whether it may run more than once.
        pub repeatable: bool,
        /// Hash of the request's content, for the quarantine of poison requests.
        pub fingerprint: RequestFingerprint,
        /// Parts of the prompt that other requests may have, for the same.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub parts: Vec<PartFingerprint>,
        /// Hash of the beginning of the prompt, for prefix-cache affinity.
        pub prefix: u64,
        /// Estimated tokens of the prompt.
        pub prompt_tokens: u32,
        /// Upper bound of generated tokens.
        pub max_tokens: u32,
        /// Servers on which it failed before; the owner avoids them where it can.
        pub avoid: Vec<ServerName>,
    }

    /// Identifies a grant. The epoch distinguishes grants of a deposed owner.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct GrantId {
        /// The group whose owner gave it.
        pub group: GroupName,
        /// The owner's epoch.
        pub epoch: OwnerEpoch,
        /// Counter, unique within the epoch.
        pub number: u64,
    }

    /// Permission to run one request once, on one slot of one engine.
    pub struct SlotGrant {
        /// Identifies the grant on release.
        pub id: GrantId,
        /// The engine to send the request to.
        pub server: ServerName,
        /// The engine's incarnation in which the slot was loaded. An answer from another
        /// incarnation is rejected.
        pub incarnation: ServerIncarnation,
        /// The slot's name at the engine, sent as `model`.
        pub slot: SlotName,
        /// The engine's priority for the request; lower runs sooner.
        pub priority: i32,
        /// Milliseconds within which the request must be sent, from the time the grant was
        /// requested, by the requester's clock. After that the grant is void and must be released
        /// as not run.
        pub use_within_ms: u64,
        /// Milliseconds that the request waited for its adapter to load.
        pub stall_ms: u64,
        /// Milliseconds that it waited for room on an engine.
        pub queue_ms: u64,
        /// Why this engine was chosen, for `explain`.
        #[serde(rename = "why")]
        pub reason: PlacementReason,
    }

    /// Why an engine was chosen.
    #[derive(Copy, Eq)]
    pub enum PlacementReason {
        /// The adapter was loaded there and the batch had room.
        Loaded,
        /// The adapter was loaded there for this request.
        LoadedOnDemand,
        /// The adapter was loaded there ahead of a schedule.
        LoadedAhead,
        /// A further copy was loaded there because the others were full.
        ExtraCopy,
        /// The request is a suspect and runs apart from other suspects.
        Isolated,
        /// No owner could be determined; the slot was known to be loaded.
        WithoutOwner,
    }

    /// Requests a grant from an owner.
    pub struct ReserveCall {
        /// The requesting VM.
        #[serde(rename = "asker")]
        pub requester: VmIdentity,
        /// The group that the requester assigns the adapter to.
        pub group: GroupName,
        /// The request to place.
        pub spec: RequestSpec,
    }

    /// The owner's answer to a [`ReserveCall`].
    pub enum ReserveReply {
        /// The request may run now.
        Granted(SlotGrant),
        /// The request did not run and is no longer queued.
        Refused(GrantRefusal),
    }

    /// Why no grant was given, and when to retry.
    #[derive(Copy, Eq)]
    pub struct GrantRefusal {
        /// The reason for the refusal.
        pub reason: RefusalReason,
        /// Milliseconds after which a retry may succeed.
        pub retry_after_ms: u64,
    }

    /// How the use of a grant ended.
    #[derive(Copy, Eq)]
    pub enum GrantEnd {
        /// The whole answer was read.
        Done,
        /// The caller disconnected and the engine was sent a cancellation.
        Cancelled,
        /// Nothing was sent, or the engine refused before running it.
        NotRun,
        /// No connection to the engine could be opened; nothing was sent.
        Unreachable,
        /// The engine does not know the slot: the owner's data was stale or the engine restarted.
        SlotMissing,
        /// The connection broke after the request was sent; the engine may have crashed.
        Broken,
        /// The engine answered with an error that concerns this request only.
        Failed,
    }

    /// Returns a grant to the owner.
    pub struct ReleaseCall {
        /// The VM that held it.
        pub holder: VmIdentity,
        /// The grant to release.
        pub grant: GrantId,
        /// How its use ended.
        pub end: GrantEnd,
        /// Tokens generated, for the owner's load accounting.
        pub tokens: u32,
    }

    /// A grant that a VM holds, reported to a new owner so that it knows which slots are in use.
    pub struct HeldGrant {
        /// The grant's id, of any epoch.
        pub grant: GrantId,
        /// The engine it runs on.
        pub server: ServerName,
        /// The slot in use.
        pub slot: SlotName,
        /// Hash of the running request's content, for the quarantine.
        pub fingerprint: RequestFingerprint,
    }
}
