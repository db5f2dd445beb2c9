//! Which entry VMs are alive: random probes with piggybacked digests.
//!
//! See docs/AGREEMENT.md, "Membership".

use std::net::SocketAddr;

use crate::id::{ConfigVersion, DomainName, RegionName, TenantName, VmIdentity, VmName};
use crate::value;

value! {
    /// What a VM believes of another one.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub enum MemberState {
        /// It answers.
        Alive,
        /// It says that it leaves: it finishes what it has and takes nothing new.
        Leaving,
        /// A probe of it failed, directly and through others; it may still refute this.
        Suspect,
        /// It did not refute the suspicion in time, or was never heard of.
        Dead,
    }

    /// Where a VM is reached; it does not change during a life.
    pub struct MemberPlace {
        /// Where callers connect.
        pub caller: SocketAddr,
        /// Where other VMs connect.
        pub peer: SocketAddr,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its region.
        pub region: RegionName,
    }

    /// What a VM tells of itself and the others pass on.
    pub struct MemberFacts {
        /// The configuration version in force at it.
        pub config: ConfigVersion,
        /// The offset before which it has folded the control stream.
        pub control: u64,
        /// Whether it can read the log.
        pub reads_log: bool,
        /// Its weight in the list of addresses that callers get; 0 keeps callers away.
        pub weight: u32,
        /// Its own use of the tenants' limits, for [`crate::limit`]; sorted by tenant.
        pub usage: Vec<TenantUsage>,
    }

    /// How much of a tenant's limit a VM was asked for of late.
    pub struct TenantUsage {
        /// The tenant.
        pub tenant: TenantName,
        /// Requests in a thousand seconds, those refused among them.
        pub per_ks: u64,
    }

    /// News of one VM.
    pub struct MemberDigest {
        /// The VM and its life.
        pub vm: VmIdentity,
        /// Grows whenever the VM changes what it says of itself, and beyond every number that it
        /// hears of itself, so that its own word is the last.
        pub sequence: u64,
        /// Its state.
        pub state: MemberState,
        /// Where it is; left out for VMs that are known for long.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub place: Option<MemberPlace>,
        /// What it says of itself.
        pub facts: MemberFacts,
    }

    /// A probe: asks whether a VM is there, and brings news.
    pub struct ProbeMessage {
        /// The sender's number for the probe.
        pub number: u64,
        /// The sender's own digest.
        pub from: MemberDigest,
        /// The VM to probe on the sender's behalf; none asks the receiver itself.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub target: Option<VmName>,
        /// News of others; at most [`MemberSettings::digests`].
        pub news: Vec<MemberDigest>,
    }

    /// The answer to a probe.
    pub struct ProbeReply {
        /// The number of the probe.
        pub number: u64,
        /// The answering VM's own digest.
        pub from: MemberDigest,
        /// Whether the VM probed on the sender's behalf answered; true for a direct probe.
        pub reached: bool,
        /// News of others.
        pub news: Vec<MemberDigest>,
    }

    /// A VM in the platform's list, which lags.
    pub struct ListedVm {
        /// Its name.
        pub name: VmName,
        /// Where it is.
        pub place: MemberPlace,
        /// What the list says of it.
        pub state: ListedState,
    }

    /// What the platform's list says of a VM.
    #[derive(Copy, Eq)]
    pub enum ListedState {
        /// It runs.
        Live,
        /// It is about to be stopped.
        Leaving,
    }
}

/// Settings of the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSettings {
    /// Milliseconds between probes.
    pub period_ms: u64,
    /// The most digests that ride on a probe or its answer.
    pub digests: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self { period_ms: 300, digests: 6 }
    }
}
