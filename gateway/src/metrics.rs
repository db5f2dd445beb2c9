//! Counters and histograms of a gateway process.

use std::time::Duration;

use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Routes, services, and customers, with time series of their own. Further ones are counted together, so that
/// a configuration with thousands of them does not create thousands of time series.
const MAX_NAMES: usize = 64;
/// The label under which further names are counted.
const OTHER_NAMES: &str = "other";
/// Upper bounds of the histograms' buckets, in seconds: from a local answer to the longest
/// deadlines.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0, 10.0];

/// The metrics of a process.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    first: HistogramVec,
    whole: HistogramVec,
    stall: HistogramVec,
    pause: HistogramVec,
    late: IntCounterVec,
    sends: IntCounterVec,
    repeats: IntCounterVec,
    second_sends: IntCounterVec,
    store: IntCounterVec,
    servers: IntCounterVec,
    statements: IntCounterVec,
    room_refusals: IntCounterVec,
    closed: IntCounterVec,
    permits: IntCounterVec,
    crash_checks: IntCounterVec,
    handed_over: IntCounterVec,
    usage_reports: IntCounterVec,
    usage_faults: IntCounterVec,
    broken_streams: IntCounterVec,
    taken_up: IntCounterVec,
    ages: GaugeVec,
    peer_bytes: IntGaugeVec,
    gauges: IntGaugeVec,
    customers: IntCounterVec,
    route_names: NameList,
    service_names: NameList,
    customer_names: NameList,
}

/// Names with time series of their own, sorted.
#[derive(Debug, Default)]
struct NameList(std::sync::Mutex<Vec<String>>);

impl NameList {
    /// Returns the label for a name: itself while there is room, else [`OTHER_NAMES`].
    fn label(&self, name: &str) -> String {
        let mut names = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match names.binary_search_by(|known| known.as_str().cmp(name)) {
            Ok(_) => name.to_owned(),
            Err(at) if names.len() < MAX_NAMES => {
                names.insert(at, name.to_owned());
                name.to_owned()
            }
            Err(_) => OTHER_NAMES.to_owned(),
        }
    }
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("the names of metrics are valid");
            registry.register(Box::new(counter.clone())).expect("each metric is registered once");
            counter
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let histogram =
                HistogramVec::new(options, &["route"]).expect("the names of metrics are valid");
            registry.register(Box::new(histogram.clone())).expect("each metric is registered once");
            histogram
        };
        let gauges = IntGaugeVec::new(
            Opts::new("coltsfoothook_gateway_state", "Counts of what this VM knows."),
            &["what"],
        )
        .expect("the names of metrics are valid");
        registry.register(Box::new(gauges.clone())).expect("each metric is registered once");
        let ages = GaugeVec::new(
            Opts::new(
                "coltsfoothook_gateway_answer_age_seconds",
                "Time since the platform's store last answered, by call.",
            ),
            &["call"],
        )
        .expect("the names of metrics are valid");
        registry.register(Box::new(ages.clone())).expect("each metric is registered once");
        let peer_bytes = IntGaugeVec::new(
            Opts::new(
                "coltsfoothook_gateway_peer_bytes",
                "Bytes sent to other VMs since the start, by kind of message.",
            ),
            &["kind"],
        )
        .expect("the names of metrics are valid");
        registry.register(Box::new(peer_bytes.clone())).expect("each metric is registered once");
        Self {
            requests: counter(
                "coltsfoothook_gateway_requests_total",
                "Requests that ended, by route and outcome.",
                &["route", "outcome"],
            ),
            first: histogram(
                "coltsfoothook_gateway_first_seconds",
                "Time to a stream's first event, or to a plain answer.",
            ),
            whole: histogram("coltsfoothook_gateway_request_seconds", "Time to an answer's end."),
            stall: histogram(
                "coltsfoothook_gateway_load_stall_seconds",
                "Time that a request waited for its adapter.",
            ),
            pause: histogram(
                "coltsfoothook_gateway_pause_seconds",
                "The longest pause between two events of a stream.",
            ),
            late: counter(
                "coltsfoothook_gateway_late_total",
                "Answers that came late, by what took longest: adapter, held, server, or a pause.",
                &["route", "cause"],
            ),
            sends: counter(
                "coltsfoothook_gateway_sends_total",
                "Requests sent to servers, by result.",
                &["result"],
            ),
            repeats: counter(
                "coltsfoothook_gateway_repeats_total",
                "Requests that were to be sent again, by service: sent, or denied because the budget \
                 of repeats did not hold it.",
                &["service", "result"],
            ),
            second_sends: counter(
                "coltsfoothook_gateway_second_sends_total",
                "Requests that waited for an answer for longer than most of their route, by result: the second \
                 send `won`, `lost`, was `refused` or `failed`, or its caller left (`abandoned`); without a \
                 second send, why: `few_observations`, `late`, `loaded`, `no_server`, `share`, \
                 `repeat_budget`, `suspect`, or the server was `closed`.",
                &["result"],
            ),
            store: counter(
                "coltsfoothook_gateway_store_calls_total",
                "Calls to the platform's store.",
                &["call", "result"],
            ),
            servers: counter(
                "coltsfoothook_gateway_server_calls_total",
                "Orders and questions to servers.",
                &["call", "result"],
            ),
            statements: counter(
                "coltsfoothook_gateway_server_statements_total",
                "Responses in which a server states something about itself, by what it states; \
                 `unreadable` are those that could not be decoded.",
                &["what"],
            ),
            room_refusals: counter(
                "coltsfoothook_gateway_room_refusals_total",
                "Refusals by servers that bear few, by whether this VM knew that they do.",
                &["known"],
            ),
            permits: counter(
                "coltsfoothook_gateway_permits_total",
                "Permits for servers with limits, and for places at servers that bear few refusals: `issued` \
                 by this VM, its answers that a request is `queued` or `denied`, and permits that came \
                 `late`.",
                &["result"],
            ),
            crash_checks: counter(
                "coltsfoothook_gateway_crash_checks_total",
                "Servers at which runs broke, by whether they had crashed.",
                &["result"],
            ),
            usage_reports: counter(
                "coltsfoothook_gateway_usage_reports_total",
                "Other VMs' reports of customers' use, by what they were counted against.",
                &["basis"],
            ),
            usage_faults: counter(
                "coltsfoothook_gateway_usage_faults_total",
                "Totals of customers that fell or exceed what a limit allows (`rejected`), and bucket states \
                 that fell by more than all VMs can have been admitted (`bucket_fell`).",
                &["fault"],
            ),
            handed_over: counter(
                "coltsfoothook_gateway_handed_over_total",
                "Requests that were handed over to another VM, by result.",
                &["result"],
            ),
            broken_streams: counter(
                "coltsfoothook_gateway_broken_streams_total",
                "Streams that servers broke off, by how their answer states where it ends.",
                &["framing"],
            ),
            taken_up: counter(
                "coltsfoothook_gateway_streams_taken_up_total",
                "Streams that callers go on with, by whether the software version that began them is known.",
                &["result"],
            ),
            closed: counter(
                "coltsfoothook_gateway_closed_total",
                "Requests for which a server of their service was closed, by the reason of the one \
                 that opens first.",
                &["reason"],
            ),
            customers: counter(
                "coltsfoothook_gateway_customer_requests_total",
                "Requests of customers that ended, by outcome; `customer_limit` are refusals over a limit.",
                &["customer", "outcome"],
            ),
            ages,
            peer_bytes,
            gauges,
            registry,
            route_names: NameList::default(),
            service_names: NameList::default(),
            customer_names: NameList::default(),
        }
    }

    /// Sets the bytes sent to other VMs in messages of a kind.
    pub(crate) fn sent_bytes(&self, kind: &str, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.peer_bytes.with_label_values(&[kind]).set(bytes);
    }

    /// Counts a check of a server at which runs broke.
    pub(crate) fn crash_check(&self, crashed: bool) {
        self.crash_checks.with_label_values(&[if crashed { "crashed" } else { "up" }]).inc();
    }

    /// Counts another VM's report of customers' use.
    pub(crate) fn usage_report(&self, basis: &str) {
        self.usage_reports.with_label_values(&[basis]).inc();
    }

    /// Counts a total that was not charged.
    pub(crate) fn usage_rejected(&self) {
        self.usage_faults.with_label_values(&["rejected"]).inc();
    }

    /// Counts a bucket state that fell by more than all VMs can have been admitted.
    pub(crate) fn bucket_fell(&self) {
        self.usage_faults.with_label_values(&["bucket_fell"]).inc();
    }

    /// Counts a request that was handed over to another VM.
    pub(crate) fn handed_over(&self, result: &str) {
        self.handed_over.with_label_values(&[result]).inc();
    }

    /// Counts a stream that a server broke off.
    pub(crate) fn broken_stream(&self, framing: &str) {
        self.broken_streams.with_label_values(&[framing]).inc();
    }

    /// Counts a stream that a caller goes on with.
    pub(crate) fn taken_up(&self, result: &str) {
        self.taken_up.with_label_values(&[result]).inc();
    }

    /// Counts a request that ended.
    pub(crate) fn request(&self, route: &str, outcome: &str, timing: &RequestTiming) {
        let route = self.route_names.label(route);
        self.requests.with_label_values(&[route.as_str(), outcome]).inc();
        if let Some(first) = timing.first {
            self.first.with_label_values(&[&route]).observe(first.as_secs_f64());
        }
        self.whole.with_label_values(&[&route]).observe(timing.whole.as_secs_f64());
        if !timing.pause.is_zero() {
            self.pause.with_label_values(&[&route]).observe(timing.pause.as_secs_f64());
        }
        if let Some(cause) = timing.late {
            self.late.with_label_values(&[route.as_str(), cause]).inc();
        }
        if !timing.stall.is_zero() {
            self.stall.with_label_values(&[&route]).observe(timing.stall.as_secs_f64());
        }
    }

    /// Counts a customer's request that ended or was refused.
    pub(crate) fn customer(&self, customer: &str, outcome: &str) {
        let customer = self.customer_names.label(customer);
        self.customers.with_label_values(&[customer.as_str(), outcome]).inc();
    }

    /// Counts a request sent to a server.
    pub(crate) fn sent(&self, result: &str) {
        self.sends.with_label_values(&[result]).inc();
    }

    /// Counts a request that is sent again, or that the budget of repeats does not allow to be.
    pub(crate) fn repeat(&self, service: &str, result: &str) {
        let service = self.service_names.label(service);
        self.repeats.with_label_values(&[service.as_str(), result]).inc();
    }

    /// Counts a request that was to be sent to a second server.
    pub(crate) fn second_send(&self, result: &str) {
        self.second_sends.with_label_values(&[result]).inc();
    }

    /// Counts a call to the store.
    pub(crate) fn store_call(&self, call: &str, result: &str) {
        self.store.with_label_values(&[call, result]).inc();
    }

    /// Counts an order or a query sent to a server.
    pub(crate) fn server_call(&self, call: &str, result: &str) {
        self.servers.with_label_values(&[call, result]).inc();
    }

    /// Counts a response in which a server states something about itself.
    pub(crate) fn statement(&self, what: &str) {
        self.statements.with_label_values(&[what]).inc();
    }

    /// Counts a refusal by a server that bears few.
    pub(crate) fn room_refusal(&self, known: bool) {
        self.room_refusals.with_label_values(&[if known { "yes" } else { "no" }]).inc();
    }

    /// Counts permits, or answers to questions for them.
    pub(crate) fn permits(&self, result: &str, count: u64) {
        self.permits.with_label_values(&[result]).inc_by(count);
    }

    /// Counts a request for which a server was closed.
    pub(crate) fn closed(&self, reason: &str) {
        self.closed.with_label_values(&[reason]).inc();
    }

    /// Sets the time since the store last answered a kind of call.
    pub(crate) fn answer_age(&self, call: &str, age: Duration) {
        self.ages.with_label_values(&[call]).set(age.as_secs_f64());
    }

    /// Sets a count of what this VM knows.
    pub(crate) fn set(&self, what: &str, value: usize) {
        self.gauges.with_label_values(&[what]).set(i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Durations of the phases of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestTiming {
    /// Time to the first event, or to a plain answer. `None` if there was none.
    pub(crate) first: Option<Duration>,
    /// Time to the end.
    pub(crate) whole: Duration,
    /// Time waiting for the adapter; not observed if zero.
    pub(crate) stall: Duration,
    /// Longest time between two events; not observed if zero.
    pub(crate) pause: Duration,
    /// What took longest, if the answer came late.
    pub(crate) late: Option<&'static str>,
}
