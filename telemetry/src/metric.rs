//! Metrics of a process.

use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_decision::invariant::{InvariantCount, InvariantLog, InvariantName};
use coltsfoothook_decision::member::MemberState;
use coltsfoothook_decision::outcome::{RefusalReason, RequestClass, RequestOutcome};
use coltsfoothook_settings::settings_struct;
use prometheus::{Histogram, HistogramVec, IntCounter, IntGauge, Registry, TextEncoder};

use crate::family::{MetricFamilies, TenantHistogramVec};
use crate::label::{
    AppendResult, ClaimResult, EvictionReason, LoadResult, OrderKind, OrderResult, PublishResult,
    RetryReason, SlotState, StreamName, TenantLabels, TrafficKind, member_state,
};
use crate::process::process_usage;

settings_struct! {
    /// Settings of the exported metrics.
    pub struct MetricSettings {
        /// Maximum number of tenants with series of their own; all others are counted as `other`. Each adds
        /// some 5 KB of text to every collection of metrics.
        pub tenants: usize = 20, in 0..=1_000;
    }
}

/// All metrics of a process. Methods take `&self` and may be called from any thread.
pub struct MetricSet {
    registry: Registry,
    families: MetricFamilies,
    tenants: TenantLabels,
    /// Counts passed to the last [`MetricSet::set_invariants`]; the next call adds only the increase.
    invariants: Mutex<[InvariantCount; InvariantName::ALL.len()]>,
}

impl MetricSet {
    /// Creates and registers the metrics of a process, with all counters at 0.
    ///
    /// # Panics
    ///
    /// Panics if the table of families is inconsistent, for example if a name occurs twice. This does not depend on
    /// `settings`, so any test that creates a set detects it.
    #[must_use]
    pub fn new(settings: &MetricSettings) -> Self {
        let registry = Registry::new();
        let families = MetricFamilies::register(&registry)
            .expect("metric families have distinct names and valid labels");
        let set = Self {
            registry,
            families,
            tenants: TenantLabels::new(settings.tenants),
            invariants: Mutex::default(),
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        set.families.started.set(gauge_value(now.as_secs()));
        set.families.build.with_label_values(&[env!("CARGO_PKG_VERSION")]).set(1);
        // Export invariants that were never violated as 0, so that an alert can distinguish 0 from absent.
        for name in InvariantName::ALL {
            set.families.invariant_checks.with_label_values(&[name.as_str()]);
            set.families.invariant_violations.with_label_values(&[name.as_str()]);
        }
        set
    }

    /// Returns the metrics of a new request and counts it as running until they are dropped. Series are
    /// looked up once here rather than on each observation.
    #[must_use]
    pub fn request(&self, tenant: &str, class: RequestClass) -> RequestMetrics {
        let tenant = self.tenants.label(tenant);
        let families = &self.families;
        let running = families.running.with_label_values(&[class.as_str()]);
        running.inc();
        let pair = |by_class: &HistogramVec, by_tenant: &TenantHistogramVec| HistogramPair {
            class: by_class.with_label_values(&[class.as_str()]),
            tenant: by_tenant.0.with_label_values(&[tenant]),
        };
        RequestMetrics {
            first_token: pair(&families.first_token, &families.tenant_first_token),
            between_tokens: pair(&families.between_tokens, &families.tenant_between_tokens),
            load_stall: pair(&families.load_stall, &families.tenant_load_stall),
            queueing: pair(&families.queueing, &families.tenant_queueing),
            duration: pair(&families.duration, &families.tenant_duration),
            tokens: families.tokens.with_label_values(&[class.as_str()]),
            running,
        }
    }

    /// Counts a request that ended, by class and by tenant.
    pub fn count_request(&self, tenant: &str, class: RequestClass, outcome: RequestOutcome) {
        let tenant = self.tenants.label(tenant);
        self.families.requests.with_label_values(&[class.as_str(), outcome.as_str()]).inc();
        self.families.tenant_requests.with_label_values(&[tenant, outcome.as_str()]).inc();
    }

    /// Counts a request that was refused before it ran.
    pub fn count_refusal(&self, class: RequestClass, reason: RefusalReason) {
        self.families.refusals.with_label_values(&[class.as_str(), reason.as_str()]).inc();
    }

    /// Counts an attempt that follows a failed one.
    pub fn count_retry(&self, reason: RetryReason) {
        self.families.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a claim of a request that is not repeatable.
    pub fn count_claim(&self, result: ClaimResult) {
        self.families.claims.with_label_values(&[result.as_str()]).inc();
    }

    /// Counts a check of an invariant that was made outside the state machines, such as in a listener.
    pub fn count_invariant(&self, name: InvariantName, holds: bool) {
        self.families.invariant_checks.with_label_values(&[name.as_str()]).inc();
        if !holds {
            self.families.invariant_violations.with_label_values(&[name.as_str()]).inc();
        }
    }

    /// Adds the increase of the state machines' counts since the last call. `log` holds the totals of all
    /// state machines of the process.
    pub fn set_invariants(&self, log: &InvariantLog) {
        let mut last = self.invariants.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, last) in InvariantName::ALL.into_iter().zip(last.iter_mut()) {
            let count = log.count(name);
            let checks = self.families.invariant_checks.with_label_values(&[name.as_str()]);
            checks.inc_by(count.checked.saturating_sub(last.checked));
            let violations = self.families.invariant_violations.with_label_values(&[name.as_str()]);
            violations.inc_by(count.violated.saturating_sub(last.violated));
            *last = count;
        }
    }

    /// Returns the number of violations of all invariants so far.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let names = InvariantName::ALL.into_iter();
        names.map(|name| self.violations_of(name)).sum()
    }

    /// Returns the number of violations of one invariant so far.
    fn violations_of(&self, name: InvariantName) -> u64 {
        self.families.invariant_violations.with_label_values(&[name.as_str()]).get()
    }

    /// Sets the number of requests of a class that wait in the groups that this VM owns.
    pub fn set_waiting(&self, class: RequestClass, waiting: u64) {
        self.families.waiting.with_label_values(&[class.as_str()]).set(gauge_value(waiting));
    }

    /// Records the number of requests running on an engine at the time of a grant.
    pub fn batch_size(&self, running: u32) {
        self.families.batch_size.observe(f64::from(running));
    }

    /// Counts a load that ended and records its duration.
    pub fn count_load(&self, result: LoadResult, seconds: f64) {
        self.families.loads.with_label_values(&[result.as_str()]).inc();
        self.families.load_time.with_label_values(&[result.as_str()]).observe(seconds);
    }

    /// Counts an eviction that this VM ordered.
    pub fn count_eviction(&self, reason: EvictionReason) {
        self.families.evictions.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts an order to an engine by its result.
    pub fn count_order(&self, order: OrderKind, result: OrderResult) {
        self.families.orders.with_label_values(&[order.as_str(), result.as_str()]).inc();
    }

    /// Sets the number of slots of the owned groups that are in `state`.
    pub fn set_slots(&self, state: SlotState, slots: u64) {
        self.families.slots.with_label_values(&[state.as_str()]).set(gauge_value(slots));
    }

    /// Sets the numbers of backend servers that are up, down and draining.
    pub fn set_servers(&self, up: u64, down: u64, draining: u64) {
        let servers = &self.families.servers;
        servers.with_label_values(&["up"]).set(gauge_value(up));
        servers.with_label_values(&["down"]).set(gauge_value(down));
        servers.with_label_values(&["draining"]).set(gauge_value(draining));
    }

    /// Sets the number of groups that this VM owns.
    pub fn set_owned_groups(&self, groups: u64) {
        self.families.owned_groups.set(gauge_value(groups));
    }

    /// Sets the numbers of suspect requests and of condemned requests, which do not count as suspect.
    pub fn set_suspects(&self, suspect: u64, condemned: u64) {
        self.families.suspects.with_label_values(&["suspect"]).set(gauge_value(suspect));
        self.families.suspects.with_label_values(&["condemned"]).set(gauge_value(condemned));
    }

    /// Sets the number of entry VMs that are in `state`.
    pub fn set_members(&self, state: MemberState, members: u64) {
        self.families.members.with_label_values(&[member_state(state)]).set(gauge_value(members));
    }

    /// Sets the configuration version in force (0 for none), and whether it is known to be the newest.
    pub fn set_config(&self, version: ConfigVersion, fresh: bool) {
        self.families.config_version.set(gauge_value(version.0));
        self.families.config_fresh.set(i64::from(fresh));
    }

    /// Counts a publication that an operator sent to this VM.
    pub fn count_publication(&self, result: PublishResult) {
        self.families.publications.with_label_values(&[result.as_str()]).inc();
    }

    /// Sets how many records of a stream have not been read yet, and the milliseconds since the log last
    /// answered a read of it.
    pub fn set_log_lag(&self, stream: StreamName, records: u64, since_answer_ms: u64) {
        self.families.log_lag.with_label_values(&[stream.as_str()]).set(gauge_value(records));
        self.families
            .log_silence
            .with_label_values(&[stream.as_str()])
            .set(gauge_value(since_answer_ms));
    }

    /// Counts an append to a stream by its result.
    pub fn count_append(&self, stream: StreamName, result: AppendResult) {
        self.families.log_appends.with_label_values(&[stream.as_str(), result.as_str()]).inc();
    }

    /// Sets the numbers of audit jobs that are waiting, running and finished.
    pub fn set_jobs(&self, waiting: u64, running: u64, finished: u64) {
        let jobs = &self.families.jobs;
        jobs.with_label_values(&["waiting"]).set(gauge_value(waiting));
        jobs.with_label_values(&["running"]).set(gauge_value(running));
        jobs.with_label_values(&["finished"]).set(gauge_value(finished));
    }

    /// Adds to the counts of control messages and of their bytes.
    pub fn add_control(&self, kind: TrafficKind, messages: u64, bytes: u64) {
        self.families.control_messages.with_label_values(&[kind.as_str()]).inc_by(messages);
        self.families.control_bytes.with_label_values(&[kind.as_str()]).inc_by(bytes);
    }

    /// Returns all metrics in the Prometheus text format, after an update of the process's resource usage.
    #[must_use]
    pub fn text(&self) -> String {
        let usage = process_usage();
        self.families.resident_bytes.set(gauge_value(usage.resident_bytes));
        self.families.cpu_seconds.set(usage.cpu_seconds);
        self.families.open_files.set(gauge_value(usage.open_files));
        self.families.threads.set(gauge_value(usage.threads));
        let mut text = String::new();
        // Cannot fail: `gather` omits families without series, and writing to a string is infallible.
        let _ = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text);
        text
    }
}

/// Histograms of one quantity by class and by tenant. A single family with both labels would have a series
/// for each of the three classes of each tenant.
#[derive(Debug)]
struct HistogramPair {
    class: Histogram,
    tenant: Histogram,
}

impl HistogramPair {
    fn observe(&self, seconds: f64) {
        self.class.observe(seconds);
        self.tenant.observe(seconds);
    }
}

/// Metrics of one request, which counts as running until this is dropped.
#[derive(Debug)]
pub struct RequestMetrics {
    first_token: HistogramPair,
    between_tokens: HistogramPair,
    load_stall: HistogramPair,
    queueing: HistogramPair,
    duration: HistogramPair,
    tokens: IntCounter,
    running: IntGauge,
}

impl RequestMetrics {
    /// Records the first token and the seconds from the request's arrival to it.
    pub fn first_token(&self, seconds: f64) {
        self.first_token.observe(seconds);
        self.tokens.inc();
    }

    /// Records a further token and the seconds since the previous one.
    pub fn next_token(&self, seconds: f64) {
        self.between_tokens.observe(seconds);
        self.tokens.inc();
    }

    /// Records the seconds that the request waited for its adapter to load, and for capacity on an engine.
    pub fn waited(&self, stall_seconds: f64, queue_seconds: f64) {
        self.load_stall.observe(stall_seconds);
        self.queueing.observe(queue_seconds);
    }

    /// Records the seconds from the request's arrival to the end of its answer.
    pub fn ended(&self, seconds: f64) {
        self.duration.observe(seconds);
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.running.dec();
    }
}

/// Converts a count to a gauge value, saturating at `i64::MAX`.
fn gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
