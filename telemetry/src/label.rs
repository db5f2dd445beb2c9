//! The values of labels. All but tenants are enumerations, so their number is known.

use std::sync::RwLock;

use coltsfoothook_decision::member::MemberState;
use coltsfoothook_decision::record::{CLAIM_STREAM, CONFIG_STREAM, CONTROL_STREAM, JOB_STREAM};

macro_rules! label_values {
    ($($(#[$meta:meta])* pub enum $name:ident {
        $($(#[$variant_meta:meta])* $variant:ident = $text:expr,)*
    })*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_meta])* $variant,)*
        }

        impl $name {
            /// The label's value in metrics.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    )*};
}

label_values! {
    /// What became of the load of an adapter.
    pub enum LoadResult {
        /// It was loaded.
        Done = "done",
        /// The engine or the weight store failed it.
        Failed = "failed",
        /// The engine did not answer in time; its effect is not known.
        TimedOut = "timed_out",
        /// It was reported after the answer had been given up.
        Late = "late",
    }

    /// Why a slot was evicted.
    pub enum EvictionReason {
        /// Another adapter needed the slot.
        Replaced = "replaced",
        /// The adapter version left the configuration.
        Removed = "removed",
        /// The slot was inherited from an earlier owner and nobody used it.
        Inherited = "inherited",
    }

    /// An order to an engine.
    pub enum OrderKind {
        /// To load an adapter version.
        Load = "load",
        /// To evict one.
        Evict = "evict",
    }

    /// What became of an order.
    pub enum OrderResult {
        /// It took effect.
        Done = "done",
        /// The engine refused it for its old fencing number.
        Fenced = "fenced",
        /// It failed.
        Failed = "failed",
        /// Its effect is not known.
        Unknown = "unknown",
    }

    /// What became of an append to the log.
    pub enum AppendResult {
        /// It stands in the log.
        Done = "done",
        /// It does not and will not stand there.
        Failed = "failed",
        /// Its answer was lost.
        Unknown = "unknown",
    }

    /// Why a request was tried again.
    pub enum RetryReason {
        /// The engine did not know the slot.
        SlotMissing = "slot_missing",
        /// The server could not be reached, so nothing ran.
        NotReached = "not_reached",
        /// The connection broke and the request is repeatable.
        Broken = "broken",
        /// The owner of the group changed or could not be reached.
        OwnerChanged = "owner_changed",
        /// The server refused the request before it ran.
        Refused = "refused",
    }

    /// What became of the claim of a request that is not repeatable.
    pub enum ClaimResult {
        /// It came first in the log.
        Won = "won",
        /// Another attempt came first.
        Lost = "lost",
        /// The log did not take it.
        Unavailable = "unavailable",
        /// The key was issued by this VM, and no claim was needed.
        Issued = "issued",
    }

    /// What became of a publication.
    pub enum PublishResult {
        /// It made a new version.
        Accepted = "accepted",
        /// It was known already.
        Repeated = "repeated",
        /// It was built on a version that is not in force.
        Stale = "stale",
        /// It has faults.
        Rejected = "rejected",
        /// The log's answer was lost.
        Unknown = "unknown",
        /// The log did not take it.
        Unavailable = "unavailable",
    }

    /// What a slot of an engine does.
    pub enum SlotState {
        /// It holds an adapter that no request uses.
        Idle = "idle",
        /// It holds an adapter in use.
        Used = "used",
        /// It is being loaded.
        Loading = "loading",
        /// It holds nothing.
        Empty = "empty",
    }

    /// A stream of the platform's log.
    pub enum StreamName {
        /// Configuration.
        Config = CONFIG_STREAM,
        /// Ownership, orders, drains and quarantine.
        Control = CONTROL_STREAM,
        /// Claims.
        Claims = CLAIM_STREAM,
        /// Audit jobs.
        Jobs = JOB_STREAM,
    }

    /// What traffic of control is for.
    pub enum TrafficKind {
        /// Probes between VMs and their answers.
        Probe = "probe",
        /// Grants, releases and held grants.
        Grant = "grant",
        /// Other calls between VMs.
        Call = "call",
        /// Reads and appends of the log, and the list of VMs.
        Platform = "platform",
        /// Orders to engines and their reports.
        Engine = "engine",
    }
}

/// The label's value for the state of an entry VM.
pub(crate) fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}

/// The value that stands for all tenants beyond those told apart.
pub(crate) const OTHER_TENANTS: &str = "other";

/// The tenants that metrics tell apart: the first so many that sent requests.
pub(crate) struct TenantLabels {
    most: usize,
    known: RwLock<Vec<String>>,
}

impl TenantLabels {
    pub(crate) fn new(most: usize) -> Self {
        Self { most, known: RwLock::new(Vec::new()) }
    }

    /// The label for `tenant`: its name, or [`OTHER_TENANTS`] once there are enough names.
    pub(crate) fn label<'a>(&self, tenant: &'a str) -> &'a str {
        let find = |known: &[String]| known.binary_search_by(|name| name.as_str().cmp(tenant));
        // A poisoned lock holds a whole list: an insertion is the last step of each change.
        let known = self.known.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        if find(&known).is_ok() {
            return tenant;
        }
        if known.len() >= self.most {
            return OTHER_TENANTS;
        }
        drop(known);
        let mut known = self.known.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        match find(&known) {
            Ok(_) => tenant,
            Err(_) if known.len() >= self.most => OTHER_TENANTS,
            Err(at) => {
                known.insert(at, tenant.to_owned());
                tenant
            }
        }
    }
}
