//! The plain service stand-in: endpoints that make tickets, return readings, and echo calls.

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
use crate::statement::StatementFaults;
use crate::tally::{BoundedTally, TallyEntry};

/// Header whose value is used as the id of a ticket.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum number of ticket ids that are counted.
const ID_LIMIT: usize = 100_000;

settings_struct! {
    /// Settings of the plain service.
    pub struct ServiceServerSettings {
        /// The address to listen on; port 0 picks a free one.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        /// The duration of a call, in milliseconds.
        pub call_ms: u64 = 2, in 0..=3_600_000;
        /// The maximum size of a call's body, in bytes.
        pub max_body_bytes: usize = 1024 * 1024, in 1_024..=1_073_741_824;
    }
}

value! {
    /// Faults of the plain service; the default has none.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceFaults {
        /// Additional delay of each call, in milliseconds.
        pub delay_ms: u64,
        /// The number of next calls that are cut before they take effect.
        pub cut_before: u32,
        /// The number of next calls that take effect and are cut before the answer.
        pub cut_after: u32,
        /// The number of next calls that take effect and are cut within the answer.
        pub cut_amid: u32,
        /// Whether all calls are refused with 503.
        pub refuse: bool,
        /// What the service states about itself.
        pub states: StatementFaults,
    }

    /// Counters since the start.
    #[derive(Copy, Default, Eq)]
    pub struct ServiceCounters {
        /// Calls that took effect.
        pub calls: u64,
        /// Calls that were refused.
        pub refused: u64,
        /// Tickets made.
        pub tickets: u64,
        /// Tickets whose id had been used before.
        pub doubled: u64,
    }

    /// Answer to a call that made a ticket.
    #[derive(Eq)]
    pub struct MadeTicket {
        /// The ticket's number; each ticket sends one technician.
        pub ticket: u64,
        /// The id that the call gave, empty if none.
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

/// A running plain service; dropping it stops the server.
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

/// Stage at which a call is cut.
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
/// Fails if the server cannot listen on the address.
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
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> ServiceCounters {
        self.shared.counters()
    }

    /// Returns how many tickets were made for each id, sorted by id. To find duplicates across
    /// services, add up their lists.
    #[must_use]
    pub fn tickets_by_id(&self) -> Vec<TallyEntry> {
        self.shared.lock().ids.entries().to_vec()
    }

    /// Suspends the answering of requests for `time`, as if the process were paused.
    pub fn freeze(&self, time: Duration) {
        self.server.control().freeze(time);
    }

    /// Cuts all connections and refuses new ones for `time`.
    pub fn go_down(&self, time: Duration) {
        self.server.control().go_down(time);
    }

    /// Stops the server after the answers in flight.
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

    /// Consumes the cut for the next call.
    fn next_cut(&self) -> CallCut {
        let faults = &mut self.lock().faults;
        let cuts = [
            (&mut faults.cut_before, CallCut::Before),
            (&mut faults.cut_after, CallCut::After),
            (&mut faults.cut_amid, CallCut::Amid),
        ];
        for (remaining, cut) in cuts {
            if *remaining > 0 {
                *remaining -= 1;
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
            self.lock().counters.refused += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(reply::refusal(status, "refused", "out of service").into());
        }
        let answer = reply::into_reply(self.execute(request).await);
        let delay_ms = self.settings.call_ms + self.lock().faults.delay_ms;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        match cut {
            CallCut::After => Err(ConnectionCut),
            CallCut::Amid => Ok(reply::truncated(b"{\"ticket\":")),
            CallCut::None | CallCut::Before => Ok(answer),
        }
    }

    async fn execute(&self, request: Request<Incoming>) -> Result<Reply, Refusal> {
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

    /// Makes a ticket for each call, also if its id was used before: the service does not
    /// deduplicate.
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

    /// Returns readings that change with the number of calls.
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
                Ok(reply::into_reply(self.handle_faults(request, action, limit).await))
            }
            ["health"] => Ok(reply::ok(&"ok")),
            ["metrics"] => Ok(reply::into_reply(metrics("service", &self.counters()))),
            _ => {
                let mut answer = self.handle_call(request).await?;
                self.lock().faults.states.state(&mut answer);
                Ok(answer)
            }
        }
    }
}
