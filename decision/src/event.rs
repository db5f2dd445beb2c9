//! What goes into a group's owner and comes out of it: [`OwnerEvent`]s that its process reports,
//! [`OwnerAction`]s that the process carries out, and the orders to engines that both name.

use crate::grant::{GrantRefusal, HeldGrant, ReleaseCall, RequestSpec, SlotGrant};
use crate::id::{
    AdapterVersion, OwnerEpoch, RequestFingerprint, ServerIncarnation, ServerName, SlotName,
    VmIdentity, VmName,
};
use crate::record::SuspectEntry;
use crate::report::EngineReport;
use crate::topology::GroupTopology;

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load `adapter` under the name `slot`.
    Load {
        /// The slot's name.
        slot: SlotName,
        /// What to load.
        adapter: AdapterVersion,
    },
    /// Unload the slot.
    Unload {
        /// The slot's name.
        slot: SlotName,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine did it, or had done it before.
    Done,
    /// The engine refused it because it knows a later epoch: this owner is deposed.
    Stale,
    /// The engine failed to do it; its state is as before.
    Failed,
    /// There was no answer: the order may take effect at any time.
    Unknown,
}

/// What happens to an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// A VM asks for a grant. `ticket` names the question until it is answered.
    Reserve {
        /// Chosen by the process, not used before.
        ticket: u64,
        /// Who asks.
        asker: VmIdentity,
        /// What is to run.
        spec: RequestSpec,
    },
    /// The asker went away or withdrew the question. A grant that is out must be released instead.
    Withdraw {
        /// The question.
        ticket: u64,
    },
    /// A grant is given back.
    Release(ReleaseCall),
    /// An engine's report.
    Report {
        /// The engine.
        server: ServerName,
        /// What it said.
        report: EngineReport,
    },
    /// An engine did not answer when it was asked for a report.
    ReportFailed {
        /// The engine.
        server: ServerName,
    },
    /// An order ended.
    OrderDone {
        /// Its number.
        number: u64,
        /// How.
        result: OrderResult,
    },
    /// An intent of this owner was read back from the log.
    IntentRead {
        /// Its number.
        number: u64,
        /// Whether this owner's epoch was in force at its place.
        valid: bool,
    },
    /// An intent of an earlier epoch, whose owner may still send the order if it was paused.
    OldIntent {
        /// The engine.
        server: ServerName,
        /// The slot that may still be evicted.
        evict: Option<SlotName>,
    },
    /// The VMs of the region that are listed, or were until a short while ago.
    VmLive {
        /// Their names.
        vms: Vec<VmName>,
        /// Whether a majority of those listed is alive in this VM's view.
        majority: bool,
    },
    /// A VM is gone in this VM's view.
    VmGone {
        /// The VM and its life.
        vm: VmIdentity,
    },
    /// A VM tells which grants of earlier epochs it holds. It uses no further ones of them.
    Held {
        /// Who tells.
        vm: VmIdentity,
        /// The grants.
        grants: Vec<HeldGrant>,
    },
    /// A backend server drains, or no longer does.
    ServerDraining {
        /// The engine.
        server: ServerName,
        /// Whether it drains.
        draining: bool,
    },
    /// The configuration changed.
    Topology(GroupTopology),
    /// A summary is due, whose adapter should be loaded before.
    Schedule {
        /// What it uses.
        adapter: AdapterVersion,
        /// Milliseconds until it is due.
        due_in_ms: u64,
        /// Milliseconds before that at which its adapter should be loaded.
        lead_ms: u64,
    },
    /// The suspects by the control stream.
    Suspects(Vec<SuspectEntry>),
    /// Whether the log can be written.
    LogState {
        /// Whether it can.
        writable: bool,
    },
    /// Time passes. Due every 20 to 100 ms.
    Tick,
}

/// What the process does for an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Answers a question: the request may run.
    Grant {
        /// The question.
        ticket: u64,
        /// The grant.
        grant: SlotGrant,
    },
    /// Answers a question: the request did not run and is no longer queued.
    Refuse {
        /// The question.
        ticket: u64,
        /// Why, and when to come back.
        refusal: GrantRefusal,
    },
    /// Appends an intent to the control stream and reports it once it is read back.
    AppendIntent {
        /// The intent's number.
        number: u64,
        /// The engine.
        server: ServerName,
        /// The engine's life.
        incarnation: ServerIncarnation,
        /// The slot that is to be evicted.
        evict: Option<SlotName>,
        /// The slot that is to be loaded.
        load: Option<SlotName>,
    },
    /// Sends an order to an engine, once, and reports how it ended.
    SendOrder {
        /// The order's number.
        number: u64,
        /// The engine.
        server: ServerName,
        /// The engine's life to which it applies.
        incarnation: ServerIncarnation,
        /// The fencing number.
        epoch: OwnerEpoch,
        /// What is ordered.
        order: EngineOrder,
    },
    /// Asks VMs for the grants of earlier epochs that they hold.
    AskHeld {
        /// Whom.
        vms: Vec<VmName>,
    },
    /// Appends a crash to the control stream.
    RecordCrash {
        /// The engine.
        server: ServerName,
        /// The life that ended.
        incarnation: ServerIncarnation,
        /// What is suspected.
        suspects: Vec<RequestFingerprint>,
    },
    /// Appends to the control stream that a suspect ran whole.
    RecordCleared {
        /// The suspect.
        fingerprint: RequestFingerprint,
    },
    /// Something worth a line in the log and a count.
    Note(OwnerNote),
}

/// What an owner noticed.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerNote {
    /// A load ended well.
    Loaded {
        /// The engine.
        server: ServerName,
        /// What was loaded.
        adapter: AdapterVersion,
        /// Milliseconds from the decision to the engine's answer.
        took_ms: u64,
        /// Whether it was loaded ahead of a schedule.
        ahead: bool,
    },
    /// A load failed or its result is not known.
    LoadFailed {
        /// The engine.
        server: ServerName,
        /// What was to be loaded.
        adapter: AdapterVersion,
        /// Failures in a row.
        failures: u32,
    },
    /// An adapter was unloaded for another.
    Evicted {
        /// The engine.
        server: ServerName,
        /// The slot.
        slot: SlotName,
    },
    /// An engine runs in a new life.
    Restarted {
        /// The engine.
        server: ServerName,
        /// The new life.
        incarnation: ServerIncarnation,
        /// Grants that were out.
        grants: u32,
    },
    /// An engine is down.
    Down {
        /// The engine.
        server: ServerName,
    },
    /// An engine lost a slot without an order of this owner.
    SlotLost {
        /// The engine.
        server: ServerName,
        /// The slot.
        slot: SlotName,
        /// Grants that were out on it.
        grants: u32,
    },
    /// Slots of earlier epochs may be evicted from now on.
    InheritedFree,
    /// Another VM owns the group by a later epoch; no further order goes out.
    Deposed,
}
