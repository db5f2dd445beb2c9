//! Interface of a group's owner: [`OwnerEvent`]s reported by its process, [`OwnerAction`]s that the
//! process executes, and the orders to engines that both refer to.

use crate::crash::{QuarantinedSubject, ReportedTrial};
use crate::grant::{GrantRefusal, HeldGrant, ReleaseCall, RequestSpec, SlotGrant};
use crate::id::{
    AdapterVersion, OwnerEpoch, RequestFingerprint, ServerIncarnation, ServerName, SlotName,
    VmIdentity, VmName,
};
use crate::record::{GroupPartCrashes, PartCrash, SuspectEntry};
use crate::report::EngineReport;
use crate::suspect::CrashSubject;
use crate::topology::GroupTopology;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load `adapter` into a slot named `slot`.
    Load {
        /// The slot's name at the engine.
        slot: SlotName,
        /// The adapter and version to load.
        adapter: AdapterVersion,
    },
    /// Unload the slot.
    Unload {
        /// The slot's name at the engine.
        slot: SlotName,
    },
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine executed it, now or earlier.
    Done,
    /// The engine refused it because it knows a later epoch: this owner is deposed.
    Stale,
    /// The engine failed to execute it; its state is unchanged.
    Failed,
    /// There was no answer: the order may take effect at any time.
    Unknown,
}

/// Input of an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// A VM requests a grant. `ticket` identifies the request until it is answered.
    Reserve {
        /// Chosen by the process; never reused.
        ticket: u64,
        /// The requesting VM.
        requester: VmIdentity,
        /// The request to place.
        spec: RequestSpec,
    },
    /// The requester disconnected or withdrew the request. A grant already given must be released
    /// instead.
    Withdraw {
        /// The ticket of the request.
        ticket: u64,
    },
    /// A grant was returned.
    Release(ReleaseCall),
    /// An engine sent a report.
    Report {
        /// The engine that sent it.
        server: ServerName,
        /// The report's content.
        report: EngineReport,
    },
    /// An engine did not answer a poll for its report.
    ReportFailed {
        /// The engine that was polled.
        server: ServerName,
    },
    /// An order has a result.
    OrderDone {
        /// The order's number, from [`OwnerAction::SendOrder`].
        number: u64,
        /// The result.
        result: OrderResult,
    },
    /// An intent of this owner was read back from the log.
    IntentRead {
        /// The intent's number, from [`OwnerAction::AppendIntent`].
        number: u64,
        /// Whether this owner's epoch was in force at its offset.
        valid: bool,
    },
    /// An intent of an earlier epoch was read; if its owner was paused, it may still send the
    /// order.
    EarlierIntent {
        /// The engine that the order is for.
        server: ServerName,
        /// The slot that may still be evicted.
        evict: Option<SlotName>,
    },
    /// The VMs of the region that are listed, or were until recently.
    ListedVms {
        /// The VMs' names.
        vms: Vec<VmName>,
        /// Whether a majority of the listed VMs is alive in this VM's view.
        majority: bool,
    },
    /// A VM incarnation is dead in this VM's view.
    VmDead {
        /// The VM and its incarnation.
        vm: VmIdentity,
    },
    /// A VM reported the grants of earlier epochs that it holds. It will use no others of these
    /// epochs.
    GrantsReported {
        /// The reporting VM.
        vm: VmIdentity,
        /// The grants that it holds.
        grants: Vec<HeldGrant>,
    },
    /// The drain of a backend server was started or ended.
    ServerDraining {
        /// The drained server.
        server: ServerName,
        /// True if the server is being drained.
        draining: bool,
    },
    /// The group's configuration changed.
    Topology(GroupTopology),
    /// A scheduled summary is coming up; its adapter should be loaded ahead.
    Schedule {
        /// The adapter that it uses.
        adapter: AdapterVersion,
        /// Milliseconds until it is due.
        due_in_ms: u64,
        /// Milliseconds before the due time at which its adapter should be loaded.
        lead_ms: u64,
    },
    /// The suspects according to the control stream.
    Suspects(Vec<SuspectEntry>),
    /// What the owner before recorded of crashes under parts of prompts.
    PartCrashes {
        /// Its last record.
        recorded: GroupPartCrashes,
        /// Milliseconds since.
        elapsed_ms: u64,
    },
    /// The log was found to be writable or not.
    LogState {
        /// Whether appends currently succeed.
        writable: bool,
    },
    /// Timer; due every 20 to 100 ms.
    Tick,
}

/// An action for the owner's process to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Answer a request: it may run.
    Grant {
        /// The ticket of the request.
        ticket: u64,
        /// The grant to send to the requester.
        grant: SlotGrant,
    },
    /// Answer a request: it did not run and is no longer queued.
    Refuse {
        /// The ticket of the request.
        ticket: u64,
        /// The reason, and when to retry.
        refusal: GrantRefusal,
    },
    /// Append an intent to the control stream, and report it once it is read back.
    AppendIntent {
        /// Number to report in [`OwnerEvent::IntentRead`].
        number: u64,
        /// The engine that the order is for.
        server: ServerName,
        /// The engine's incarnation to which the order applies.
        incarnation: ServerIncarnation,
        /// The slot to be evicted.
        evict: Option<SlotName>,
        /// The slot to be loaded.
        load: Option<SlotName>,
    },
    /// Send an order to an engine, once, and report its result.
    SendOrder {
        /// Number to report in [`OwnerEvent::OrderDone`].
        number: u64,
        /// The engine to send it to.
        server: ServerName,
        /// The engine's incarnation to which it applies.
        incarnation: ServerIncarnation,
        /// The owner's epoch, sent as fencing number.
        epoch: OwnerEpoch,
        /// The order's content.
        order: EngineOrder,
    },
    /// Query VMs for the grants of earlier epochs that they hold.
    QueryHeldGrants {
        /// The VMs to query.
        vms: Vec<VmName>,
    },
    /// Append a crash to the control stream.
    RecordCrash {
        /// The engine that crashed.
        server: ServerName,
        /// The incarnation that ended.
        incarnation: ServerIncarnation,
        /// The requests that ran on it.
        suspects: Vec<RequestFingerprint>,
    },
    /// Append to the control stream what is known of crashes under parts of prompts.
    RecordPartCrashes {
        /// The crashes.
        crashes: Vec<PartCrash>,
        /// The trials of parts.
        trials: Vec<ReportedTrial>,
    },
    /// Append to the control stream that a suspect completed.
    RecordCleared {
        /// Hash of the suspect's content.
        fingerprint: RequestFingerprint,
    },
    /// Log the note and count it.
    Note(OwnerNote),
}

/// An occurrence for the log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerNote {
    /// A load succeeded.
    Loaded {
        /// The engine that loaded it.
        server: ServerName,
        /// The loaded adapter.
        adapter: AdapterVersion,
        /// Milliseconds from the decision to the engine's answer.
        took_ms: u64,
        /// Whether it was loaded ahead of a schedule.
        ahead: bool,
    },
    /// A load failed or its result is unknown.
    LoadFailed {
        /// The engine that was sent the order.
        server: ServerName,
        /// The adapter to be loaded.
        adapter: AdapterVersion,
        /// Consecutive failures.
        failures: u32,
    },
    /// An adapter was unloaded to free its slot for another.
    Evicted {
        /// The engine that unloaded it.
        server: ServerName,
        /// The slot's name.
        slot: SlotName,
    },
    /// An engine runs as a new incarnation.
    Restarted {
        /// The engine that restarted.
        server: ServerName,
        /// The new incarnation.
        incarnation: ServerIncarnation,
        /// Grants on the engine at that time.
        grants: u32,
    },
    /// Engines crashed under requests with a part of the prompt, which are refused from now on.
    PartQuarantined(QuarantinedSubject),
    /// A request with a quarantined part completed.
    PartReleased(CrashSubject),
    /// An engine is down.
    Down {
        /// The engine that is down.
        server: ServerName,
    },
    /// An engine lost a slot without an order of this owner.
    SlotLost {
        /// The engine that lost it.
        server: ServerName,
        /// The slot's name.
        slot: SlotName,
        /// Grants on the slot at that time.
        grants: u32,
    },
    /// Slots inherited from earlier epochs may be evicted from now on.
    InheritedEvictable,
    /// Another VM owns the group in a later epoch; this owner sends no further orders.
    Deposed,
}
