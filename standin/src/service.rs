//! The plain service stand-in: a counter of tickets, readings, and an echo.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coltsfoothook_decision::value;
use coltsfoothook_settings::settings_struct;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use crate::event::log_event;
use crate::fault::FaultyServer;
use crate::metric::metrics;
use crate::reply::{self, ConnectionCut, Refusal, Reply};
use crate::server::{HttpServer, RequestHandler, ServerControl};
use crate::tally::{BoundedTally, TallyEntry};

/// The header whose value counts as the id of a ticket.
const KEY_HEADER: &str = "idempotency-key";
/// How many ids are remembered.
const ID_LIMIT: usize = 100_000;

settings_struct! {
    /// Settings of the plain service.
    pub struct ServiceServerSettings {
        /// Where to listen; port 0 takes any free one.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        /// How long each call takes, in milliseconds.
        pub call_ms: u64 = 2, in 0..=3_600_000;
        /// The longest body of a call, in bytes.
        pub max_body_bytes: usize = 1024 * 1024, in 1_024..=1_073_741_824;
    }
}

value! {
    /// Faults of the plain service; the default has none.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceFaults {
        /// How much longer each call takes, in milliseconds.
        pub delay_ms: u64,
        /// The next so many calls are cut before they take effect.
        pub cut_before: u32,
        /// The next so many calls take effect and are cut before the answer.
        pub cut_after: u32,
        /// The next so many calls are answered in part and then cut.
        pub cut_amid: u32,
        /// All calls are refused with 503.
        pub refuse: bool,
    }

    /// What happened so far.
    #[derive(Copy, Default, Eq)]
    pub struct ServiceCounters {
        /// Calls that took effect.
        pub calls: u64,
        /// Tickets made.
        pub tickets: u64,
        /// Tickets made although one with the same id was made before.
        pub doubled: u64,
    }

    /// A ticket as it was made.
    #[derive(Eq)]
    pub struct MadeTicket {
        /// The number, which sends a technician.
        pub ticket: u64,
        /// The id under which it was asked for.
        pub id: String,
    }

    #[serde(default)]
    #[derive(Default)]
    struct TicketBody {
        id: String,
    }

    struct EchoBody {
        method: String,
        path: String,
        body: String,
    }

    struct ReadingsBody {
        chillers: Vec<ChillerReading>,
    }

    struct ChillerReading {
        chiller: u32,
        celsius: f64,
    }
}

/// A running plain service.
pub struct ServiceHandle {
    server: HttpServer,
    shared: Arc<ServiceServer>,
}

struct ServiceServer {
    settings: ServiceServerSettings,
    state: Mutex<ServiceState>,
}

struct ServiceState {
    faults: ServiceFaults,
    counters: ServiceCounters,
    ids: BoundedTally,
}

/// Where a call is to be cut.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallCut {
    None,
    Before,
    After,
    Amid,
}

/// Starts a plain service.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn start_service(settings: ServiceServerSettings) -> std::io::Result<ServiceHandle> {
    let state = ServiceState {
        faults: ServiceFaults::default(),
        counters: ServiceCounters::default(),
        ids: BoundedTally::new(ID_LIMIT),
    };
    let listen = settings.listen;
    let shared = Arc::new(ServiceServer { settings, state: Mutex::new(state) });
    let server = HttpServer::start(listen, ServerControl::new(), shared.clone()).await?;
    Ok(ServiceHandle { server, shared })
}

impl ServiceHandle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.set_faults(faults);
    }

    /// What happened so far.
    #[must_use]
    pub fn counters(&self) -> ServiceCounters {
        self.shared.counters()
    }

    /// How many tickets were made for each id, sorted by id. Doubles may also lie in two services,
    /// so their lists have to be added up.
    #[must_use]
    pub fn tickets_by_id(&self) -> Vec<TallyEntry> {
        self.shared.lock().ids.entries().to_vec()
    }

    /// Takes and answers nothing for `time`.
    pub fn freeze(&self, time: Duration) {
        self.server.control().freeze(time);
    }

    /// Refuses connections for `time`.
    pub fn go_down(&self, time: Duration) {
        self.server.control().go_down(time);
    }

    /// Stops after the answers under way.
    pub async fn shutdown(self) {
        self.server.stop().await;
    }
}

impl FaultyServer for ServiceServer {
    type Faults = ServiceFaults;
    type Counters = ServiceCounters;

    fn faults(&self) -> ServiceFaults {
        self.lock().faults.clone()
    }

    fn set_faults(&self, faults: ServiceFaults) {
        log_event("faults_set", "service", &faults);
        self.lock().faults = faults;
    }

    fn counters(&self) -> ServiceCounters {
        self.lock().counters
    }
}

impl ServiceServer {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_cut(&self) -> CallCut {
        let faults = &mut self.lock().faults;
        let cuts = [
            (&mut faults.cut_before, CallCut::Before),
            (&mut faults.cut_after, CallCut::After),
            (&mut faults.cut_amid, CallCut::Amid),
        ];
        for (left, cut) in cuts {
            if *left > 0 {
                *left -= 1;
                return cut;
            }
        }
        CallCut::None
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        let cut = self.next_cut();
        if cut == CallCut::Before {
            return Err(ConnectionCut);
        }
        if self.lock().faults.refuse {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(reply::refusal(status, "refused", "out of service").into());
        }
        let answer = reply::either(self.act(request).await);
        let delay_ms = self.settings.call_ms + self.lock().faults.delay_ms;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        match cut {
            CallCut::After => Err(ConnectionCut),
            CallCut::Amid => Ok(reply::cut_amid(b"{\"ticket\":")),
            CallCut::None | CallCut::Before => Ok(answer),
        }
    }

    async fn act(&self, request: Request<Incoming>) -> Result<Reply, Refusal> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let key = reply::header_text(&request, KEY_HEADER);
        let body = reply::read_body(request, self.settings.max_body_bytes).await?;
        match (&method, path.as_str()) {
            (&Method::POST, "/tickets") => self.make_ticket(key, &body),
            (&Method::GET, "/readings") => Ok(reply::ok(&self.readings())),
            _ => {
                self.lock().counters.calls += 1;
                let body = String::from_utf8_lossy(&body).into_owned();
                Ok(reply::ok(&EchoBody { method: method.to_string(), path, body }))
            }
        }
    }

    /// Makes a ticket for every call: that none is doubled is the system's task, not the service's.
    fn make_ticket(&self, key: String, body: &[u8]) -> Result<Reply, Refusal> {
        let parsed: TicketBody =
            if body.is_empty() { TicketBody::default() } else { reply::parse_json(body)? };
        let id = if key.is_empty() { parsed.id } else { key };
        let mut state = self.lock();
        state.counters.calls += 1;
        state.counters.tickets += 1;
        let ticket = state.counters.tickets;
        if !id.is_empty() && state.ids.add(&id) > 1 {
            state.counters.doubled += 1;
        }
        Ok(reply::json(StatusCode::CREATED, &MadeTicket { ticket, id }))
    }

    fn readings(&self) -> ReadingsBody {
        let mut state = self.lock();
        state.counters.calls += 1;
        let drift = (state.counters.calls % 10) as f64 / 10.0;
        let reading = |chiller| ChillerReading { chiller, celsius: 6.0 + drift };
        ReadingsBody { chillers: (1..=3).map(reading).collect() }
    }
}

#[async_trait]
impl RequestHandler for ServiceServer {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        let path = request.uri().path().to_owned();
        match reply::segments(&path)[..] {
            ["standin", action] => {
                let limit = self.settings.max_body_bytes;
                Ok(reply::either(self.handle_faults(request, action, limit).await))
            }
            ["health"] => Ok(reply::ok(&"ok")),
            ["metrics"] => Ok(reply::either(metrics("service", &self.counters()))),
            _ => self.handle_call(request).await,
        }
    }
}
