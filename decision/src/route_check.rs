//! Check of the platform's configuration before it is sent.
//!
//! VMs accept any configuration that they can decode. The rules here find those that can be decoded
//! but do not do what their author probably meant. They are advice, not part of the acceptance, so
//! releases may differ in them. docs/OPERATORS.md lists the codes.
//!
//! Places use the keys of the configuration as the operators write it, so that they can be found in
//! the file. Keys of customers are never part of a finding.

use crate::check::quoted;
use crate::customer::{CustomerPlan, LimitMeasure};
use crate::difference::{EntryChange, changed_fields, entry_changes};
use crate::id::ServiceName;
use crate::routing::{RouteTable, ServingRoute};
use crate::value;

value! {
    /// One finding in a configuration.
    #[derive(Eq)]
    pub struct RouteFinding {
        /// Kind of the finding.
        pub code: FindingCode,
        /// Place, such as `routes["refund"].max_attempts`.
        pub path: String,
        /// Description in one sentence.
        pub detail: String,
    }

    /// Kinds of findings.
    #[derive(Copy, Eq)]
    pub enum FindingCode {
        /// The configuration cannot be decoded, so VMs ignore it.
        Undecodable,
        /// Two routes, services or customers have the same name.
        DuplicateName,
        /// A route can never match, because another of its host has the same prefix.
        SamePrefix,
        /// A route can never match, because its prefix does not start and end with a slash.
        UnmatchablePrefix,
        /// A route names a service that does not exist.
        UnknownService,
        /// The weights of a route's split sum to zero.
        NoWeight,
        /// A route's target is above its timeout.
        TargetAboveTimeout,
        /// A route's longest pause between events is above its timeout.
        GapAboveTimeout,
        /// A route's maximum of attempts is above the servers known to a service of it.
        AttemptsAboveServers,
        /// A customer's burst is below the cost of one request.
        BurstBelowRequest,
        /// A customer has no key.
        CustomerWithoutKey,
        /// Two customers have the same key.
        SharedKey,
        /// The version is not above the one in force, so VMs ignore the configuration.
        StaleVersion,
        /// An entry is not in the version in force.
        Added,
        /// An entry of the version in force is missing.
        Removed,
        /// An entry differs from the version in force.
        Changed,
    }
}

impl FindingCode {
    /// Returns the code as printed. Codes are stable, for scripts to act on.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Undecodable => "undecodable",
            Self::DuplicateName => "duplicate_name",
            Self::SamePrefix => "same_prefix",
            Self::UnmatchablePrefix => "unmatchable_prefix",
            Self::UnknownService => "unknown_service",
            Self::NoWeight => "no_weight",
            Self::TargetAboveTimeout => "target_above_timeout",
            Self::GapAboveTimeout => "gap_above_timeout",
            Self::AttemptsAboveServers => "attempts_above_servers",
            Self::BurstBelowRequest => "burst_below_request",
            Self::CustomerWithoutKey => "customer_without_key",
            Self::SharedKey => "shared_key",
            Self::StaleVersion => "stale_version",
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        }
    }

    /// Returns whether this is a difference from the version in force rather than a mistake.
    #[must_use]
    pub fn is_difference(self) -> bool {
        matches!(self, Self::Added | Self::Removed | Self::Changed)
    }
}

/// Returns the mistakes in a configuration. `servers` has the service of each known server, in any
/// order; with `None` attempts are not compared with servers.
#[must_use]
pub fn check_routes(table: &RouteTable, servers: Option<&[ServiceName]>) -> Vec<RouteFinding> {
    let mut findings = FindingCollector::default();
    findings.distinct("routes", table.routes().iter().map(|route| route.name.as_str()));
    findings.distinct("services", table.services().iter().map(|plan| plan.service.as_str()));
    let customers = table.customers().plans();
    findings.distinct("tenants", customers.iter().map(|plan| plan.name.as_str()));
    for pair in table.routes().windows(2) {
        findings.prefixes(&pair[0], &pair[1]);
    }
    for route in table.routes() {
        findings.route(route, table);
        if let Some(servers) = servers {
            findings.attempts(route, servers);
        }
    }
    for customer in customers {
        findings.customer(customer);
    }
    findings.shared_keys(customers);
    findings.findings
}

/// Returns the differences of a configuration from the one in force. A new version alone is none,
/// since each configuration that is sent needs one.
#[must_use]
pub fn check_change(in_force: &RouteTable, table: &RouteTable) -> Vec<RouteFinding> {
    let mut findings = FindingCollector::default();
    let fields = changed_fields(&in_force.limits, &table.limits);
    for field in &fields {
        let path = format!("limits.{}", config_key(field));
        findings.add(FindingCode::Changed, path, "it differs from the version in force".to_owned());
    }
    let old_routes = routes_by_name(in_force);
    let new_routes = routes_by_name(table);
    let changes = entry_changes(&old_routes, &new_routes, |route| &route.name);
    findings.changes("routes", &changes, |route| &route.name);
    let changes = entry_changes(in_force.services(), table.services(), |plan| &plan.service);
    findings.changes("services", &changes, |plan| plan.service.as_str());
    let (old, new) = (in_force.customers().plans(), table.customers().plans());
    let changes = entry_changes(old, new, |plan| &plan.name);
    findings.changes("tenants", &changes, |plan| plan.name.as_str());
    if !findings.findings.is_empty() && table.version <= in_force.version {
        let detail = format!(
            "version {} is not above version {}, which is in force, so VMs ignore it",
            table.version, in_force.version
        );
        findings.add(FindingCode::StaleVersion, "version".to_owned(), detail);
    }
    findings.findings
}

fn routes_by_name(table: &RouteTable) -> Vec<&ServingRoute> {
    let mut routes: Vec<_> = table.routes().iter().collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    routes
}

/// Returns the configuration's key for a serialised field of a route, a service, a customer or the
/// limits.
fn config_key(field: &str) -> &str {
    match field {
        "prefix" => "path_prefix",
        "shares" => "traffic_split",
        "repeat" => "kind",
        "timeout" => "timeout_ms",
        "target" => "target_latency_ms",
        "target_gap" => "target_gap_ms",
        "most_servers" => "max_attempts",
        "most_connections" => "max_connections",
        "keys" => "api_keys",
        "head_bytes" => "max_header_bytes",
        "body_bytes" => "max_body_bytes",
        "head_time" => "header_timeout_ms",
        "idle_time" => "idle_timeout_ms",
        other => other,
    }
}

fn named(list: &str, name: &str) -> String {
    format!("{list}[{name:?}]")
}

#[derive(Default)]
struct FindingCollector {
    findings: Vec<RouteFinding>,
}

impl FindingCollector {
    fn add(&mut self, code: FindingCode, path: String, detail: String) {
        self.findings.push(RouteFinding { code, path, detail });
    }

    /// Reports each name that occurs more than once in a list, once.
    fn distinct<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str>) {
        let mut names: Vec<&str> = names.collect();
        names.sort_unstable();
        for same in names.chunk_by(|a, b| a == b).filter(|same| same.len() > 1) {
            let detail = format!("{} occurs {} times", quoted(same[0]), same.len());
            self.add(FindingCode::DuplicateName, named(list, same[0]), detail);
        }
    }

    fn prefixes(&mut self, first: &ServingRoute, second: &ServingRoute) {
        if (&first.host, &first.prefix) != (&second.host, &second.prefix) {
            return;
        }
        let detail = format!(
            "route {} of host {} has the same prefix {}, and only one of them can match",
            quoted(&first.name),
            quoted(&first.host),
            quoted(&first.prefix)
        );
        let path = named("routes", &second.name) + ".path_prefix";
        self.add(FindingCode::SamePrefix, path, detail);
    }

    fn route(&mut self, route: &ServingRoute, table: &RouteTable) {
        let path = named("routes", &route.name);
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            let prefix = quoted(&route.prefix);
            let detail = format!("prefix {prefix} does not start and end with a slash");
            self.add(FindingCode::UnmatchablePrefix, format!("{path}.path_prefix"), detail);
        }
        for share in &route.shares {
            if table.service(share.service.as_str()).is_none() {
                let detail = format!("there is no service {}", quoted(share.service.as_str()));
                self.add(FindingCode::UnknownService, path.clone(), detail);
            }
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            let detail = "the weights sum to zero, so no request can be sent".to_owned();
            self.add(FindingCode::NoWeight, format!("{path}.traffic_split"), detail);
        }
        let timeout_ms = route.timeout.as_millis();
        if route.target > route.timeout {
            let target_ms = route.target.as_millis();
            let detail =
                format!("the target of {target_ms} ms is above the timeout of {timeout_ms} ms");
            self.add(FindingCode::TargetAboveTimeout, format!("{path}.target_latency_ms"), detail);
        }
        if let Some(gap) = route.target_gap.filter(|gap| *gap > route.timeout) {
            let gap_ms = gap.as_millis();
            let detail =
                format!("the pause of {gap_ms} ms is above the timeout of {timeout_ms} ms");
            self.add(FindingCode::GapAboveTimeout, format!("{path}.target_gap_ms"), detail);
        }
    }

    fn attempts(&mut self, route: &ServingRoute, servers: &[ServiceName]) {
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let known = servers.iter().filter(|service| **service == share.service).count();
            if route.max_servers as usize > known {
                let detail = format!(
                    "it allows {} servers, but {known} of service {} are known",
                    route.max_servers,
                    quoted(share.service.as_str())
                );
                let path = named("routes", &route.name) + ".max_attempts";
                self.add(FindingCode::AttemptsAboveServers, path, detail);
            }
        }
    }

    fn customer(&mut self, customer: &CustomerPlan) {
        let path = named("tenants", customer.name.as_str());
        if customer.keys.is_empty() {
            let detail = "the customer has no key, so none of its requests is accepted".to_owned();
            self.add(FindingCode::CustomerWithoutKey, format!("{path}.api_keys"), detail);
        }
        let Some(limit) = customer.limit else { return };
        // A request that states its tokens costs at least one.
        let cost = limit.measure.cost(None).max(1.0);
        if limit.burst < cost {
            let unit = match limit.measure {
                LimitMeasure::Requests => "requests",
                LimitMeasure::Tokens { .. } => "tokens",
            };
            let detail = format!(
                "the burst of {} {unit} is below the {cost} that one request costs at least",
                limit.burst
            );
            self.add(FindingCode::BurstBelowRequest, format!("{path}.burst"), detail);
        }
    }

    /// Reports each pair of customers with a common key once. A common key belongs to the first
    /// customer by name.
    fn shared_keys(&mut self, customers: &[CustomerPlan]) {
        let keys = customers.iter().flat_map(|customer| {
            customer.keys.iter().map(|key| (key.to_hex(), customer.name.as_str()))
        });
        let mut keys: Vec<(String, &str)> = keys.collect();
        keys.sort_unstable();
        let mut pairs: Vec<(&str, &str)> = Vec::new();
        for same in keys.chunk_by(|a, b| a.0 == b.0) {
            let owner = same[0].1;
            pairs.extend(same.iter().filter(|(_, name)| *name != owner).map(|it| (it.1, owner)));
        }
        pairs.sort_unstable();
        pairs.dedup();
        for (name, owner) in pairs {
            let detail = format!(
                "a key is also a key of customer {}, to whom its requests are attributed",
                quoted(owner)
            );
            self.add(FindingCode::SharedKey, named("tenants", name) + ".api_keys", detail);
        }
    }

    fn changes<T>(
        &mut self,
        list: &str,
        changes: &[EntryChange<'_, T>],
        name: impl Fn(&T) -> &str,
    ) {
        for change in changes {
            let (code, entry, detail) = match change {
                EntryChange::Removed(entry) => {
                    (FindingCode::Removed, entry, "it is in the version in force only".to_owned())
                }
                EntryChange::Added(entry) => {
                    (FindingCode::Added, entry, "it is not in the version in force".to_owned())
                }
                EntryChange::Changed(entry, fields) => {
                    let keys: Vec<&str> = fields.iter().map(|field| config_key(field)).collect();
                    let detail =
                        format!("it differs from the version in force in {}", keys.join(", "));
                    (FindingCode::Changed, entry, detail)
                }
            };
            self.add(code, named(list, name(entry)), detail);
        }
    }
}
