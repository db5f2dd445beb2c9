//! Validation of a manifest.
//!
//! Acceptance is part of the fold over the configuration stream, so all VMs, whatever their
//! release, must reach the same verdict. The rules are therefore frozen for the record format that
//! carries the manifest: a stricter or laxer rule needs a new format number. See docs/OPERATORS.md,
//! "Manifest", for a description of the rules.
//!
//! ```
//! use coltsfoothook_decision::check::check_manifest;
//! use coltsfoothook_decision::manifest::ServingManifest;
//!
//! assert!(check_manifest(&ServingManifest::default()).is_empty());
//! ```

use std::fmt;
use std::ops::RangeInclusive;

use crate::manifest::{
    AdapterEntry, ClassEntry, EngineEntry, ScheduleEntry, ServerEntry, ServerKind, ServiceEntry,
    ServingManifest, StoreEntry, TenantEntry, VersionEntry,
};
use crate::value;

/// Maximum bytes in a name. Names occur in paths, log lines and slot names.
const MAX_NAME_BYTES: usize = 128;
/// Maximum bytes in the path of an adapter's weights.
const MAX_WEIGHTS_BYTES: usize = 1_024;
/// Maximum entries in a list of a manifest.
const MAX_ENTRIES: usize = 200_000;
/// Characters not allowed in names, besides white space and control characters: `@` and `#`
/// separate the parts of slot names and `/` those of paths; the others need escaping in URLs or
/// quotes.
const FORBIDDEN_NAME_CHARACTERS: &str = "@#/\\\"?%";
/// The rule for names, for error messages.
pub const NAME_RULE: &str = "1 to 128 bytes, no white space, no control characters, none of \
                             @#/\\\"?%, not \".\" or \"..\"";
/// Hexadecimal digits in the SHA-256 hash of a credential.
const CREDENTIAL_DIGITS: usize = 64;

const RATE_RANGE: RangeInclusive<f64> = 0.001..=1_000_000.0;
const WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=100.0;
const STALL_WEIGHT_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const BURST_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const ADAPTER_SLOTS_RANGE: RangeInclusive<u64> = 1..=4_096;
const BATCH_SLOTS_RANGE: RangeInclusive<u64> = 1..=65_536;
const DEADLINE_RANGE: RangeInclusive<u64> = 1..=31 * 86_400_000;
const QUEUE_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const DUE_RANGE: RangeInclusive<u64> = 0..=86_399;
const PERIOD_RANGE: RangeInclusive<u64> = 60..=31 * 86_400;
const LEAD_RANGE: RangeInclusive<u64> = 0..=86_400;
const FULL_SPEED_RANGE: RangeInclusive<u64> = 1..=1_000;
const GROUP_SERVERS_RANGE: RangeInclusive<u64> = 1..=256;
const METHOD_LENGTH_RANGE: RangeInclusive<usize> = 1..=20;

value! {
    /// One fault in a manifest or delta.
    #[derive(Eq)]
    pub struct ManifestFault {
        /// Location, such as `adapters["chiller-log"].versions["7"].weights`. Entries are given by
        /// name, or by position if the name itself is empty or too long.
        pub path: String,
        /// The kind of fault.
        pub kind: FaultKind,
        /// Description, with the offending value.
        pub detail: String,
        /// The allowed range or values.
        pub allowed: String,
    }

    /// Kinds of faults.
    #[derive(Copy, Eq)]
    pub enum FaultKind {
        /// A name, address or credential occurs twice.
        Duplicate,
        /// A reference to something that does not exist.
        Dangling,
        /// A name or text is empty, too long, or contains a forbidden character.
        BadText,
        /// A number is outside its range or not finite.
        OutOfRange,
        /// A list has too few or too many entries.
        BadLength,
        /// Two entries contradict each other.
        Conflict,
    }
}

impl fmt::Display for ManifestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; allowed: {}", self.path, self.detail, self.allowed)
    }
}

/// Validates a manifest and returns all faults, in the order of the manifest's parts.
///
/// The manifest need not be normalized, so that an offline check can report positions in the file
/// as written. Takes O(n log n) for a manifest of n entries.
#[must_use]
pub fn check_manifest(manifest: &ServingManifest) -> Vec<ManifestFault> {
    let names = KnownNames::collect(manifest);
    let mut faults = FaultCollector::default();
    faults.check_lists(manifest);
    faults.check_duplicates(manifest);
    for (at, model) in manifest.models.iter().enumerate() {
        faults.name(&entry_path("models", at, model.name.as_str()), model.name.as_str());
    }
    for (at, adapter) in manifest.adapters.iter().enumerate() {
        faults.adapter(at, adapter, &names);
    }
    for (at, tenant) in manifest.tenants.iter().enumerate() {
        faults.tenant(at, tenant);
    }
    faults.credentials(&manifest.tenants);
    for (at, server) in manifest.servers.iter().enumerate() {
        faults.server(at, server, &names);
    }
    faults.addresses(&manifest.servers);
    faults.domains(&manifest.servers);
    for (at, service) in manifest.services.iter().enumerate() {
        faults.service(at, service, &names);
    }
    for class in &manifest.classes {
        faults.class(class);
    }
    for (at, schedule) in manifest.schedules.iter().enumerate() {
        faults.schedule(at, schedule, manifest, &names);
    }
    for (at, store) in manifest.stores.iter().enumerate() {
        faults.store(at, store);
    }
    faults.float("policy.stall_weight", manifest.policy.stall_weight, &STALL_WEIGHT_RANGE);
    let group_servers = u64::from(manifest.policy.group_servers);
    faults.integer("policy.group_servers", group_servers, &GROUP_SERVERS_RANGE);
    faults.faults
}

/// Sorts all lists of a manifest, as the binary searches of [`ServingManifest`] require, and
/// lowercases credentials. A valid manifest has one normal form.
pub fn normalize(manifest: &mut ServingManifest) {
    for adapter in &mut manifest.adapters {
        normalize_adapter(adapter);
    }
    for tenant in &mut manifest.tenants {
        normalize_tenant(tenant);
    }
    for service in &mut manifest.services {
        normalize_service(service);
    }
    manifest.models.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.adapters.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.tenants.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.servers.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.services.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.classes.sort_by_key(|entry| entry.class);
    manifest.schedules.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.stores.sort_by(|a, b| a.region.cmp(&b.region));
}

fn normalize_adapter(adapter: &mut AdapterEntry) {
    adapter.versions.sort_by(|a, b| a.version.cmp(&b.version));
    adapter.tenants.sort();
}

fn normalize_tenant(tenant: &mut TenantEntry) {
    for credential in &mut tenant.credentials {
        credential.make_ascii_lowercase();
    }
    tenant.credentials.sort();
}

fn normalize_service(service: &mut ServiceEntry) {
    service.tenants.sort();
    service.repeatable_methods.sort();
}

/// Sorted names for the lookup of references.
struct KnownNames<'a> {
    models: Vec<&'a str>,
    /// Adapter names with their indices in the manifest, for schedules.
    adapters: Vec<(&'a str, usize)>,
    tenants: Vec<&'a str>,
    services: Vec<&'a str>,
    regions: Vec<&'a str>,
}

impl<'a> KnownNames<'a> {
    fn collect(manifest: &'a ServingManifest) -> Self {
        let locations = manifest.adapters.iter().enumerate();
        let mut adapters: Vec<_> = locations.map(|(at, entry)| (entry.name.as_str(), at)).collect();
        adapters.sort_unstable();
        Self {
            models: sorted(manifest.models.iter().map(|entry| entry.name.as_str())),
            adapters,
            tenants: sorted(manifest.tenants.iter().map(|entry| entry.name.as_str())),
            services: sorted(manifest.services.iter().map(|entry| entry.name.as_str())),
            regions: sorted(manifest.stores.iter().map(|entry| entry.region.as_str())),
        }
    }

    fn adapter<'m>(&self, name: &str, manifest: &'m ServingManifest) -> Option<&'m AdapterEntry> {
        let found = self.adapters.binary_search_by(|(known, _)| (*known).cmp(name)).ok()?;
        manifest.adapters.get(self.adapters[found].1)
    }
}

fn sorted<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    names
}

/// Path of an entry: by name, or by index if the name is empty or too long.
fn entry_path(list: &str, at: usize, name: &str) -> String {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return format!("{list}[{at}]");
    }
    format!("{list}[{name:?}]")
}

/// Whether `name` satisfies [`NAME_RULE`].
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.chars().all(is_name_character)
        && name != "."
        && name != ".."
}

fn is_name_character(c: char) -> bool {
    // Fast path for nearly all characters; the search below would dominate the cost of a check.
    if c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') {
        return true;
    }
    !c.is_control() && !c.is_whitespace() && !FORBIDDEN_NAME_CHARACTERS.contains(c)
}

/// Formats a value for a message: quoted, and truncated if too long.
pub(crate) fn quoted(text: &str) -> String {
    const MAX_CHARACTERS: usize = 48;
    if text.chars().count() <= MAX_CHARACTERS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_CHARACTERS).collect();
    format!("{start:?} and {} bytes more", text.len() - start.len())
}

#[derive(Default)]
struct FaultCollector {
    faults: Vec<ManifestFault>,
}

impl FaultCollector {
    fn add(&mut self, path: &str, kind: FaultKind, detail: String, allowed: String) {
        self.faults.push(ManifestFault { path: path.to_owned(), kind, detail, allowed });
    }

    fn name(&mut self, path: &str, name: &str) {
        if is_valid_name(name) {
            return;
        }
        let detail = format!("the name {} is not allowed", quoted(name));
        self.add(path, FaultKind::BadText, detail, NAME_RULE.to_owned());
    }

    fn integer(&mut self, path: &str, value: u64, range: &RangeInclusive<u64>) {
        if range.contains(&value) {
            return;
        }
        let allowed = format!("{} to {}", range.start(), range.end());
        self.add(path, FaultKind::OutOfRange, format!("{value} is out of range"), allowed);
    }

    fn float(&mut self, path: &str, value: f64, range: &RangeInclusive<f64>) {
        if range.contains(&value) {
            return;
        }
        let allowed = format!("{} to {}", range.start(), range.end());
        self.add(path, FaultKind::OutOfRange, format!("{value} is out of range"), allowed);
    }

    fn reference(&mut self, path: &str, name: &str, known: &[&str], what: &str) {
        if known.binary_search(&name).is_ok() {
            return;
        }
        let detail = format!("there is no {what} {}", quoted(name));
        self.add(
            path,
            FaultKind::Dangling,
            detail,
            format!("the name of a {what} in the manifest"),
        );
    }

    fn check_lists(&mut self, manifest: &ServingManifest) {
        let lengths = [
            ("models", manifest.models.len()),
            ("adapters", manifest.adapters.len()),
            ("tenants", manifest.tenants.len()),
            ("servers", manifest.servers.len()),
            ("services", manifest.services.len()),
            ("schedules", manifest.schedules.len()),
            ("stores", manifest.stores.len()),
        ];
        for (list, length) in lengths {
            self.length(list, length, 0);
        }
    }

    fn length(&mut self, path: &str, length: usize, min: usize) {
        if (min..=MAX_ENTRIES).contains(&length) {
            return;
        }
        let allowed = format!("{min} to {MAX_ENTRIES} entries");
        self.add(path, FaultKind::BadLength, format!("it has {length} entries"), allowed);
    }

    /// Reports each name that occurs more than once in a list, once.
    fn distinct<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str> + Clone) {
        // Accepted manifests are sorted, so comparing neighbours is usually enough.
        if names.clone().is_sorted_by(|a, b| a < b) {
            return;
        }
        let names = sorted(names);
        let mut last_reported = None;
        for pair in names.windows(2) {
            if pair[0] != pair[1] || last_reported == Some(pair[0]) {
                continue;
            }
            last_reported = Some(pair[0]);
            let detail = format!("{} stands more than once", quoted(pair[0]));
            self.add(
                &entry_path(list, 0, pair[0]),
                FaultKind::Duplicate,
                detail,
                "once".to_owned(),
            );
        }
    }

    fn check_duplicates(&mut self, manifest: &ServingManifest) {
        self.distinct("models", manifest.models.iter().map(|entry| entry.name.as_str()));
        self.distinct("adapters", manifest.adapters.iter().map(|entry| entry.name.as_str()));
        self.distinct("tenants", manifest.tenants.iter().map(|entry| entry.name.as_str()));
        self.distinct("servers", manifest.servers.iter().map(|entry| entry.name.as_str()));
        self.distinct("services", manifest.services.iter().map(|entry| entry.name.as_str()));
        self.distinct("classes", manifest.classes.iter().map(|entry| entry.class.as_str()));
        self.distinct("schedules", manifest.schedules.iter().map(|entry| entry.name.as_str()));
        self.distinct("stores", manifest.stores.iter().map(|entry| entry.region.as_str()));
    }

    fn adapter(&mut self, at: usize, adapter: &AdapterEntry, names: &KnownNames<'_>) {
        let before = self.faults.len();
        self.adapter_parts(adapter, names);
        // Almost every adapter is valid, so its path is built only for a fault.
        if self.faults.len() > before {
            let prefix = entry_path("adapters", at, adapter.name.as_str());
            for fault in &mut self.faults[before..] {
                fault.path.insert_str(0, &prefix);
            }
        }
    }

    fn adapter_parts(&mut self, adapter: &AdapterEntry, names: &KnownNames<'_>) {
        self.name(".name", adapter.name.as_str());
        self.reference(".model", adapter.model.as_str(), &names.models, "model");
        self.length(".versions", adapter.versions.len(), 1);
        self.distinct(".versions", adapter.versions.iter().map(|entry| entry.version.as_str()));
        for (at, version) in adapter.versions.iter().enumerate() {
            self.version(at, version);
        }
        if let Some(default_version) = &adapter.default_version {
            let known = adapter.versions.iter().any(|entry| entry.version == *default_version);
            if !known {
                let detail =
                    format!("the adapter has no version {}", quoted(default_version.as_str()));
                let allowed = "one of the adapter's versions".to_owned();
                self.add(".default_version", FaultKind::Dangling, detail, allowed);
            }
        }
        self.tenants(".tenants", adapter.tenants.iter().map(|name| name.as_str()), names);
    }

    fn tenants<'a>(
        &mut self,
        list: &str,
        tenants: impl Iterator<Item = &'a str> + Clone,
        names: &KnownNames<'_>,
    ) {
        self.distinct(list, tenants.clone());
        for (at, tenant) in tenants.enumerate() {
            if names.tenants.binary_search(&tenant).is_err() {
                let path = entry_path(list, at, tenant);
                self.reference(&path, tenant, &names.tenants, "tenant");
            }
        }
    }

    fn version(&mut self, at: usize, version: &VersionEntry) {
        let before = self.faults.len();
        self.name(".version", version.version.as_str());
        let weights = &version.weights;
        let valid = !weights.trim().is_empty()
            && weights.len() <= MAX_WEIGHTS_BYTES
            && !weights.contains(char::is_control);
        if !valid {
            let allowed = format!("1 to {MAX_WEIGHTS_BYTES} bytes without control characters");
            let detail = format!("the path of the weights is {}", quoted(weights));
            self.add(".weights", FaultKind::BadText, detail, allowed);
        }
        if self.faults.len() > before {
            let prefix = entry_path(".versions", at, version.version.as_str());
            for fault in &mut self.faults[before..] {
                fault.path.insert_str(0, &prefix);
            }
        }
    }

    fn tenant(&mut self, at: usize, tenant: &TenantEntry) {
        let path = entry_path("tenants", at, tenant.name.as_str());
        self.name(&format!("{path}.name"), tenant.name.as_str());
        if let Some(rate) = tenant.requests_per_s {
            self.float(&format!("{path}.requests_per_s"), rate, &RATE_RANGE);
        }
        self.integer(&format!("{path}.burst"), u64::from(tenant.burst), &BURST_RANGE);
        self.float(&format!("{path}.weight"), tenant.weight, &WEIGHT_RANGE);
        for (index, credential) in tenant.credentials.iter().enumerate() {
            let valid = credential.len() == CREDENTIAL_DIGITS
                && credential.bytes().all(|digit| digit.is_ascii_hexdigit());
            if valid {
                continue;
            }
            // The value is omitted, since it may be the credential itself instead of its hash.
            let detail = "it is not the SHA-256 hash of a credential".to_owned();
            let allowed = format!("{CREDENTIAL_DIGITS} hexadecimal digits");
            self.add(&format!("{path}.credentials[{index}]"), FaultKind::BadText, detail, allowed);
        }
    }

    /// Reports credentials used by two tenants; the customer of a request would be ambiguous.
    fn credentials(&mut self, tenants: &[TenantEntry]) {
        let mut locations = Vec::new();
        for (at, tenant) in tenants.iter().enumerate() {
            for (index, credential) in tenant.credentials.iter().enumerate() {
                locations.push((credential.to_ascii_lowercase(), at, index));
            }
        }
        locations.sort_unstable();
        for pair in locations.windows(2) {
            if pair[0].0 != pair[1].0 {
                continue;
            }
            let (_, at, index) = pair[1];
            let path = entry_path("tenants", at, tenants[at].name.as_str());
            let first = tenants[pair[0].1].name.as_str();
            let detail = format!("the credential also belongs to tenant {}", quoted(first));
            let allowed = "each credential once in the manifest".to_owned();
            self.add(
                &format!("{path}.credentials[{index}]"),
                FaultKind::Duplicate,
                detail,
                allowed,
            );
        }
    }

    fn server(&mut self, at: usize, server: &ServerEntry, names: &KnownNames<'_>) {
        let path = entry_path("servers", at, server.name.as_str());
        self.name(&format!("{path}.name"), server.name.as_str());
        self.name(&format!("{path}.domain"), server.domain.as_str());
        self.name(&format!("{path}.region"), server.region.as_str());
        let ip = server.address.ip();
        if server.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            let detail = format!("{} is not a valid server address", server.address);
            let allowed = "the IP number of one host and a port from 1 to 65535".to_owned();
            self.add(&format!("{path}.address"), FaultKind::OutOfRange, detail, allowed);
        }
        match &server.serves {
            ServerKind::Engine(engine) => self.engine(&path, server, engine, names),
            ServerKind::Service { service } => {
                let path = format!("{path}.serves.service.service");
                self.reference(&path, service.as_str(), &names.services, "service");
            }
        }
    }

    fn engine(
        &mut self,
        path: &str,
        server: &ServerEntry,
        engine: &EngineEntry,
        names: &KnownNames<'_>,
    ) {
        let engine_path = format!("{path}.serves.engine");
        let model = engine.model.as_str();
        self.reference(&format!("{engine_path}.model"), model, &names.models, "model");
        let adapter_slots = u64::from(engine.adapter_slots);
        self.integer(&format!("{engine_path}.adapter_slots"), adapter_slots, &ADAPTER_SLOTS_RANGE);
        let batch_slots = u64::from(engine.batch_slots);
        self.integer(&format!("{engine_path}.batch_slots"), batch_slots, &BATCH_SLOTS_RANGE);
        if names.regions.binary_search(&server.region.as_str()).is_err() {
            let detail = format!("region {} has no weight store", quoted(server.region.as_str()));
            let allowed = "a region listed in `stores`".to_owned();
            self.add(&format!("{path}.region"), FaultKind::Dangling, detail, allowed);
        }
    }

    /// Reports addresses used by two servers; each would receive requests and orders for the
    /// other's slots.
    fn addresses(&mut self, servers: &[ServerEntry]) {
        let locations = servers.iter().enumerate();
        let mut locations: Vec<_> = locations.map(|(at, server)| (server.address, at)).collect();
        locations.sort_unstable();
        for pair in locations.windows(2) {
            if pair[0].0 != pair[1].0 {
                continue;
            }
            let path = entry_path("servers", pair[1].1, servers[pair[1].1].name.as_str());
            let first = servers[pair[0].1].name.as_str();
            let detail = format!("server {} also has the address {}", quoted(first), pair[1].0);
            let allowed = "each address once in the manifest".to_owned();
            self.add(&format!("{path}.address"), FaultKind::Duplicate, detail, allowed);
        }
    }

    /// Reports failure domains that span regions; what fails together must be in one region.
    fn domains(&mut self, servers: &[ServerEntry]) {
        let locations = servers.iter().enumerate();
        let mut locations: Vec<_> = locations
            .map(|(at, server)| (server.domain.as_str(), server.region.as_str(), at))
            .collect();
        locations.sort_unstable();
        for pair in locations.windows(2) {
            if pair[0].0 != pair[1].0 || pair[0].1 == pair[1].1 {
                continue;
            }
            let path = entry_path("servers", pair[1].2, servers[pair[1].2].name.as_str());
            let detail = format!(
                "failure domain {} is also in region {}",
                quoted(pair[1].0),
                quoted(pair[0].1)
            );
            let allowed = "each failure domain in one region".to_owned();
            self.add(&format!("{path}.domain"), FaultKind::Conflict, detail, allowed);
        }
    }

    fn service(&mut self, at: usize, service: &ServiceEntry, names: &KnownNames<'_>) {
        let path = entry_path("services", at, service.name.as_str());
        self.name(&format!("{path}.name"), service.name.as_str());
        self.tenants(
            &format!("{path}.tenants"),
            service.tenants.iter().map(|name| name.as_str()),
            names,
        );
        for (index, method) in service.repeatable_methods.iter().enumerate() {
            let valid = METHOD_LENGTH_RANGE.contains(&method.len())
                && method.bytes().all(|byte| byte.is_ascii_uppercase());
            if !valid {
                let path = format!("{path}.repeatable_methods[{index}]");
                let detail = format!("{} is not an HTTP method", quoted(method));
                let allowed = "an HTTP method in upper case, such as GET".to_owned();
                self.add(&path, FaultKind::BadText, detail, allowed);
            }
        }
    }

    fn class(&mut self, class: &ClassEntry) {
        let path = entry_path("classes", 0, class.class.as_str());
        self.integer(&format!("{path}.deadline_ms"), class.deadline_ms, &DEADLINE_RANGE);
        self.integer(&format!("{path}.queue"), u64::from(class.queue), &QUEUE_RANGE);
    }

    fn schedule(
        &mut self,
        at: usize,
        schedule: &ScheduleEntry,
        manifest: &ServingManifest,
        names: &KnownNames<'_>,
    ) {
        let path = entry_path("schedules", at, &schedule.name);
        self.name(&format!("{path}.name"), &schedule.name);
        match names.adapter(schedule.adapter.as_str(), manifest) {
            None => {
                let detail = format!("there is no adapter {}", quoted(schedule.adapter.as_str()));
                let allowed = "the name of an adapter in the manifest".to_owned();
                self.add(&format!("{path}.adapter"), FaultKind::Dangling, detail, allowed);
            }
            Some(adapter) => {
                let known = adapter.versions.iter().any(|entry| entry.version == schedule.version);
                if !known {
                    let detail = format!(
                        "adapter {} has no version {}",
                        quoted(adapter.name.as_str()),
                        quoted(schedule.version.as_str())
                    );
                    let allowed = "one of the adapter's versions".to_owned();
                    self.add(&format!("{path}.version"), FaultKind::Dangling, detail, allowed);
                }
            }
        }
        self.integer(&format!("{path}.due_s"), u64::from(schedule.due_s), &DUE_RANGE);
        self.integer(&format!("{path}.every_s"), u64::from(schedule.every_s), &PERIOD_RANGE);
        self.integer(&format!("{path}.lead_s"), u64::from(schedule.lead_s), &LEAD_RANGE);
    }

    fn store(&mut self, at: usize, store: &StoreEntry) {
        let path = entry_path("stores", at, store.region.as_str());
        self.name(&format!("{path}.region"), store.region.as_str());
        self.float(&format!("{path}.loads_per_s"), store.loads_per_s, &RATE_RANGE);
        self.integer(&format!("{path}.full_speed"), u64::from(store.full_speed), &FULL_SPEED_RANGE);
    }
}
