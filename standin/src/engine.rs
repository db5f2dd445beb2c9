//! The model engine stand-in: settings, faults, handle, HTTP routes and step loop.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_decision::value;
use coltsfoothook_engine::{EngineRole, KvExport};
use coltsfoothook_exchange::{ExchangeClient, ExchangeSettings};
use coltsfoothook_settings::{FaultList, settings_struct};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::batch::{EngineState, StepPlan};
use crate::count::EngineCounters;
use crate::event::log_event;
use crate::fault::FaultyServer;
use crate::metric::metrics;
use crate::reply::{self, ConnectionCut, Refusal, Reply};
use crate::server::{HttpServer, RequestHandler, ServerControl};
use crate::statement::StatementFaults;
use crate::tally::TallyEntry;

/// Maximum size in bytes of the body of an order or of a call to `/standin/`.
pub(crate) const MAX_SMALL_BODY: usize = 64 * 1024;
/// Maximum number of reports kept to simulate a lag.
const REPORT_LIMIT: usize = 64;
/// The interval between kept reports is the lag divided by this, within the bounds below.
const REPORT_LAG_DIVISOR: u32 = 8;
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(200);

settings_struct! {
    /// Settings of the model engine.
    pub struct EngineServerSettings {
        /// The address to listen on; port 0 picks a free one.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        /// The weight store to load from; without it a load takes only `load_ms`.
        pub store: Option<SocketAddr> = None;
        /// The initial incarnation; each simulated restart adds one. 0 takes the wall clock in
        /// milliseconds, so that processes started one after the other differ.
        pub incarnation: u64 = 0;
        /// The number of adapters that can be loaded at once.
        pub adapter_slots: u32 = 8, in 1..=100_000;
        /// The maximum number of requests in the batch.
        pub batch_slots: u32 = 16, in 1..=100_000;
        /// The maximum number of requests that wait for the batch.
        pub max_waiting: usize = 1_024, in 0..=1_000_000;
        /// The duration of a step with one request, in microseconds.
        pub step_us: u64 = 10_000, in 100..=10_000_000;
        /// The time that each further request adds to a step, in microseconds.
        pub request_us: u64 = 100, in 0..=1_000_000;
        /// The time that each further adapter in the batch adds to a step, in microseconds.
        pub adapter_us: u64 = 200, in 0..=1_000_000;
        /// The maximum number of prompt tokens that a step reads.
        pub prefill_tokens: u32 = 2_048, in 1..=1_000_000;
        /// The capacity of the prefix cache, in tokens.
        pub cache_tokens: u32 = 65_536, in 0..=100_000_000;
        /// The duration of a load in addition to the weight store's time, in milliseconds.
        pub load_ms: u64 = 50, in 0..=3_600_000;
        /// The timeout of a request to the weight store, in milliseconds.
        pub store_ms: u64 = 60_000, in 1..=3_600_000;
        /// Whether orders with a stale fencing number, or without one, are refused.
        pub checks_fencing: bool = true;
        /// The age of load reports, in milliseconds.
        pub report_lag_ms: u64 = 0, in 0..=3_600_000;
        /// The delay of cache events, in milliseconds.
        pub event_lag_ms: u64 = 100, in 0..=3_600_000;
        /// Every n-th cache event is lost; 0 loses none.
        pub event_gap_every: u64 = 0;
        /// The number of tokens generated for a request that sets none.
        pub default_tokens: u32 = 16, in 1..=1_000_000;
        /// The maximum number of tokens that a request can set.
        pub max_tokens: u32 = 16_384, in 1..=1_000_000;
        /// The maximum size of a request's body, in bytes.
        pub max_body_bytes: usize = 4 * 1024 * 1024, in 1_024..=1_073_741_824;
        /// How long a run without a reader continues, in milliseconds.
        pub unread_ms: u64 = 2_000, in 0..=3_600_000;
        /// The maximum number of streams kept for resumption.
        pub keep_streams: usize = 4_096, in 1..=1_000_000;
    }
    check check_tokens
}

fn check_tokens(settings: &EngineServerSettings, faults: &mut FaultList) {
    if settings.default_tokens > settings.max_tokens {
        faults.add("default_tokens", "it exceeds max_tokens", "at most max_tokens");
    }
}

value! {
    /// Faults of the model engine; the default has none.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// A request whose body contains this text crashes the engine when it is in the batch.
        pub crash_mark: Option<String>,
        /// How long the engine refuses connections after such a crash, in milliseconds.
        pub crash_down_ms: u64,
        /// The fault of loads.
        pub load: LoadFault,
        /// Additional delay of each answer to a run, in milliseconds.
        pub delay_ms: u64,
        /// The stage at which the connection of a run is cut.
        pub cut: RunCut,
        /// How many of the next runs are cut at this stage.
        pub cut_next: u32,
        /// The age of load reports in milliseconds, if above the setting.
        pub report_lag_ms: u64,
        /// Whether all runs are refused with 503.
        pub refuse: bool,
        /// What the engine states about itself in its answers to runs.
        pub states: StatementFaults,
    }

    /// Fault of loads.
    #[derive(Copy, Default, Eq)]
    pub enum LoadFault {
        /// Loads succeed.
        #[default]
        None,
        /// Loads fail.
        Fail,
        /// Loads hang until the faults are set again, and then fail.
        Hang,
        /// Loads succeed, but their answer is delayed.
        Late {
            /// The delay, in milliseconds.
            by_ms: u64,
        },
    }

    /// Stage at which the connection of a run is cut.
    #[derive(Copy, Default, Eq)]
    pub enum RunCut {
        /// No cut.
        #[default]
        None,
        /// Before the request runs.
        Before,
        /// After the request ran, before the answer.
        After,
        /// In the middle of the answer.
        Amid,
    }
}

/// Body of `POST /standin/restart`.
#[derive(Serialize, Deserialize)]
struct RestartBody {
    #[serde(default)]
    down_ms: u64,
}

/// Body of `POST /standin/pause`.
#[derive(Serialize, Deserialize)]
struct PauseBody {
    ms: u64,
}

/// A running model engine stand-in; dropping it stops the server.
pub struct EngineHandle {
    server: HttpServer,
    shared: Arc<EngineServer>,
}

/// State shared by the endpoints and the step loop.
pub(crate) struct EngineServer {
    pub(crate) settings: EngineServerSettings,
    pub(crate) control: Arc<ServerControl>,
    pub(crate) store: ExchangeClient,
    /// Notified when a run is queued.
    pub(crate) wake: Notify,
    pub(crate) engine_state: Mutex<EngineState>,
    /// Locked after `engine_state` where both are needed.
    pub(crate) endpoint_state: Mutex<EndpointState>,
}

/// State of the endpoints that the step loop does not need.
#[derive(Default)]
pub(crate) struct EndpointState {
    pub(crate) faults: EngineFaults,
    pub(crate) role: EngineRole,
    /// Imported KV caches with their request ids, oldest first.
    pub(crate) imports: VecDeque<(String, KvExport)>,
    /// Reports with their times, oldest first.
    pub(crate) reports: VecDeque<(Instant, EngineReport)>,
}

/// Starts a model engine.
///
/// # Errors
///
/// Fails if the server cannot listen on the address.
pub async fn start_engine(settings: EngineServerSettings) -> std::io::Result<EngineHandle> {
    let control = ServerControl::new();
    let listen = settings.listen;
    let incarnation = initial_incarnation(settings.incarnation);
    let exchange = ExchangeSettings { head_ms: settings.store_ms, ..Default::default() };
    let shared = Arc::new(EngineServer {
        engine_state: Mutex::new(EngineState::new(settings.clone(), incarnation)),
        settings,
        control: control.clone(),
        store: ExchangeClient::new(exchange),
        wake: Notify::new(),
        endpoint_state: Mutex::default(),
    });
    let server =
        HttpServer::start(listen, control.clone(), Arc::new(EngineInterface(shared.clone())))
            .await?;
    let report = shared.lock().report();
    shared.keep_report(report);
    control.spawn(run_steps(shared.clone()));
    control.spawn(keep_reports(shared.clone()));
    Ok(EngineHandle { server, shared })
}

impl EngineHandle {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults; loads that hang fail.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.shared.counters()
    }

    /// Returns how many runs with each idempotency key were admitted to the batch, sorted by key.
    /// To find duplicates across engines, add up the counts of each key.
    #[must_use]
    pub fn runs_by_key(&self) -> Vec<TallyEntry> {
        self.shared.lock().keys.entries().to_vec()
    }

    /// Returns how often the request `id` was admitted to the batch.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> u32 {
        self.shared.lock().ids.count(id)
    }

    /// Returns a report of the present state, without the simulated lag.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        self.shared.lock().report()
    }

    /// Simulates a restart: drops all slots, runs and caches, cuts all connections and refuses new
    /// ones for `down`.
    pub fn restart(&self, down: Duration) {
        self.shared.restart(down);
    }

    /// Suspends the step loop and the answering of requests for `time`, as if the process were
    /// paused.
    pub fn freeze(&self, time: Duration) {
        self.server.control().freeze(time);
    }

    /// Stops the server, giving the answers in flight a limited time to end.
    pub async fn shutdown(self) {
        self.server.stop().await;
    }
}

impl FaultyServer for EngineServer {
    type Faults = EngineFaults;
    type Counters = EngineCounters;

    fn faults(&self) -> EngineFaults {
        self.endpoint_state().faults.clone()
    }

    fn set_faults(&self, faults: EngineFaults) {
        log_event("faults_set", "engine", &faults);
        self.endpoint_state().faults = faults;
        self.control.release_hung();
    }

    fn counters(&self) -> EngineCounters {
        self.lock().counters
    }
}

impl EngineServer {
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.engine_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn endpoint_state(&self) -> MutexGuard<'_, EndpointState> {
        self.endpoint_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn restart(&self, down: Duration) {
        let mut state = self.lock();
        state.restart();
        log_event("engine_restarted", "engine", &state.incarnation);
        drop(state);
        self.control.go_down(down);
    }

    fn crash(&self) {
        self.lock().counters.crashes += 1;
        let down_ms = self.endpoint_state().faults.crash_down_ms;
        self.restart(Duration::from_millis(down_ms));
    }

    pub(crate) fn report_lag(&self) -> Duration {
        let fault_ms = self.endpoint_state().faults.report_lag_ms;
        Duration::from_millis(self.settings.report_lag_ms.max(fault_ms))
    }

    fn keep_report(&self, report: EngineReport) {
        let mut endpoint_state = self.endpoint_state();
        if endpoint_state.reports.len() >= REPORT_LIMIT {
            endpoint_state.reports.pop_front();
        }
        endpoint_state.reports.push_back((Instant::now(), report));
    }

    async fn handle_stating_run(
        &self,
        request: Request<Incoming>,
        chat: bool,
    ) -> Result<Reply, ConnectionCut> {
        let mut answer = if self.endpoint_state().faults.refuse {
            self.lock().counters.refused_runs += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            reply::refusal(status, "refused", "out of service").into()
        } else {
            self.handle_run(request, chat).await?
        };
        self.endpoint_state().faults.states.state(&mut answer);
        Ok(answer)
    }

    async fn handle_admin(
        &self,
        request: Request<Incoming>,
        action: &str,
    ) -> Result<Reply, Refusal> {
        match (request.method().as_str(), action) {
            ("GET", "keys") => Ok(reply::ok(&self.lock().keys.entries())),
            ("POST", "restart") => {
                let body: RestartBody = reply::read_json(request, MAX_SMALL_BODY).await?;
                self.restart(Duration::from_millis(body.down_ms));
                Ok(reply::ok(&body))
            }
            ("POST", "pause") => {
                let body: PauseBody = reply::read_json(request, MAX_SMALL_BODY).await?;
                self.control.freeze(Duration::from_millis(body.ms));
                Ok(reply::ok(&body))
            }
            _ => self.handle_faults(request, action, MAX_SMALL_BODY).await,
        }
    }
}

/// The HTTP interface. It holds the `Arc` of the engine, which tasks of requests clone.
struct EngineInterface(Arc<EngineServer>);

#[async_trait]
impl RequestHandler for EngineInterface {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        let engine = &self.0;
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let result = match (&method, &reply::segments(&path)[..]) {
            (&Method::POST, ["v1", "completions"]) => {
                return engine.handle_stating_run(request, false).await;
            }
            (&Method::POST, ["v1", "chat", "completions"]) => {
                return engine.handle_stating_run(request, true).await;
            }
            (&Method::POST, ["v1", "load_lora_adapter"]) => engine.handle_load(request).await,
            (&Method::POST, ["v1", "unload_lora_adapter"]) => engine.handle_unload(request).await,
            (&Method::POST, ["v1", "role"]) => engine.handle_role(request).await,
            (&Method::GET, ["v1", "models"]) => Ok(engine.handle_models()),
            (&Method::GET, ["v1", "load_report"]) => Ok(engine.handle_report()),
            (&Method::GET, ["v1", "cache_events"]) => engine.handle_events(&request),
            (&Method::GET, ["v1", "streams", id]) => engine.handle_resume(&request, id),
            (&Method::DELETE, ["v1", "streams", id]) => engine.handle_cancel(id),
            (&Method::GET, ["v1", "kv", id]) => engine.handle_export(id),
            (&Method::PUT, ["v1", "kv", id]) => engine.handle_import(request, id).await,
            (&Method::GET, ["health"]) => Ok(reply::ok(&"ok")),
            (&Method::GET, ["metrics"]) => metrics("engine", &engine.counters()),
            (_, ["standin", action]) => engine.handle_admin(request, action).await,
            _ => Err(reply::no_endpoint()),
        };
        Ok(reply::into_reply(result))
    }
}

fn initial_incarnation(setting: u64) -> u64 {
    if setting > 0 {
        return setting;
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Runs the steps of the batch.
async fn run_steps(engine: Arc<EngineServer>) {
    let mut due = tokio::time::Instant::now();
    loop {
        engine.control.wait_unfrozen().await;
        let plan = engine.lock().plan(Instant::now());
        match plan {
            StepPlan::Idle => engine.wake.notified().await,
            StepPlan::Crash => engine.crash(),
            StepPlan::Step(time) => {
                // Each step is due relative to the previous one, so that late timers do not slow
                // the engine down; after an idle time or a freeze the first step is due at once.
                let now = tokio::time::Instant::now();
                due = due.max(now.checked_sub(time).unwrap_or(now)) + time;
                tokio::time::sleep_until(due).await;
                engine.control.wait_unfrozen().await;
                engine.lock().finish_step();
            }
        }
    }
}

/// Records reports at intervals while a report lag is set; clears them while none is.
async fn keep_reports(engine: Arc<EngineServer>) {
    loop {
        let lag = engine.report_lag();
        let interval = (lag / REPORT_LAG_DIVISOR).clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL);
        if lag.is_zero() {
            engine.endpoint_state().reports.clear();
            tokio::time::sleep(MAX_REPORT_INTERVAL).await;
            continue;
        }
        let report = engine.lock().report();
        engine.keep_report(report);
        tokio::time::sleep(interval).await;
    }
}
