//! The platform stand-in: an append-only log and the list of VMs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coltsfoothook_decision::id::LogOffset;
use coltsfoothook_decision::member::ListedVm;
use coltsfoothook_decision::value;
use coltsfoothook_platform::{AppendedRange, LogPage};
use coltsfoothook_settings::settings_struct;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::event::log_event;
use crate::fault::FaultyServer;
use crate::metric::metrics;
use crate::reply::{self, ConnectionCut, Refusal, Reply};
use crate::server::{HttpServer, RequestHandler, ServerControl};
use crate::streams::{LogStreams, PageLimit, ReadResult, StreamLimits};
use crate::vms::{VmChange, VmList};

/// Header in which the log names its era.
const ERA_HEADER: &str = "store-era";
/// Maximum size in bytes of the body of a call to `/standin/`.
const MAX_SMALL_BODY: usize = 64 * 1024;

settings_struct! {
    /// Settings of the log and the list of VMs.
    pub struct PlatformServerSettings {
        /// The address to listen on; port 0 picks a free one.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        /// The rate limit of appends, per second.
        pub appends_per_s: f64 = 400.0, in 0.001..=1e6;
        /// The burst of appends accepted after an idle time.
        pub append_burst: f64 = 100.0, in 1.0..=1e6;
        /// The retention time of records, in milliseconds.
        pub retain_ms: u64 = 7 * 24 * 3_600 * 1_000;
        /// The maximum number of records kept in a stream.
        pub retain_records: usize = 1_000_000, in 1..=100_000_000;
        /// The maximum size of an append's body, in bytes.
        pub max_append_bytes: usize = 16 * 1024 * 1024, in 1_024..=1_073_741_824;
        /// The maximum size of the records in a page, in bytes; a longer first record is still
        /// returned.
        pub max_page_bytes: usize = 8 * 1024 * 1024, in 1..=1_073_741_824;
        /// The maximum number of records in a page.
        pub max_page_records: usize = 1_000, in 1..=1_000_000;
        /// The maximum time that a read waits for a record, in milliseconds.
        pub max_wait_ms: u64 = 30_000, in 0..=3_600_000;
        /// The delay until a change appears in the list of VMs, in milliseconds.
        pub list_lag_ms: u64 = 1_000, in 0..=3_600_000;
    }
}

value! {
    /// Faults of the log and the list; the default has none.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// The outage of the log.
        pub log: OutageKind,
        /// The outage of the list of VMs.
        pub list: OutageKind,
        /// The number of next appends that take effect and whose connection is cut before the
        /// answer.
        pub lose_answers: u32,
        /// The number of next appends whose connection is cut before they take effect.
        pub drop_appends: u32,
        /// Additional delay of each answer of the log, in milliseconds.
        pub delay_ms: u64,
    }

    /// Kind of outage, which applies to all requests.
    #[derive(Copy, Default, Eq)]
    pub enum OutageKind {
        /// No outage.
        #[default]
        None,
        /// Requests are refused with 503.
        Refuse,
        /// Requests are accepted and not answered; their connections are cut when the faults are
        /// set again.
        Hang,
        /// The connection of each request is cut.
        Cut,
    }

    /// Counters since the start.
    #[derive(Copy, Default, Eq)]
    pub struct PlatformCounters {
        /// Appends that took effect.
        pub appends: u64,
        /// Records in these appends.
        pub records: u64,
        /// Appends refused by the rate limit.
        pub throttled: u64,
        /// Reads answered.
        pub reads: u64,
        /// Appends that took effect and whose answer was lost by a fault.
        pub answers_lost: u64,
    }

    struct AppendBody {
        records: Vec<String>,
    }

    struct RetentionBody {
        first_kept: LogOffset,
    }

    struct ForgetBody {
        stream: String,
        before: u64,
    }
}

#[derive(Serialize)]
struct ListBody {
    vms: Vec<ListedVm>,
}

/// A copy of the log, to come back from later.
pub struct LogCopy(LogStreams);

/// A running platform stand-in; dropping it stops the server.
pub struct PlatformHandle {
    server: HttpServer,
    shared: Arc<PlatformServer>,
}

struct PlatformServer {
    settings: PlatformServerSettings,
    state: Mutex<PlatformState>,
    /// Incremented by each append and change of faults, to wake waiting reads.
    appended: watch::Sender<u64>,
    control: Arc<ServerControl>,
}

struct PlatformState {
    streams: LogStreams,
    /// How often the log came back from a copy of itself.
    era: u32,
    vms: VmList,
    faults: PlatformFaults,
    counters: PlatformCounters,
}

/// Starts the log and the list of VMs.
///
/// # Errors
///
/// Fails if the server cannot listen on the address.
pub async fn start_platform(settings: PlatformServerSettings) -> std::io::Result<PlatformHandle> {
    let limits = StreamLimits {
        appends_per_s: settings.appends_per_s,
        append_burst: settings.append_burst.max(1.0),
        retain: Duration::from_millis(settings.retain_ms),
        retain_records: settings.retain_records,
    };
    let state = PlatformState {
        streams: LogStreams::new(limits, Instant::now()),
        era: 0,
        vms: VmList::new(),
        faults: PlatformFaults::default(),
        counters: PlatformCounters::default(),
    };
    let control = ServerControl::new();
    let listen = settings.listen;
    let shared = Arc::new(PlatformServer {
        settings,
        state: Mutex::new(state),
        appended: watch::Sender::new(0),
        control: control.clone(),
    });
    let server = HttpServer::start(listen, control, shared.clone()).await?;
    Ok(PlatformHandle { server, shared })
}

impl PlatformHandle {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults; connections of requests that hang are cut.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the present faults; counts of faults decrease as the faults occur.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.shared.lock().faults.clone()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> PlatformCounters {
        self.shared.counters()
    }

    /// Changes the list of VMs; the change appears after the list's lag.
    pub fn change_vms(&self, change: VmChange) {
        self.shared.change_vms(change);
    }

    /// Appends records as another writer would, regardless of the rate limit and faults.
    pub fn append(&self, stream: &str, records: Vec<String>) -> AppendedRange {
        self.shared.append(stream, records)
    }

    /// Drops all records of a stream before `offset`, as retention would.
    pub fn forget_before(&self, stream: &str, offset: LogOffset) {
        self.shared.lock().streams.forget_before(stream, offset.0);
    }

    /// Returns a copy of the log.
    #[must_use]
    pub fn copy_log(&self) -> LogCopy {
        LogCopy(self.shared.lock().streams.clone())
    }

    /// Lets the log come back from a copy: records appended since are gone, their offsets are given
    /// out again, and the era in its answers rises.
    pub fn restore_log(&self, copy: LogCopy) {
        let mut state = self.shared.lock();
        state.streams = copy.0;
        state.era += 1;
        drop(state);
        self.shared.appended.send_modify(|count| *count += 1);
    }

    /// Suspends the answering of requests for `time`, as if the process were paused.
    pub fn freeze(&self, time: Duration) {
        self.server.control().freeze(time);
    }

    /// Cuts all connections and refuses new ones for `time`; records are kept.
    pub fn go_down(&self, time: Duration) {
        self.server.control().go_down(time);
    }

    /// Clears the faults and stops the server, giving the answers in flight a limited time to end.
    pub async fn shutdown(self) {
        self.server.begin_stop();
        self.set_faults(PlatformFaults::default());
        self.server.stop().await;
    }
}

/// Fault of an append.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AppendFault {
    None,
    /// Cuts the connection before the append takes effect.
    Drop,
    /// Cuts the connection after the append took effect.
    LoseAnswer,
}

impl FaultyServer for PlatformServer {
    type Faults = PlatformFaults;
    type Counters = PlatformCounters;

    fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    fn set_faults(&self, faults: PlatformFaults) {
        log_event("faults_set", "platform", &faults);
        self.lock().faults = faults;
        self.control.release_hung();
        // Waiting reads check the faults again.
        self.appended.send_modify(|count| *count += 1);
    }

    fn counters(&self) -> PlatformCounters {
        self.lock().counters
    }
}

impl PlatformServer {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change_vms(&self, change: VmChange) {
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        self.lock().vms.change(change, Instant::now(), lag);
    }

    fn append(&self, stream: &str, records: Vec<String>) -> AppendedRange {
        let mut state = self.lock();
        state.counters.appends += 1;
        state.counters.records += records.len() as u64;
        let range = state.streams.append(stream, records, Instant::now());
        drop(state);
        self.appended.send_modify(|count| *count += 1);
        range
    }

    /// Applies an outage. `None` means that there is none and the request is handled.
    async fn outage(
        &self,
        kind: OutageKind,
        released: CancellationToken,
    ) -> Result<Option<Reply>, ConnectionCut> {
        match kind {
            OutageKind::None => Ok(None),
            OutageKind::Refuse => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Ok(Some(reply::refusal(status, "outage", "out of service").into()))
            }
            OutageKind::Hang => {
                released.cancelled().await;
                Err(ConnectionCut)
            }
            OutageKind::Cut => Err(ConnectionCut),
        }
    }

    async fn handle_log(
        &self,
        request: Request<Incoming>,
        stream: String,
    ) -> Result<Reply, ConnectionCut> {
        let released = self.control.hang_token();
        let faults = self.lock().faults.clone();
        if let Some(refusal) = self.outage(faults.log, released).await? {
            return Ok(refusal);
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        match *request.method() {
            Method::POST => self.handle_append(request, &stream).await,
            Method::GET => Ok(reply::into_reply(self.handle_read(&request, &stream).await)),
            _ => Ok(reply::no_endpoint().into()),
        }
    }

    async fn handle_append(
        &self,
        request: Request<Incoming>,
        stream: &str,
    ) -> Result<Reply, ConnectionCut> {
        let body: AppendBody = match reply::read_json(request, self.settings.max_append_bytes).await
        {
            Ok(body) => body,
            Err(refusal) => return Ok(refusal.into()),
        };
        if let Err(wait_ms) = self.admit() {
            return Ok(reply::throttled(wait_ms).into());
        }
        let fault = self.append_fault();
        if fault == AppendFault::Drop {
            return Err(ConnectionCut);
        }
        let range = self.append(stream, body.records);
        if fault == AppendFault::LoseAnswer {
            return Err(ConnectionCut);
        }
        Ok(reply::ok(&range))
    }

    /// Counts an append against the rate limit, or returns the milliseconds to wait if the limit is
    /// reached.
    fn admit(&self) -> Result<(), u64> {
        let mut state = self.lock();
        let admitted = state.streams.admit(Instant::now());
        if admitted.is_err() {
            state.counters.throttled += 1;
        }
        admitted
    }

    /// Consumes the fault for the next append.
    fn append_fault(&self) -> AppendFault {
        let mut state = self.lock();
        if state.faults.drop_appends > 0 {
            state.faults.drop_appends -= 1;
            return AppendFault::Drop;
        }
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            state.counters.answers_lost += 1;
            return AppendFault::LoseAnswer;
        }
        AppendFault::None
    }

    async fn handle_read(
        &self,
        request: &Request<Incoming>,
        stream: &str,
    ) -> Result<Reply, Refusal> {
        let from = reply::query_number(request, "from", 0)?;
        let max = reply::query_number(request, "max", self.settings.max_page_records as u64)?;
        let wait_ms = reply::query_number(request, "wait_ms", 0)?.min(self.settings.max_wait_ms);
        let max =
            usize::try_from(max).unwrap_or(usize::MAX).clamp(1, self.settings.max_page_records);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut appended = self.appended.subscribe();
        loop {
            match self.read_now(stream, from, max) {
                ReadResult::BehindRetention(first_kept) => {
                    return Ok(reply::json(StatusCode::GONE, &RetentionBody { first_kept }));
                }
                ReadResult::Page(page) if page.records.is_empty() => {
                    let waited = tokio::time::timeout_at(deadline, appended.changed()).await;
                    if waited.is_err() || self.control.stopping() {
                        return Ok(self.page_reply(&page));
                    }
                }
                ReadResult::Page(page) => return Ok(self.page_reply(&page)),
            }
            // An outage also applies to waiting reads.
            if self.lock().faults.log != OutageKind::None {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Err(reply::refusal(status, "outage", "out of service"));
            }
        }
    }

    fn read_now(&self, stream: &str, from: u64, max: usize) -> ReadResult {
        let limit = PageLimit { records: max, bytes: self.settings.max_page_bytes };
        self.lock().streams.read(stream, from, limit, Instant::now())
    }

    fn page_reply(&self, page: &LogPage) -> Reply {
        self.lock().counters.reads += 1;
        reply::ok(page)
    }

    async fn handle_list(&self) -> Result<Reply, ConnectionCut> {
        let released = self.control.hang_token();
        let outage = self.lock().faults.list;
        if let Some(refusal) = self.outage(outage, released).await? {
            return Ok(refusal);
        }
        let vms = self.lock().vms.visible(Instant::now());
        Ok(reply::ok(&ListBody { vms }))
    }

    async fn handle_admin(
        &self,
        request: Request<Incoming>,
        action: &str,
    ) -> Result<Reply, Refusal> {
        match (request.method().as_str(), action) {
            ("POST", "vms") => {
                let change: VmChange = reply::read_json(request, MAX_SMALL_BODY).await?;
                self.change_vms(change.clone());
                Ok(reply::ok(&change))
            }
            ("POST", "forget") => {
                let body: ForgetBody = reply::read_json(request, MAX_SMALL_BODY).await?;
                self.lock().streams.forget_before(&body.stream, body.before);
                Ok(reply::ok(&body))
            }
            _ => self.handle_faults(request, action, MAX_SMALL_BODY).await,
        }
    }
}

#[async_trait]
impl RequestHandler for PlatformServer {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        let path = request.uri().path().to_owned();
        match reply::segments(&path)[..] {
            ["v1", "streams", stream, "records"] => {
                let mut reply = self.handle_log(request, stream.to_owned()).await?;
                let era = self.lock().era;
                reply.headers_mut().insert(ERA_HEADER, era.into());
                Ok(reply)
            }
            ["v1", "vms"] if request.method() == Method::GET => self.handle_list().await,
            ["metrics"] => Ok(reply::into_reply(metrics("log", &self.counters()))),
            ["standin", action] => Ok(reply::into_reply(self.handle_admin(request, action).await)),
            _ => Ok(reply::no_endpoint().into()),
        }
    }
}
