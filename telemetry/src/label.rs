//! Label values. All labels have a fixed set of values except the tenant, for which [`TenantLabels`] limits
//! the number of values. This bounds the number of series.

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
            /// Returns the label value in metrics.
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
    /// Result of an adapter load.
    pub enum LoadResult {
        /// The adapter was loaded.
        Done = "done",
        /// The engine or the weight store reported an error.
        Failed = "failed",
        /// The engine did not respond in time; whether the adapter was loaded is unknown.
        TimedOut = "timed_out",
        /// The engine reported the adapter as loaded after the order had timed out.
        Late = "late",
    }

    /// Reason of an eviction.
    pub enum EvictionReason {
        /// Another adapter needed the slot.
        Replaced = "replaced",
        /// The adapter version was removed from the configuration.
        Removed = "removed",
        /// The slot was inherited from an earlier owner and not in use.
        Inherited = "inherited",
    }

    /// Kind of an order to an engine.
    pub enum OrderKind {
        /// Loads an adapter version.
        Load = "load",
        /// Evicts an adapter version.
        Evict = "evict",
    }

    /// Result of an order to an engine.
    pub enum OrderResult {
        /// The order was executed.
        Done = "done",
        /// The engine refused the order because its fencing number was outdated.
        Fenced = "fenced",
        /// The order was not sent, or the engine refused it or reported a failure.
        Failed = "failed",
        /// The effect of the order is unknown.
        Unknown = "unknown",
    }

    /// Result of an append to the log.
    pub enum AppendResult {
        /// The record is in the log.
        Done = "done",
        /// The record is not in the log and will not be added to it.
        Failed = "failed",
        /// The response was lost; whether the record is in the log is unknown.
        Unknown = "unknown",
    }

    /// Reason of a retry.
    pub enum RetryReason {
        /// The slot did not exist on the engine.
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

    /// Result of the claim of a request that is not repeatable.
    pub enum ClaimResult {
        /// The claim is the first for its key in the log.
        Won = "won",
        /// The claim of another attempt precedes it.
        Lost = "lost",
        /// The claim could not be appended to the log.
        Unavailable = "unavailable",
        /// The key was issued by this VM, so no claim was needed.
        Issued = "issued",
    }

    /// Result of a publication.
    pub enum PublishResult {
        /// The publication created a new configuration version.
        Accepted = "accepted",
        /// The same publication had been accepted before.
        Repeated = "repeated",
        /// The base version of the publication is not in force.
        Stale = "stale",
        /// The publication is invalid.
        Rejected = "rejected",
        /// The log's response was lost; whether the publication was stored is unknown.
        Unknown = "unknown",
        /// The publication could not be appended to the log.
        Unavailable = "unavailable",
    }

    /// State of an engine's slot.
    pub enum SlotState {
        /// An adapter is loaded and no request uses it.
        Idle = "idle",
        /// An adapter is loaded and in use.
        Used = "used",
        /// An adapter is being loaded.
        Loading = "loading",
        /// No adapter is loaded.
        Empty = "empty",
    }

    /// Stream of the platform's log.
    pub enum StreamName {
        /// Configuration versions.
        Config = CONFIG_STREAM,
        /// Ownership, orders, drains and quarantine.
        Control = CONTROL_STREAM,
        /// Claims of requests that are not repeatable.
        Claims = CLAIM_STREAM,
        /// Audit jobs and their results.
        Jobs = JOB_STREAM,
    }

    /// Purpose of control traffic.
    pub enum TrafficKind {
        /// Probes between VMs and the responses to them.
        Probe = "probe",
        /// Calls that reserve, withdraw or release grants, and that report held ones.
        Grant = "grant",
        /// Other calls between VMs.
        Call = "call",
        /// Reads and appends of the log, and the list of VMs.
        Platform = "platform",
        /// Orders to engines and their reports.
        Engine = "engine",
    }
}

/// Returns the label value of an entry VM's state.
pub(crate) fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}

/// Label value shared by all tenants without series of their own.
pub(crate) const OTHER_TENANTS: &str = "other";

/// Tenants with series of their own: the first `max` that sent requests.
pub(crate) struct TenantLabels {
    max: usize,
    /// Names in ascending order.
    known: RwLock<Vec<String>>,
}

impl TenantLabels {
    pub(crate) fn new(max: usize) -> Self {
        Self { max, known: RwLock::new(Vec::new()) }
    }

    /// Returns the label value of `tenant`: its name, or [`OTHER_TENANTS`] if `max` other names are known.
    pub(crate) fn label<'a>(&self, tenant: &'a str) -> &'a str {
        let find = |known: &[String]| known.binary_search_by(|name| name.as_str().cmp(tenant));
        // The list is consistent even if the lock is poisoned, because a writer's only change is one insertion.
        let known = self.known.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        if find(&known).is_ok() {
            return tenant;
        }
        if known.len() >= self.max {
            return OTHER_TENANTS;
        }
        drop(known);
        let mut known = self.known.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        match find(&known) {
            Ok(_) => tenant,
            Err(_) if known.len() >= self.max => OTHER_TENANTS,
            Err(at) => {
                known.insert(at, tenant.to_owned());
                tenant
            }
        }
    }
}
