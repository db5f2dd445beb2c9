//! The model engine stand-in: its settings, faults, handle and step loop.

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
use http::{Method, Request};
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
use crate::tally::TallyEntry;

/// The bound on the body of a fault or an order.
pub(crate) const SMALL_BODY: usize = 64 * 1024;
/// How many reports are kept for a lag.
const REPORT_LIMIT: usize = 64;
/// How often a report is kept, as a part of the lag, and its bounds.
const REPORT_SHARE: u32 = 8;
const REPORT_TICK_MIN: Duration = Duration::from_millis(10);
const REPORT_TICK_MAX: Duration = Duration::from_millis(200);

settings_struct! {
    /// Settings of the model engine.
    pub struct EngineServerSettings {
        /// Where to listen; port 0 takes any free one.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        /// The weight store to load from; without one a load takes `load_ms` alone.
        pub store: Option<SocketAddr> = None;
        /// The first incarnation; each restart adds one. 0 takes the milliseconds of the wall clock,
        /// so that processes started one after the other differ.
        pub incarnation: u64 = 0;
        /// How many adapters it can hold.
        pub adapter_slots: u32 = 8, in 1..=100_000;
        /// How many requests it takes into a batch.
        pub batch_slots: u32 = 16, in 1..=100_000;
        /// How many requests may wait for the batch.
        pub max_waiting: usize = 1_024, in 0..=1_000_000;
        /// The time of a step with one request, in microseconds.
        pub step_us: u64 = 10_000, in 100..=10_000_000;
        /// What each further request adds to a step, in microseconds.
        pub request_us: u64 = 100, in 0..=1_000_000;
        /// What each further adapter in the batch adds to a step, in microseconds.
        pub adapter_us: u64 = 200, in 0..=1_000_000;
        /// Tokens of prompts that a step reads.
        pub prefill_tokens: u32 = 2_048, in 1..=1_000_000;
        /// Tokens that the prefix cache holds.
        pub cache_tokens: u32 = 65_536, in 0..=100_000_000;
        /// How long a load takes besides the weight store's time, in milliseconds.
        pub load_ms: u64 = 50, in 0..=3_600_000;
        /// How long a load may wait for the weight store, in milliseconds.
        pub store_ms: u64 = 60_000, in 1..=3_600_000;
        /// Whether orders with an old fencing number are refused.
        pub checks_fencing: bool = true;
        /// How old load reports are, in milliseconds.
        pub report_lag_ms: u64 = 0, in 0..=3_600_000;
        /// How late cache events are, in milliseconds.
        pub event_lag_ms: u64 = 100, in 0..=3_600_000;
        /// Every so many-th cache event is lost; 0 loses none.
        pub event_gap_every: u64 = 0;
        /// Tokens generated for a request that states no number.
        pub default_tokens: u32 = 16, in 1..=1_000_000;
        /// The most tokens that a request may ask for.
        pub max_tokens: u32 = 16_384, in 1..=1_000_000;
        /// The longest body of a request, in bytes.
        pub max_body_bytes: usize = 4 * 1024 * 1024, in 1_024..=1_073_741_824;
        /// How long a run goes on that nobody reads, in milliseconds.
        pub unread_ms: u64 = 2_000, in 0..=3_600_000;
        /// How many streams can be resumed.
        pub keep_streams: usize = 4_096, in 1..=1_000_000;
    }
    check check_tokens
}

fn check_tokens(settings: &EngineServerSettings, faults: &mut FaultList) {
    if settings.default_tokens > settings.max_tokens {
        faults.add("default_tokens", "it is above max_tokens", "at most max_tokens");
    }
}

value! {
    /// Faults of the model engine; the default has none.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// A request whose body contains this text crashes the engine when it enters the batch.
        pub crash_mark: Option<String>,
        /// How long the engine refuses connections after such a crash, in milliseconds.
        pub crash_down_ms: u64,
        /// What happens to loads.
        pub load: LoadFault,
        /// How much longer each answer to a run takes, in milliseconds.
        pub delay_ms: u64,
        /// Where runs are cut.
        pub cut: RunCut,
        /// How many of the next runs are cut there.
        pub cut_next: u32,
        /// How old load reports are, in milliseconds, if more than the setting says.
        pub report_lag_ms: u64,
    }

    /// What happens to loads.
    #[derive(Copy, Default, Eq)]
    pub enum LoadFault {
        /// They work.
        #[default]
        None,
        /// They fail.
        Fail,
        /// They hang until the fault is switched off, and then fail.
        Hang,
        /// They succeed, and the answer comes so much later.
        Late {
            /// In milliseconds.
            by_ms: u64,
        },
    }

    /// Where the connection of a run is cut.
    #[derive(Copy, Default, Eq)]
    pub enum RunCut {
        /// Nowhere.
        #[default]
        None,
        /// Before it runs.
        Before,
        /// After it ran, before the answer.
        After,
        /// In the middle of the answer.
        Amid,
    }
}

/// A restart by request.
#[derive(Serialize, Deserialize)]
struct RestartBody {
    #[serde(default)]
    down_ms: u64,
}

/// A pause by request.
#[derive(Serialize, Deserialize)]
struct PauseBody {
    ms: u64,
}

/// A running model engine.
pub struct EngineHandle {
    server: HttpServer,
    shared: Arc<EngineServer>,
}

/// What the endpoints and the step loop share.
pub(crate) struct EngineServer {
    pub(crate) settings: EngineServerSettings,
    pub(crate) control: Arc<ServerControl>,
    pub(crate) store: ExchangeClient,
    /// Told when there is work for the batch.
    pub(crate) wake: Notify,
    pub(crate) inner: Mutex<EngineState>,
    /// Taken after `inner` where both are needed.
    pub(crate) extra: Mutex<EngineExtra>,
}

/// State that the step loop does not need.
#[derive(Default)]
pub(crate) struct EngineExtra {
    pub(crate) faults: EngineFaults,
    pub(crate) role: EngineRole,
    pub(crate) imports: VecDeque<(String, KvExport)>,
    pub(crate) reports: VecDeque<(Instant, EngineReport)>,
}

/// Starts a model engine.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn start_engine(settings: EngineServerSettings) -> std::io::Result<EngineHandle> {
    let control = ServerControl::new();
    let listen = settings.listen;
    let incarnation = first_incarnation(settings.incarnation);
    let exchange = ExchangeSettings { head_ms: settings.store_ms, ..Default::default() };
    let shared = Arc::new(EngineServer {
        inner: Mutex::new(EngineState::new(settings.clone(), incarnation)),
        settings,
        control: control.clone(),
        store: ExchangeClient::new(exchange),
        wake: Notify::new(),
        extra: Mutex::default(),
    });
    let server =
        HttpServer::start(listen, control.clone(), Arc::new(EngineFace(shared.clone()))).await?;
    let report = shared.lock().report();
    shared.keep_report(report);
    control.spawn(run_steps(shared.clone()));
    control.spawn(keep_reports(shared.clone()));
    Ok(EngineHandle { server, shared })
}

impl EngineHandle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.set_faults(faults);
    }

    /// What happened so far.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.shared.counters()
    }

    /// How often runs with each idempotency key began, sorted by key. Doubles may also lie in two
    /// engines, so their lists have to be added up.
    #[must_use]
    pub fn runs_by_key(&self) -> Vec<TallyEntry> {
        self.shared.lock().keys.entries().to_vec()
    }

    /// How often the request `id` began to run.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> u32 {
        self.shared.lock().ids.count(id)
    }

    /// The true state now, past all lag.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        self.shared.lock().report()
    }

    /// Restarts with nothing kept and refuses connections for `down`.
    pub fn restart(&self, down: Duration) {
        self.shared.restart(down);
    }

    /// Takes, runs and answers nothing for `time`.
    pub fn freeze(&self, time: Duration) {
        self.server.control().freeze(time);
    }

    /// Stops after the answers under way.
    pub async fn shutdown(self) {
        self.server.stop().await;
    }
}

impl FaultyServer for EngineServer {
    type Faults = EngineFaults;
    type Counters = EngineCounters;

    fn faults(&self) -> EngineFaults {
        self.extra().faults.clone()
    }

    fn set_faults(&self, faults: EngineFaults) {
        log_event("faults_set", "engine", &faults);
        self.extra().faults = faults;
        self.control.cut_hung();
    }

    fn counters(&self) -> EngineCounters {
        self.lock().counters
    }
}

impl EngineServer {
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn extra(&self) -> MutexGuard<'_, EngineExtra> {
        self.extra.lock().unwrap_or_else(PoisonError::into_inner)
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
        let down_ms = self.extra().faults.crash_down_ms;
        self.restart(Duration::from_millis(down_ms));
    }

    pub(crate) fn report_lag(&self) -> Duration {
        let fault_ms = self.extra().faults.report_lag_ms;
        Duration::from_millis(self.settings.report_lag_ms.max(fault_ms))
    }

    fn keep_report(&self, report: EngineReport) {
        let mut extra = self.extra();
        if extra.reports.len() >= REPORT_LIMIT {
            extra.reports.pop_front();
        }
        extra.reports.push_back((Instant::now(), report));
    }

    async fn handle_admin(
        &self,
        request: Request<Incoming>,
        action: &str,
    ) -> Result<Reply, Refusal> {
        match (request.method().as_str(), action) {
            ("GET", "keys") => Ok(reply::ok(&self.lock().keys.entries())),
            ("POST", "restart") => {
                let body: RestartBody = reply::read_json(request, SMALL_BODY).await?;
                self.restart(Duration::from_millis(body.down_ms));
                Ok(reply::ok(&body))
            }
            ("POST", "pause") => {
                let body: PauseBody = reply::read_json(request, SMALL_BODY).await?;
                self.control.freeze(Duration::from_millis(body.ms));
                Ok(reply::ok(&body))
            }
            _ => self.handle_faults(request, action, SMALL_BODY).await,
        }
    }
}

/// The HTTP face, which needs the engine's reference count for its tasks.
struct EngineFace(Arc<EngineServer>);

#[async_trait]
impl RequestHandler for EngineFace {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        let engine = &self.0;
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let result = match (&method, &reply::segments(&path)[..]) {
            (&Method::POST, ["v1", "completions"]) => {
                return engine.handle_run(request, false).await;
            }
            (&Method::POST, ["v1", "chat", "completions"]) => {
                return engine.handle_run(request, true).await;
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
        Ok(reply::either(result))
    }
}

fn first_incarnation(setting: u64) -> u64 {
    if setting > 0 {
        return setting;
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Runs the batch, step after step.
async fn run_steps(engine: Arc<EngineServer>) {
    let mut due = tokio::time::Instant::now();
    loop {
        engine.control.thawed().await;
        let plan = engine.lock().plan(Instant::now());
        match plan {
            StepPlan::Idle => engine.wake.notified().await,
            StepPlan::Crash => engine.crash(),
            StepPlan::Step(time) => {
                // Steps are due one after the other, so that late timers do not slow the engine;
                // after a rest or a pause they are counted from now.
                let now = tokio::time::Instant::now();
                due = due.max(now.checked_sub(time).unwrap_or(now)) + time;
                tokio::time::sleep_until(due).await;
                engine.control.thawed().await;
                engine.lock().finish_step();
            }
        }
    }
}

/// Keeps reports for as long as the lag says.
async fn keep_reports(engine: Arc<EngineServer>) {
    loop {
        let lag = engine.report_lag();
        let tick = (lag / REPORT_SHARE).clamp(REPORT_TICK_MIN, REPORT_TICK_MAX);
        if lag.is_zero() {
            engine.extra().reports.clear();
            tokio::time::sleep(REPORT_TICK_MAX).await;
            continue;
        }
        let report = engine.lock().report();
        engine.keep_report(report);
        tokio::time::sleep(tick).await;
    }
}
