//! Maps requests to services by host and path, and defines what the configuration and the servers
//! state about services.
//!
//! A [`RouteTable`] is built for each configuration and is immutable; a request keeps the table
//! under which it was accepted. See docs/PLATFORM.md, "Configuration".

use std::net::SocketAddr;
use std::time::Duration;

use crate::customer::{CustomerPlan, CustomerTable};
use crate::id::{AdapterName, ConfigVersion, ModelName, ServiceName, stable_hash};
use crate::value;

value! {
    /// Whether a request that may have run can be retried.
    #[derive(Copy, Eq)]
    pub enum RetryRule {
        /// May run any number of times.
        Idempotent,
        /// May run at most once.
        Once,
        /// Stream that may run at most once.
        StreamOnce,
        /// Stream that another server can resume after the last event forwarded to the caller.
        StreamResumable,
    }

    /// Service that receives a fraction of a route's requests.
    #[derive(Eq)]
    pub struct RouteShare {
        /// Service that the requests go to.
        pub service: ServiceName,
        /// Weight relative to the sum of all weights of the route.
        pub weight: u32,
    }

    /// Route of the configuration.
    #[derive(Eq)]
    pub struct ServingRoute {
        /// Unique name, for logs and metrics.
        pub name: String,
        /// Host that requests must name, compared exactly.
        pub host: String,
        /// Beginning of the path; starts and ends with a slash.
        pub prefix: String,
        /// Services that requests go to, with their weights.
        pub shares: Vec<RouteShare>,
        /// Rule for retries.
        pub repeat: RetryRule,
        /// Longest time until the final answer.
        pub timeout: Duration,
        /// Time within which an answer, or the first event of a stream, is on time.
        pub target: Duration,
        /// Longest pause between two events of a stream that is on time; `None` for plain answers.
        pub target_gap: Option<Duration>,
        /// Rank among the routes; 0 goes first.
        pub priority: u8,
        /// Maximum number of servers that may run one request.
        #[serde(rename = "most_servers")]
        pub max_servers: u32,
        /// Whether requests need no key if the configuration has customers.
        #[serde(default)]
        pub public: bool,
    }

    /// Base model of the configuration.
    #[derive(Default)]
    pub struct ModelPlan {
        /// Name of the base model.
        pub model: ModelName,
        /// Memory for its weights at a server, in MB.
        pub weights_mb: f64,
        /// Memory for each of its adapters, in MB.
        pub adapter_mb: f64,
    }

    /// Common properties of a service's model engines.
    #[derive(Default)]
    pub struct EnginePlan {
        /// Maximum number of requests in one batch.
        pub batch: u32,
        /// Number of tokens that fit into a server's memory.
        pub memory_tokens: u64,
        /// Memory for weights and adapters together, in MB.
        pub weights_mb: f64,
        /// Number of adapter slots at a server.
        #[serde(rename = "adapter_places")]
        pub adapter_slots: usize,
        /// Base models that may be loaded from the weight store per second, over all servers.
        pub loads_per_second: f64,
        /// Base models that its servers may hold.
        pub models: Vec<ModelPlan>,
    }

    /// Service of the configuration.
    pub struct ServicePlan {
        /// Unique name, which routes refer to.
        pub service: ServiceName,
        /// Maximum number of connections that a server accepts from all callers together.
        #[serde(rename = "most_connections")]
        pub max_connections: usize,
        /// Set for model engines; `None` for plain services.
        pub engine: Option<EnginePlan>,
    }

    /// Limits on a caller's requests and connections.
    #[derive(Copy, Eq)]
    pub struct CallerLimits {
        /// Maximum size of a request's head, in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub body_bytes: usize,
        /// Longest time in which a head may arrive.
        pub head_time: Duration,
        /// Longest time for which a connection may be idle.
        pub idle_time: Duration,
    }
}

/// Routes, services and customers of one configuration.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Sorted by host and prefix.
    routes: Vec<ServingRoute>,
    /// Sorted by name.
    services: Vec<ServicePlan>,
    /// Shortest of the pauses that routes allow between events, for each service with streams;
    /// sorted.
    gaps: Vec<(ServiceName, Duration)>,
    /// Customers that may use the routes that are not public. If there are none, all callers may.
    #[serde(default)]
    customers: CustomerTable,
    /// All combinations of customer rank and route rank that requests can have, sorted.
    #[serde(default)]
    ranks: Vec<RequestRank>,
}

/// Rank of a request: first the customer's, then the route's.
type RequestRank = (u8, u8);
/// Number of ranks that servers distinguish.
const SERVER_RANKS: usize = 10;
/// Rank of requests whose customer has none.
const DEFAULT_RANK: u8 = 0;

impl RouteTable {
    /// Builds a table of `routes` and `services` in any order, without customers.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        limits: CallerLimits,
        mut routes: Vec<ServingRoute>,
        mut services: Vec<ServicePlan>,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.service.cmp(&b.service));
        let gaps = min_gaps(&routes);
        let customers = CustomerTable::default();
        Self { version, limits, routes, services, gaps, customers, ranks: Vec::new() }
    }

    /// Adds customers, whose keys are then required on routes that are not public.
    #[must_use]
    pub fn with_customers(mut self, customers: CustomerTable) -> Self {
        let plans = customers.plans().iter();
        let mut ranked: Vec<u8> = plans.filter_map(|plan| plan.priority).collect();
        ranked.push(DEFAULT_RANK);
        let routes = self.routes.iter().map(|route| route.priority);
        self.ranks =
            routes.flat_map(|route| ranked.iter().map(move |rank| (*rank, route))).collect();
        self.ranks.sort_unstable();
        self.ranks.dedup();
        self.customers = customers;
        self
    }

    /// Returns the customers that may use the routes that are not public.
    #[must_use]
    pub fn customers(&self) -> &CustomerTable {
        &self.customers
    }

    /// Returns the rank of a request, scaled to the ranks that servers distinguish; 0 goes first.
    /// Without customers it is the route's own.
    #[must_use]
    pub fn rank(&self, route: &ServingRoute, customer: Option<&CustomerPlan>) -> u8 {
        let own = customer.and_then(|plan| plan.priority).unwrap_or(DEFAULT_RANK);
        match self.ranks.binary_search(&(own, route.priority)) {
            Ok(index) => (index * SERVER_RANKS / self.ranks.len().max(SERVER_RANKS)) as u8,
            Err(_) => route.priority,
        }
    }

    /// Returns the shortest pause between events that any stream at a service allows; `None` if it
    /// has no streams with a limit.
    #[must_use]
    pub fn min_gap(&self, service: &ServiceName) -> Option<Duration> {
        let at = self.gaps.binary_search_by(|(known, _)| known.cmp(service)).ok()?;
        Some(self.gaps[at].1)
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&ServingRoute> {
        let mut rest = path;
        loop {
            let end = rest.rfind('/')?;
            let found = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, &rest[..=end]))
            });
            if let Ok(at) = found {
                return Some(&self.routes[at]);
            }
            rest = &rest[..end];
        }
    }

    /// Returns a service of this configuration by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        let at = self.services.binary_search_by(|plan| plan.service.as_str().cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[ServicePlan] {
        &self.services
    }

    /// Returns all routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[ServingRoute] {
        &self.routes
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

fn min_gaps(routes: &[ServingRoute]) -> Vec<(ServiceName, Duration)> {
    let mut gaps: Vec<(ServiceName, Duration)> = Vec::new();
    for route in routes {
        let Some(gap) = route.target_gap else { continue };
        for share in &route.shares {
            match gaps.binary_search_by(|(service, _)| service.cmp(&share.service)) {
                Ok(at) => gaps[at].1 = gaps[at].1.min(gap),
                Err(at) => gaps.insert(at, (share.service.clone(), gap)),
            }
        }
    }
    gaps
}

/// Beginning of a prompt that other requests share. A server that recently processed it for the
/// same adapter need not process it again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Hash of the model, the adapter and the shared parts.
    pub id: u64,
    /// Length in tokens; 0 if nothing is shared.
    pub tokens: u64,
}

/// Callers give up a stream after the longest of this time without events, `IDLE_TIMEOUT_TARGETS`
/// times the target, and `IDLE_TIMEOUT_GAPS` times the longest pause that is on time.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT_TARGETS: u32 = 4;
const IDLE_TIMEOUT_GAPS: u32 = 8;

impl ModelNeed {
    /// Returns the tokens of the prompt plus the maximum that is generated.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// Returns the shared prefix: all parts of the prompt but the last, which belongs to this
    /// request only.
    #[must_use]
    pub fn shared(&self) -> SharedPrompt {
        let Some((_, shared)) = self.parts.split_last() else { return SharedPrompt::default() };
        let tokens = shared.iter().map(|part| u64::from(part.tokens)).sum();
        let adapter = self.adapter.as_ref().map_or("", |key| key.adapter.as_str());
        let ids: Vec<String> = shared.iter().map(|part| part.id.to_string()).collect();
        let mut names = vec![self.model.as_str(), adapter];
        names.extend(ids.iter().map(String::as_str));
        SharedPrompt { id: stable_hash(&names), tokens }
    }
}

impl ServingRoute {
    /// Returns after which time without data a caller gives up. For a plain answer that is its
    /// deadline.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        if !self.repeat.is_stream() {
            return self.timeout;
        }
        let gap = self.target_gap.unwrap_or_default() * IDLE_TIMEOUT_GAPS;
        gap.max(self.target * IDLE_TIMEOUT_TARGETS).max(MIN_IDLE_TIMEOUT)
    }

    /// Returns the service of a request, chosen by its id, so that retries with the same id go to
    /// the same service. `None` if all weights are 0.
    #[must_use]
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = stable_hash(&["route", request_id]).checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

impl RetryRule {
    /// Returns whether a request that may have run can be sent to another server.
    #[must_use]
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }
}

value! {
    /// Names an adapter of a base model.
    #[derive(Eq, PartialOrd, Ord, Hash, Default)]
    pub struct AdapterKey {
        /// Base model that the adapter belongs to.
        pub model: ModelName,
        /// Name of the adapter within its model.
        pub adapter: AdapterName,
    }

    /// Part of a prompt that requests can share.
    #[derive(Copy, Eq)]
    pub struct PromptPart {
        /// Identifier; the same for all requests with this part.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u32,
    }

    /// What a request needs of a model engine.
    #[derive(Eq)]
    pub struct ModelNeed {
        /// Base model to run.
        pub model: ModelName,
        /// Adapter to apply, if the request names one.
        pub adapter: Option<AdapterKey>,
        /// Length of the prompt, in tokens.
        pub prompt_tokens: u32,
        /// Maximum number of tokens that are generated.
        pub output_tokens: u32,
        /// Parts of the prompt, in order.
        pub parts: Vec<PromptPart>,
    }

    /// Registration of a backend server.
    pub struct BackendEntry {
        /// Name of the server. Usually unique to one start, but a restarted server may reuse the
        /// name.
        pub server: crate::id::ServerName,
        /// Start time of this incarnation, in Unix milliseconds as the server states it; 0 if not
        /// stated. Compared only between incarnations with the same name, never with a clock.
        #[serde(default, rename = "born")]
        pub incarnation: u64,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Address for requests.
        pub address: SocketAddr,
        /// Failure domain that it runs in.
        pub domain: crate::id::DomainName,
        /// Number of requests that it processes at once.
        pub slots: u32,
        /// Whether it takes new work; false once it is leaving.
        pub ready: bool,
        /// Increases with each heartbeat of this incarnation.
        pub heartbeat: u64,
        /// Position of the entry's record in its topic; later records have a higher one.
        pub position: u64,
        /// Base models and adapters that it held when it wrote the entry.
        pub models: Vec<HeldModel>,
        /// Version of its software; `None` if it states none, or if only other VMs reported this
        /// incarnation so far. Messages carry it apart from the entry, which older releases read.
        #[serde(skip)]
        pub software: Option<crate::id::SoftwareVersion>,
        /// Milliseconds after which it is gone, whatever it runs; `None` if it states no such time.
        /// Messages carry it apart from the entry too.
        #[serde(skip)]
        pub notice_ms: Option<u32>,
    }

    /// Base model that a server holds, and its adapters.
    #[derive(Eq)]
    pub struct HeldModel {
        /// Name of the base model.
        pub model: ModelName,
        /// Its adapters at the server, with their versions.
        pub adapters: Vec<HeldAdapter>,
    }

    /// Adapter that a server holds.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct HeldAdapter {
        /// Name of the adapter.
        pub adapter: AdapterName,
        /// Version that is held.
        pub version: u64,
    }

    /// State that a server reports on request; up to some hundred milliseconds old.
    pub struct ServerReport {
        /// Start time of this incarnation, as in [`BackendEntry::incarnation`].
        #[serde(default, rename = "born")]
        pub incarnation: u64,
        /// Number of orders that this incarnation accepted so far.
        pub orders: u64,
        /// Whether a base model is being loaded or unloaded.
        pub busy: bool,
        /// Base models and adapters that it holds.
        pub models: Vec<HeldModel>,
        /// Adapters in flight to it.
        pub pending: Vec<PendingAdapter>,
    }

    /// Adapter in flight to a server.
    #[derive(Eq)]
    pub struct PendingAdapter {
        /// Model and name of the adapter.
        pub key: AdapterKey,
        /// Version that is being loaded.
        pub version: u64,
    }
}

impl ModelNeed {
    /// Returns the parts of the prompt that other requests may have: all but the last, which is the request's own.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
