//! Configuration of a group's owner: its limits and timeouts, and the engines, shares and classes
//! of its group. docs/PLACEMENT.md explains the values.

use crate::id::{CustomerName, GroupName, ServerName};
use crate::manifest::{ClassEntry, PlacementPolicy};
use crate::outcome::RequestClass;

/// Limits and timeouts of an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerSettings {
    /// Consecutive reports that must fail before an engine counts as down.
    pub failed_reports: u32,
    /// Milliseconds after which the result of an unanswered order counts as unknown.
    pub order_timeout_ms: u64,
    /// Consecutive loads of an adapter that must fail before requests for it are refused
    /// immediately.
    pub load_attempts: u32,
    /// Milliseconds before the first retry of a failed load; doubled for each further one.
    pub load_backoff_ms: u64,
    /// Upper bound of that delay in milliseconds.
    pub max_load_backoff_ms: u64,
    /// Milliseconds for which a VM that is considered dead may still use its grants.
    pub zombie_window_ms: u64,
    /// Milliseconds from the grant within which the requester must send the request.
    pub use_grace_ms: u64,
    /// Percent of each batch reserved for urgent requests.
    pub urgent_reserve_percent: u32,
    /// Time constant, in milliseconds, of the exponential decay of an adapter's usage score.
    pub usage_decay_ms: u64,
    /// Maximum milliseconds by which reports lag behind the engine.
    pub report_lag_ms: u64,
    /// Milliseconds after a broken connection from which a report of the same incarnation shows
    /// that the engine did not crash.
    pub broken_settle_ms: u64,
    /// Milliseconds after which this owner's epoch is sent again to an engine that has not
    /// confirmed it.
    pub fence_retry_ms: u64,
    /// Milliseconds between queries to VMs that have not reported the grants they hold.
    pub held_query_interval_ms: u64,
    /// Initial estimate of the load time in milliseconds, until one was measured.
    pub initial_load_ms: u64,
    /// Initial estimate of the service time in milliseconds, until one was measured.
    pub initial_service_ms: u64,
    /// Milliseconds before a deadline from which a load for it is ordered before less urgent loads.
    pub urgent_load_ms: u64,
    /// Milliseconds for which a scheduled adapter is kept after its due time.
    pub schedule_grace_ms: u64,
    /// Upper bound of pending scheduled loads.
    pub schedules: usize,
    /// Upper bound of grants in use; further requests are refused as overloaded.
    pub grants: usize,
    /// Minimum retry delay in milliseconds suggested to a refused caller.
    pub min_retry_ms: u64,
    /// Maximum retry delay in milliseconds suggested to a refused caller.
    pub max_retry_ms: u64,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            failed_reports: 3,
            order_timeout_ms: 20_000,
            load_attempts: 3,
            load_backoff_ms: 500,
            max_load_backoff_ms: 30_000,
            zombie_window_ms: 120_000,
            use_grace_ms: 2_000,
            urgent_reserve_percent: 10,
            usage_decay_ms: 1_800_000,
            report_lag_ms: 5_000,
            broken_settle_ms: 1_500,
            fence_retry_ms: 1_000,
            held_query_interval_ms: 1_000,
            initial_load_ms: 1_000,
            initial_service_ms: 1_000,
            urgent_load_ms: 10_000,
            schedule_grace_ms: 30_000,
            schedules: 65_536,
            grants: 65_536,
            min_retry_ms: 100,
            max_retry_ms: 30_000,
        }
    }
}

/// Configuration of one engine of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// The server's name in the manifest.
    pub server: ServerName,
    /// Number of adapters it can hold.
    pub adapter_slots: u32,
    /// Maximum requests in a batch.
    pub batch_slots: u32,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// The group's share of its region's weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreShare {
    /// Loads per second.
    pub loads_per_s: f64,
    /// Number of concurrent loads that run at full speed.
    pub full_speed: u32,
}

impl Default for StoreShare {
    fn default() -> Self {
        Self { loads_per_s: 1.0, full_speed: 1 }
    }
}

/// Weight of a customer where customers compete for scarce engines.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShare {
    /// The customer.
    pub tenant: CustomerName,
    /// Relative weight; the default is 1.
    pub weight: f64,
}

/// Configuration of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupTopology {
    /// The group's name.
    pub group: GroupName,
    /// The engines of the group.
    pub engines: Vec<EngineInfo>,
    /// Its share of the region's weight store.
    pub store: StoreShare,
    /// Limits of the classes; a class that is not listed has [`class_defaults`].
    pub classes: Vec<ClassEntry>,
    /// Weights of the customers; one that is not listed has weight 1.
    pub tenants: Vec<TenantShare>,
    /// Weights of the placement decision.
    pub policy: PlacementPolicy,
}

/// The limits of a class that the manifest does not list.
#[must_use]
pub fn class_defaults(class: RequestClass) -> ClassEntry {
    let (deadline_ms, queue) = match class {
        RequestClass::Urgent => (10_000, 512),
        RequestClass::Scheduled => (120_000, 2_048),
        RequestClass::Audit => (3_600_000, 4_096),
    };
    ClassEntry { class, deadline_ms, queue }
}
