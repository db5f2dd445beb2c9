//! Messages between VMs about membership, and the events and actions of the state machine in
//! [`crate::member`].
//!
//! See docs/AGREEMENT.md, "Membership".

use std::net::SocketAddr;

use crate::id::{ConfigVersion, CustomerName, DomainName, RegionName, VmIdentity, VmName};
use crate::value;

value! {
    /// State of a VM in the view of another one.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub enum MemberState {
        /// It answers probes.
        Alive,
        /// It reported that it is leaving: it finishes its requests and takes no new ones.
        Leaving,
        /// A direct probe and the indirect ones failed; it may still refute the suspicion.
        Suspect,
        /// It did not refute the suspicion in time, or nothing was ever received from it.
        Dead,
    }

    /// Addresses and location of a VM, constant during an incarnation.
    pub struct MemberPlace {
        /// Address that callers connect to.
        pub caller: SocketAddr,
        /// Address that other VMs connect to.
        pub peer: SocketAddr,
        /// Failure domain of the VM.
        pub domain: DomainName,
        /// Region of the VM.
        pub region: RegionName,
    }

    /// Facts that a VM reports about itself and the others forward.
    #[derive(Default)]
    pub struct MemberFacts {
        /// Configuration version in force at the VM.
        pub config: ConfigVersion,
        /// Offset in the control stream up to which (exclusive) the VM has folded records.
        pub control: u64,
        /// Whether the VM can read the log.
        pub reads_log: bool,
        /// Weight of the VM in the address list for callers; 0 keeps callers away.
        pub weight: u32,
        /// The VM's own usage of customer limits, for [`crate::limit`]; sorted by customer.
        pub usage: Vec<CustomerUsage>,
    }

    /// Usage of a customer's limit at one VM since its process started.
    pub struct CustomerUsage {
        /// The customer.
        pub tenant: CustomerName,
        /// Requests per 1,000 seconds, refused ones included; for releases that do not read the
        /// totals.
        #[serde(default)]
        pub per_ks: u64,
        /// Total requests, refused ones included.
        #[serde(default, rename = "asked")]
        pub demand: u64,
        /// Total requests admitted.
        #[serde(default)]
        pub admitted: u64,
    }

    /// State and facts of one VM, as VMs exchange them.
    pub struct MemberDigest {
        /// The VM and its incarnation.
        pub vm: VmIdentity,
        /// Version of the digest. The VM raises it whenever its own state or facts change, and
        /// above any number that it receives about itself, so that its own digest takes precedence.
        pub sequence: u64,
        /// State of the VM.
        pub state: MemberState,
        /// Addresses of the VM; `None` in digests of a VM that has been known for long.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub place: Option<MemberPlace>,
        /// Facts that the VM reports about itself.
        pub facts: MemberFacts,
    }

    /// Probe of a VM, with piggybacked digests.
    pub struct ProbeMessage {
        /// Number that the sender assigned to the probe.
        pub number: u64,
        /// Digest of the sender.
        pub from: MemberDigest,
        /// VM to probe on the sender's behalf; `None` for a probe of the receiver itself.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub target: Option<VmName>,
        /// Digests of other VMs; at most [`crate::member::MemberSettings::digests`].
        #[serde(rename = "news")]
        pub updates: Vec<MemberDigest>,
    }

    /// Reply to a probe.
    pub struct ProbeReply {
        /// Number of the probe, from [`ProbeMessage::number`].
        pub number: u64,
        /// Digest of the replying VM.
        pub from: MemberDigest,
        /// Whether the VM probed on the sender's behalf answered; `true` for a direct probe.
        pub reached: bool,
        /// Digests of other VMs; more for a VM that has just started
        /// ([`crate::member::MemberSettings::join_digests`]).
        #[serde(rename = "news")]
        pub updates: Vec<MemberDigest>,
    }

    /// Entry of the platform's list of VMs, which may lag behind reality.
    pub struct ListedVm {
        /// Name of the VM.
        pub name: VmName,
        /// Addresses and location of the VM.
        pub place: MemberPlace,
        /// State of the VM according to the list.
        pub state: ListedState,
    }

    /// State of a VM in the platform's list.
    #[derive(Copy, Eq)]
    pub enum ListedState {
        /// The VM runs.
        Live,
        /// The platform is about to stop the VM.
        Leaving,
    }
}

impl MemberDigest {
    /// Returns the order of digests of one VM; the higher one is the later.
    pub(crate) fn rank(&self) -> (u64, u64, MemberState) {
        (self.sequence, self.vm.incarnation.0, self.state)
    }
}

/// Input of the membership state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// Time passed; due several times per period, see [`crate::member::MemberTable::next_due`].
    Tick,
    /// The platform's list was read.
    Listed(Vec<ListedVm>),
    /// This VM's own facts changed.
    Facts(MemberFacts),
    /// A probe was received. It is answered by a [`MemberAction::Reply`] with the same `call`.
    Probe {
        /// Number that the transport assigned to the call.
        call: u64,
        /// The probe.
        message: ProbeMessage,
    },
    /// A probe was answered.
    Reply(ProbeReply),
    /// A probe could not be sent or its reply could not be read.
    ProbeTimeout {
        /// Number of the probe.
        number: u64,
    },
    /// This VM starts to shut down.
    Leave,
}

/// Output of the membership state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a probe and pass its reply back as [`MemberEvent::Reply`].
    SendProbe {
        /// The VM to probe.
        to: VmName,
        /// Peer address of that VM.
        address: SocketAddr,
        /// The probe.
        message: ProbeMessage,
    },
    /// Request another VM to probe on this VM's behalf, and pass its reply back as
    /// [`MemberEvent::Reply`].
    SendIndirect {
        /// The VM that sends the probe on this VM's behalf.
        via: VmName,
        /// Peer address of that VM.
        address: SocketAddr,
        /// The probe, with `target` set.
        message: ProbeMessage,
    },
    /// Reply to a received probe.
    Reply {
        /// Number that the transport assigned to the call.
        call: u64,
        /// The reply.
        reply: ProbeReply,
    },
    /// The state of a VM changed in this VM's view.
    Changed(MemberChange),
}

/// Change of a VM's state in this VM's view.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The VM and its incarnation.
    pub vm: VmIdentity,
    /// Previous state; `None` for a VM that was not known.
    pub was: Option<MemberState>,
    /// New state.
    pub state: MemberState,
}
