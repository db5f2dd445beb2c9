//! Metric families, declared in one table from which docs/METRICS.md is generated.

use prometheus::{
    Gauge, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

/// Prefix of all metric names.
const NAMESPACE: &str = "coltsfoothook";

/// Bucket bounds in seconds. They range from the overhead of the system itself, about a millisecond, to a
/// minute; longer times, such as waits of audit requests, are counted only in the `+Inf` bucket.
const SECONDS_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];
/// Bucket bounds in seconds of histograms per tenant. There are fewer of them to limit the number of series,
/// because collecting all metrics twice a minute counts towards the budget of control traffic; see
/// docs/CAPACITY.md.
const TENANT_SECONDS_BUCKETS: [f64; 8] = [0.01, 0.05, 0.1, 0.2, 0.5, 2.0, 10.0, 60.0];
/// Bucket bounds of batch sizes, in requests.
const SIZE_BUCKETS: [f64; 9] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0];

/// Row of the metrics table in docs/METRICS.md.
pub(crate) struct FamilyRow {
    pub(crate) name: String,
    pub(crate) kind: &'static str,
    pub(crate) labels: &'static [&'static str],
    pub(crate) meaning: &'static str,
}

/// Metric family type that can be created and registered by name.
trait MetricFamily: Sized {
    const KIND: &'static str;

    fn register(
        registry: &Registry,
        name: &str,
        labels: &[&str],
        help: &str,
    ) -> prometheus::Result<Self>;
}

macro_rules! plain_family {
    ($($type:ty, $kind:literal, |$opts:ident, $labels:ident| $new:expr;)*) => {$(
        impl MetricFamily for $type {
            const KIND: &'static str = $kind;

            fn register(
                registry: &Registry,
                name: &str,
                $labels: &[&str],
                help: &str,
            ) -> prometheus::Result<Self> {
                let $opts = Opts::new(name, help).namespace(NAMESPACE);
                let family: Self = $new?;
                registry.register(Box::new(family.clone()))?;
                Ok(family)
            }
        }
    )*};
}

plain_family! {
    IntCounterVec, "counter", |opts, labels| IntCounterVec::new(opts, labels);
    IntGaugeVec, "gauge", |opts, labels| IntGaugeVec::new(opts, labels);
    IntGauge, "gauge", |opts, _labels| IntGauge::with_opts(opts);
    Gauge, "gauge", |opts, _labels| Gauge::with_opts(opts);
    HistogramVec, "histogram", |opts, labels| {
        let opts = HistogramOpts::from(opts).buckets(SECONDS_BUCKETS.to_vec());
        HistogramVec::new(opts, labels)
    };
    Histogram, "histogram", |opts, _labels| {
        let opts = HistogramOpts::from(opts).buckets(SIZE_BUCKETS.to_vec());
        Histogram::with_opts(opts)
    };
}

/// Histogram with a series per tenant, in coarser buckets.
pub(crate) struct TenantHistogramVec(pub(crate) HistogramVec);

impl MetricFamily for TenantHistogramVec {
    const KIND: &'static str = HistogramVec::KIND;

    fn register(
        registry: &Registry,
        name: &str,
        labels: &[&str],
        help: &str,
    ) -> prometheus::Result<Self> {
        let opts = HistogramOpts::new(name, help).namespace(NAMESPACE);
        let family = HistogramVec::new(opts.buckets(TENANT_SECONDS_BUCKETS.to_vec()), labels)?;
        registry.register(Box::new(family.clone()))?;
        Ok(Self(family))
    }
}

macro_rules! metric_families {
    ($($field:ident: $type:ty, $name:literal, [$($label:literal),*], $meaning:literal;)*) => {
        /// All metric families of a process, registered.
        pub(crate) struct MetricFamilies {
            $(#[doc = $meaning] pub(crate) $field: $type,)*
        }

        impl MetricFamilies {
            pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
                Ok(Self {
                    $($field: MetricFamily::register(registry, $name, &[$($label),*], $meaning)?,)*
                })
            }
        }

        /// Returns the rows of docs/METRICS.md in the order of the table.
        pub(crate) fn family_rows() -> Vec<FamilyRow> {
            vec![$(FamilyRow {
                name: format!("{NAMESPACE}_{}", $name),
                kind: <$type as MetricFamily>::KIND,
                labels: &[$($label),*],
                meaning: $meaning,
            }),*]
        }
    };
}

metric_families! {
    first_token: HistogramVec, "first_token_seconds", ["class"],
        "Time from a request's arrival to the first token of its answer.";
    tenant_first_token: TenantHistogramVec, "tenant_first_token_seconds", ["tenant"],
        "The same by tenant, in coarser steps.";
    between_tokens: HistogramVec, "between_tokens_seconds", ["class"],
        "Time between two tokens of an answer.";
    tenant_between_tokens: TenantHistogramVec, "tenant_between_tokens_seconds", ["tenant"],
        "The same by tenant, in coarser steps.";
    load_stall: HistogramVec, "load_stall_seconds", ["class"],
        "Time a request waited for its adapter to load; 0 where it was loaded.";
    tenant_load_stall: TenantHistogramVec, "tenant_load_stall_seconds", ["tenant"],
        "The same by tenant, in coarser steps.";
    queueing: HistogramVec, "queue_seconds", ["class"],
        "Time a request waited for room on an engine, load stalls apart.";
    tenant_queueing: TenantHistogramVec, "tenant_queue_seconds", ["tenant"],
        "The same by tenant, in coarser steps.";
    duration: HistogramVec, "request_seconds", ["class"],
        "Time from a request's arrival to the end of its answer.";
    tenant_duration: TenantHistogramVec, "tenant_request_seconds", ["tenant"],
        "The same by tenant, in coarser steps.";
    requests: IntCounterVec, "requests_total", ["class", "outcome"],
        "Requests that ended, by outcome.";
    tenant_requests: IntCounterVec, "tenant_requests_total", ["tenant", "outcome"],
        "Requests that ended, by tenant and outcome.";
    refusals: IntCounterVec, "refusals_total", ["class", "reason"],
        "Requests that were refused before they ran.";
    running: IntGaugeVec, "requests_running", ["class"],
        "Requests that this VM holds.";
    tokens: IntCounterVec, "tokens_total", ["class"],
        "Tokens passed to callers.";
    retries: IntCounterVec, "retries_total", ["reason"],
        "Attempts that followed a failed one.";
    claims: IntCounterVec, "claims_total", ["result"],
        "Claims of requests that are not repeatable.";
    invariant_checks: IntCounterVec, "invariant_checks_total", ["invariant"],
        "Checks of the rules that must always hold.";
    invariant_violations: IntCounterVec, "invariant_violations_total", ["invariant"],
        "Checks that found a rule broken. Any value above 0 calls for a report.";
    waiting: IntGaugeVec, "queue_length", ["class"],
        "Requests that wait in the groups that this VM owns.";
    batch_size: Histogram, "batch_size", [],
        "Requests that run on an engine at once, taken at each grant by its group's owner.";
    loads: IntCounterVec, "loads_total", ["result"],
        "Loads of adapters that this VM ordered.";
    load_time: HistogramVec, "load_seconds", ["result"],
        "Time from the order of a load to its end.";
    evictions: IntCounterVec, "evictions_total", ["reason"],
        "Slots that this VM ordered to be evicted.";
    orders: IntCounterVec, "orders_total", ["order", "result"],
        "Orders to engines.";
    slots: IntGaugeVec, "slots", ["state"],
        "Adapter slots in the groups that this VM owns.";
    servers: IntGaugeVec, "servers", ["state"],
        "Backend servers by state as this VM sees them: up, down or draining.";
    owned_groups: IntGauge, "owned_groups", [],
        "Groups that this VM owns.";
    suspects: IntGaugeVec, "suspects", ["state"],
        "Requests under suspicion (suspect) or condemned (condemned) for crashes.";
    members: IntGaugeVec, "members", ["state"],
        "Entry VMs by state as this VM sees them.";
    config_version: IntGauge, "config_version", [],
        "The configuration version in force at this VM; 0 for none.";
    config_fresh: IntGauge, "config_fresh", [],
        "1 while the configuration is known to be the one in force, 0 while it may be stale.";
    publications: IntCounterVec, "publications_total", ["result"],
        "Publications that operators sent to this VM.";
    log_lag: IntGaugeVec, "log_lag_records", ["stream"],
        "Records of a stream that the log holds and this VM has not read.";
    log_silence: IntGaugeVec, "log_silence_milliseconds", ["stream"],
        "Time since the log last answered a read of the stream.";
    log_appends: IntCounterVec, "log_appends_total", ["stream", "result"],
        "Appends to the log: done, failed, or unknown where the answer was lost.";
    jobs: IntGaugeVec, "jobs", ["state"],
        "Audit jobs as this VM read them: waiting, running or finished.";
    control_bytes: IntCounterVec, "control_bytes_total", ["kind"],
        "Bytes of control traffic, both ways.";
    control_messages: IntCounterVec, "control_messages_total", ["kind"],
        "Messages of control traffic, both ways.";
    resident_bytes: IntGauge, "process_resident_bytes", [],
        "Memory of the process that is resident.";
    cpu_seconds: Gauge, "process_cpu_seconds", [],
        "Processor time of the process since its start.";
    open_files: IntGauge, "process_open_files", [],
        "Files and sockets that the process holds open.";
    threads: IntGauge, "process_threads", [],
        "Threads of the process.";
    started: IntGauge, "process_start_unix_seconds", [],
        "When the process started.";
    build: IntGaugeVec, "build_info", ["version"],
        "1 for the release that runs.";
}
