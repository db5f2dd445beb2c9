//! Configuration published by operators: models, adapters, tenants, servers, services and their
//! limits.
//!
//! Every list of a manifest in force is sorted by name, so that lookups are binary searches and two
//! VMs with the same version have identical bytes. See docs/OPERATORS.md, "Manifest".

use std::net::SocketAddr;

use crate::id::{
    AdapterName, ConfigVersion, CustomerName, DomainName, ModelName, RegionName, ServerName,
    ServiceName, VersionName,
};
use crate::outcome::RequestClass;
use crate::value;

value! {
    /// The whole configuration.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct ServingManifest {
        /// Base models that engines run.
        #[serde(default)]
        pub models: Vec<ModelEntry>,
        /// Adapters and their versions.
        #[serde(default)]
        pub adapters: Vec<AdapterEntry>,
        /// Customers with their credentials and limits.
        #[serde(default)]
        pub tenants: Vec<TenantEntry>,
        /// Backend servers: model engines and plain services.
        #[serde(default)]
        pub servers: Vec<ServerEntry>,
        /// Plain services that customers may call.
        #[serde(default)]
        pub services: Vec<ServiceEntry>,
        /// Limits and deadlines of the classes; a class that is not listed has its defaults.
        #[serde(default)]
        pub classes: Vec<ClassEntry>,
        /// Summaries that run at set times; their adapters are loaded ahead.
        #[serde(default)]
        pub schedules: Vec<ScheduleEntry>,
        /// Weight stores, one per region.
        #[serde(default)]
        pub stores: Vec<StoreEntry>,
        /// Weights of the placement decision.
        #[serde(default)]
        pub policy: PlacementPolicy,
    }

    /// A base model.
    #[serde(deny_unknown_fields)]
    pub struct ModelEntry {
        /// Unique in the manifest.
        pub name: ModelName,
    }

    /// An adapter.
    #[serde(deny_unknown_fields)]
    pub struct AdapterEntry {
        /// Unique in the manifest.
        pub name: AdapterName,
        /// The base model that it applies to.
        pub model: ModelName,
        /// Its versions, sorted by name; at least one.
        pub versions: Vec<VersionEntry>,
        /// The version for requests that name none. `None`: such requests are refused.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub default_version: Option<VersionName>,
        /// Tenants that may use it, sorted.
        pub tenants: Vec<CustomerName>,
    }

    /// A version of an adapter.
    #[serde(deny_unknown_fields)]
    pub struct VersionEntry {
        /// Unique within the adapter.
        pub version: VersionName,
        /// Where engines find the weights; sent to them as the path in the load order.
        pub weights: String,
    }

    /// A customer.
    #[serde(deny_unknown_fields)]
    pub struct TenantEntry {
        /// Unique in the manifest.
        pub name: CustomerName,
        /// SHA-256 hashes of its credentials, in hexadecimal.
        pub credentials: Vec<String>,
        /// Requests per second that it may send, over all VMs; `None` means no limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub requests_per_s: Option<f64>,
        /// Requests that it may send at once above the rate.
        #[serde(default = "default_burst")]
        pub burst: u32,
        /// Weight where tenants compete for scarce engines; default 1.
        #[serde(default = "default_weight")]
        pub weight: f64,
    }

    /// A backend server.
    #[serde(deny_unknown_fields)]
    pub struct ServerEntry {
        /// Unique in the manifest.
        pub name: ServerName,
        /// Its listening address; unique in the manifest.
        pub address: SocketAddr,
        /// Its failure domain, which must lie in one region.
        pub domain: DomainName,
        /// Its region; for an engine, one listed in `stores`.
        pub region: RegionName,
        /// Model engine or plain service.
        pub serves: ServerKind,
    }

    /// The role of a backend server.
    #[serde(deny_unknown_fields)]
    pub enum ServerKind {
        /// A model engine.
        Engine(EngineEntry),
        /// A plain service.
        Service {
            /// The name of an entry in `services`.
            service: ServiceName,
        },
    }

    /// Capacity of a model engine.
    #[serde(deny_unknown_fields)]
    pub struct EngineEntry {
        /// The base model it runs.
        pub model: ModelName,
        /// Number of adapters it can hold.
        pub adapter_slots: u32,
        /// Maximum requests in a batch.
        pub batch_slots: u32,
        /// Whether it refuses orders with an outdated fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
    }

    /// A plain service.
    #[serde(deny_unknown_fields)]
    pub struct ServiceEntry {
        /// Unique in the manifest; callers reach the service under `/v1/services/{name}/`.
        pub name: ServiceName,
        /// Tenants that may call it, sorted.
        pub tenants: Vec<CustomerName>,
        /// Methods that are safe to repeat, in upper case.
        #[serde(default = "default_repeatable_methods")]
        pub repeatable_methods: Vec<String>,
    }

    /// Limits of a request class.
    #[serde(deny_unknown_fields)]
    pub struct ClassEntry {
        /// The class to which the limits apply.
        pub class: RequestClass,
        /// Default deadline in milliseconds for requests that state none.
        pub deadline_ms: u64,
        /// Maximum requests of the class that may queue in one group.
        pub queue: u32,
    }

    /// A summary that runs at set times.
    #[serde(deny_unknown_fields)]
    pub struct ScheduleEntry {
        /// Unique in the manifest.
        pub name: String,
        /// The adapter to load ahead.
        pub adapter: AdapterName,
        /// The version of the adapter.
        pub version: VersionName,
        /// Seconds after midnight UTC at which it is due.
        pub due_s: u32,
        /// Period in seconds; default 86,400, daily.
        #[serde(default = "default_period")]
        pub every_s: u32,
        /// Seconds before the due time at which its adapter should be loaded.
        #[serde(default = "default_lead")]
        pub lead_s: u32,
    }

    /// A region's weight store.
    #[serde(deny_unknown_fields)]
    pub struct StoreEntry {
        /// The region it serves.
        pub region: RegionName,
        /// Loads per second that it allows.
        pub loads_per_s: f64,
        /// Number of concurrent loads that run at full speed.
        pub full_speed: u32,
    }

    /// Weights of the placement decision; see docs/PLACEMENT.md.
    #[serde(deny_unknown_fields, default)]
    pub struct PlacementPolicy {
        /// Between 0 (optimize batch efficiency only) and 1 (optimize load stalls only).
        pub stall_weight: f64,
        /// Maximum engines in a group.
        pub group_servers: u32,
    }
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self { stall_weight: 0.5, group_servers: 16 }
    }
}

fn default_burst() -> u32 {
    100
}

fn default_weight() -> f64 {
    1.0
}

fn default_period() -> u32 {
    86_400
}

fn default_lead() -> u32 {
    60
}

fn default_repeatable_methods() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS"].map(str::to_owned).to_vec()
}

value! {
    /// Changes to a manifest: whole entries to add or replace, and names to remove.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct ManifestDelta {
        /// Entries to add, or to replace those of the same name.
        pub put: ServingManifestParts,
        /// Names to remove; a name that does not exist is an error.
        pub remove: RemovedNames,
    }

    /// Parts of a manifest that a delta may add or replace.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct ServingManifestParts {
        /// Base models to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub models: Vec<ModelEntry>,
        /// Adapters to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub adapters: Vec<AdapterEntry>,
        /// Customers to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub tenants: Vec<TenantEntry>,
        /// Backend servers to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub servers: Vec<ServerEntry>,
        /// Plain services to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub services: Vec<ServiceEntry>,
        /// Classes to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub classes: Vec<ClassEntry>,
        /// Schedules to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub schedules: Vec<ScheduleEntry>,
        /// Weight stores to add or replace.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub stores: Vec<StoreEntry>,
        /// The new policy; `None` if it does not change.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub policy: Option<PlacementPolicy>,
    }

    /// Names that a delta removes.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct RemovedNames {
        /// Base models to remove.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub models: Vec<ModelName>,
        /// Adapters to remove.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub adapters: Vec<AdapterName>,
        /// Customers to remove.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub tenants: Vec<CustomerName>,
        /// Backend servers to remove.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub servers: Vec<ServerName>,
        /// Plain services to remove.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub services: Vec<ServiceName>,
        /// Schedules to remove.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub schedules: Vec<String>,
    }
}

impl ServingManifest {
    /// Finds an adapter by name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&AdapterEntry> {
        let found = self.adapters.binary_search_by(|entry| entry.name.as_str().cmp(name));
        found.ok().map(|at| &self.adapters[at])
    }

    /// Finds a tenant by name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&TenantEntry> {
        let found = self.tenants.binary_search_by(|entry| entry.name.as_str().cmp(name));
        found.ok().map(|at| &self.tenants[at])
    }

    /// Finds a backend server by name.
    #[must_use]
    pub fn server(&self, name: &str) -> Option<&ServerEntry> {
        let found = self.servers.binary_search_by(|entry| entry.name.as_str().cmp(name));
        found.ok().map(|at| &self.servers[at])
    }

    /// Finds a plain service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        let found = self.services.binary_search_by(|entry| entry.name.as_str().cmp(name));
        found.ok().map(|at| &self.services[at])
    }
}

impl AdapterEntry {
    /// Finds a version by name.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&VersionEntry> {
        let found = self.versions.binary_search_by(|entry| entry.version.as_str().cmp(name));
        found.ok().map(|at| &self.versions[at])
    }

    /// Whether `tenant` may use the adapter.
    #[must_use]
    pub fn allows(&self, tenant: &str) -> bool {
        self.tenants.binary_search_by(|name| name.as_str().cmp(tenant)).is_ok()
    }
}

/// A manifest and its version, which the manifest itself does not contain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedManifest {
    /// The version under which it came into force.
    pub version: ConfigVersion,
    /// The manifest of that version.
    pub manifest: ServingManifest,
}
