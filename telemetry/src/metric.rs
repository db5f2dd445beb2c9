//! The metrics of a process.

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
use crate::process::process_figures;

settings_struct! {
    /// What metrics tell apart.
    pub struct MetricSettings {
        /// The most tenants with series of their own; all others are counted as `other`. Each costs some
        /// 5 KB of text whenever metrics are collected.
        pub tenants: usize = 20, in 0..=1_000;
    }
}

/// All metrics of a process. It is shared by reference; every method takes `&self` and is cheap.
pub struct MetricSet {
    registry: Registry,
    families: MetricFamilies,
    tenants: TenantLabels,
    /// The counts of the last [`MetricSet::set_invariants`], whose growth alone is added.
    invariants: Mutex<[InvariantCount; InvariantName::ALL.len()]>,
}

impl MetricSet {
    /// Makes the metrics of a process, all at 0.
    ///
    /// # Panics
    ///
    /// If the table of families contradicts itself, which every test that makes a set would show.
    #[must_use]
    pub fn new(settings: &MetricSettings) -> Self {
        let registry = Registry::new();
        let families = MetricFamilies::register(&registry).expect("families are distinct");
        let set = Self {
            registry,
            families,
            tenants: TenantLabels::new(settings.tenants),
            invariants: Mutex::default(),
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        set.families.started.set(whole(now.as_secs()));
        set.families.build.with_label_values(&[env!("CARGO_PKG_VERSION")]).set(1);
        // A rule that was never broken must show as 0, so that an alert on it can tell 0 from absent.
        for name in InvariantName::ALL {
            set.families.invariant_checks.with_label_values(&[name.as_str()]);
            set.families.invariant_violations.with_label_values(&[name.as_str()]);
        }
        set
    }

    /// The metrics of a request of `tenant` and `class`, looked up once for its whole life.
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

    /// Counts a request that ended.
    pub fn count_request(&self, tenant: &str, class: RequestClass, outcome: RequestOutcome) {
        let tenant = self.tenants.label(tenant);
        self.families.requests.with_label_values(&[class.as_str(), outcome.as_str()]).inc();
        self.families.tenant_requests.with_label_values(&[tenant, outcome.as_str()]).inc();
    }

    /// Counts a request that was refused before it ran.
    pub fn count_refusal(&self, class: RequestClass, reason: RefusalReason) {
        self.families.refusals.with_label_values(&[class.as_str(), reason.as_str()]).inc();
    }

    /// Counts an attempt after a failed one.
    pub fn count_retry(&self, reason: RetryReason) {
        self.families.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a claim.
    pub fn count_claim(&self, result: ClaimResult) {
        self.families.claims.with_label_values(&[result.as_str()]).inc();
    }

    /// Counts a check of a rule outside the state machines, such as in a face.
    pub fn count_invariant(&self, name: InvariantName, holds: bool) {
        self.families.invariant_checks.with_label_values(&[name.as_str()]).inc();
        if !holds {
            self.families.invariant_violations.with_label_values(&[name.as_str()]).inc();
        }
    }

    /// Takes over the counts of the process's state machines: `log` merges those of all of them.
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

    /// How often any rule was found broken, for the process's own verdict.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let names = InvariantName::ALL.into_iter();
        names.map(|name| self.violations_of(name)).sum()
    }

    /// How often one rule was found broken.
    fn violations_of(&self, name: InvariantName) -> u64 {
        self.families.invariant_violations.with_label_values(&[name.as_str()]).get()
    }

    /// States how many requests of a class wait in the groups that this VM owns.
    pub fn set_waiting(&self, class: RequestClass, waiting: u64) {
        self.families.waiting.with_label_values(&[class.as_str()]).set(whole(waiting));
    }

    /// Takes the number of requests on an engine, at a grant.
    pub fn batch_size(&self, running: u32) {
        self.families.batch_size.observe(f64::from(running));
    }

    /// Counts a load that ended, with the time that it took.
    pub fn count_load(&self, result: LoadResult, seconds: f64) {
        self.families.loads.with_label_values(&[result.as_str()]).inc();
        self.families.load_time.with_label_values(&[result.as_str()]).observe(seconds);
    }

    /// Counts an eviction.
    pub fn count_eviction(&self, reason: EvictionReason) {
        self.families.evictions.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts an order to an engine.
    pub fn count_order(&self, order: OrderKind, result: OrderResult) {
        self.families.orders.with_label_values(&[order.as_str(), result.as_str()]).inc();
    }

    /// States how many slots of the owned groups are in a state.
    pub fn set_slots(&self, state: SlotState, slots: u64) {
        self.families.slots.with_label_values(&[state.as_str()]).set(whole(slots));
    }

    /// States how many backend servers are up, down and draining.
    pub fn set_servers(&self, up: u64, down: u64, draining: u64) {
        let servers = &self.families.servers;
        servers.with_label_values(&["up"]).set(whole(up));
        servers.with_label_values(&["down"]).set(whole(down));
        servers.with_label_values(&["draining"]).set(whole(draining));
    }

    /// States how many groups this VM owns.
    pub fn set_owned_groups(&self, groups: u64) {
        self.families.owned_groups.set(whole(groups));
    }

    /// States how many requests are under suspicion and condemned.
    pub fn set_suspects(&self, suspect: u64, condemned: u64) {
        self.families.suspects.with_label_values(&["suspect"]).set(whole(suspect));
        self.families.suspects.with_label_values(&["condemned"]).set(whole(condemned));
    }

    /// States how many entry VMs are in a state.
    pub fn set_members(&self, state: MemberState, members: u64) {
        self.families.members.with_label_values(&[member_state(state)]).set(whole(members));
    }

    /// States the configuration version in force, and whether it is known to be the newest.
    pub fn set_config(&self, version: ConfigVersion, fresh: bool) {
        self.families.config_version.set(whole(version.0));
        self.families.config_fresh.set(i64::from(fresh));
    }

    /// Counts a publication that an operator sent.
    pub fn count_publication(&self, result: PublishResult) {
        self.families.publications.with_label_values(&[result.as_str()]).inc();
    }

    /// States how far the reading of a stream lags.
    pub fn set_log_lag(&self, stream: StreamName, records: u64, since_answer_ms: u64) {
        self.families.log_lag.with_label_values(&[stream.as_str()]).set(whole(records));
        self.families.log_silence.with_label_values(&[stream.as_str()]).set(whole(since_answer_ms));
    }

    /// Counts an append to a stream.
    pub fn count_append(&self, stream: StreamName, result: AppendResult) {
        self.families.log_appends.with_label_values(&[stream.as_str(), result.as_str()]).inc();
    }

    /// States how many audit jobs wait, run and are finished.
    pub fn set_jobs(&self, waiting: u64, running: u64, finished: u64) {
        let jobs = &self.families.jobs;
        jobs.with_label_values(&["waiting"]).set(whole(waiting));
        jobs.with_label_values(&["running"]).set(whole(running));
        jobs.with_label_values(&["finished"]).set(whole(finished));
    }

    /// Counts many messages of control traffic at once.
    pub fn add_control(&self, kind: TrafficKind, messages: u64, bytes: u64) {
        self.families.control_messages.with_label_values(&[kind.as_str()]).inc_by(messages);
        self.families.control_bytes.with_label_values(&[kind.as_str()]).inc_by(bytes);
    }

    /// All metrics in Prometheus's text format, with the process's figures as of now.
    #[must_use]
    pub fn text(&self) -> String {
        let figures = process_figures();
        self.families.resident_bytes.set(whole(figures.resident_bytes));
        self.families.cpu_seconds.set(figures.cpu_seconds);
        self.families.open_files.set(whole(figures.open_files));
        self.families.threads.set(whole(figures.threads));
        let mut text = String::new();
        // Families that have no series yet are no error; nothing else can fail with text.
        let _ = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text);
        text
    }
}

/// The same measure by class and by tenant. One family by both would have three times the series.
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

/// The metrics of one request. While it lives, the request counts as running.
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
    /// Takes the seconds from arrival to the first token.
    pub fn first_token(&self, seconds: f64) {
        self.first_token.observe(seconds);
        self.tokens.inc();
    }

    /// Takes the seconds since the token before.
    pub fn next_token(&self, seconds: f64) {
        self.between_tokens.observe(seconds);
        self.tokens.inc();
    }

    /// Takes the seconds that the request waited for its adapter and for room on an engine.
    pub fn waited(&self, stall_seconds: f64, queue_seconds: f64) {
        self.load_stall.observe(stall_seconds);
        self.queueing.observe(queue_seconds);
    }

    /// Takes the seconds from arrival to the end.
    pub fn ended(&self, seconds: f64) {
        self.duration.observe(seconds);
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.running.dec();
    }
}

/// A count as a gauge holds it.
fn whole(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
