//! The weight store stand-in: limits the rate of loads and slows concurrent loads down.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coltsfoothook_decision::value;
use coltsfoothook_settings::settings_struct;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

use crate::event::log_event;
use crate::fault::FaultyServer;
use crate::metric::metrics;
use crate::reply::{self, ConnectionCut, Refusal, Reply};
use crate::server::{HttpServer, RequestHandler, ServerControl};

/// Maximum size in bytes of the body of a fetch or of a call to `/standin/`.
const MAX_SMALL_BODY: usize = 16 * 1024;
/// Interval at which the progress of active loads is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(2);

settings_struct! {
    /// Settings of the weight store.
    pub struct StoreServerSettings {
        /// The address to listen on; port 0 picks a free one.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        /// The maximum number of loads that start per second; others are queued.
        pub loads_per_s: f64 = 5.0, in 0.001..=1e6;
        /// The number of concurrent loads that run at full speed; more slow all of them down.
        pub full_speed: u32 = 2, in 1..=1_000_000;
        /// The duration of a load at full speed, in milliseconds.
        pub load_ms: u64 = 400, in 0..=3_600_000;
        /// The maximum time in the queue, in milliseconds; a load that would wait longer is
        /// refused.
        pub max_wait_ms: u64 = 30_000, in 0..=3_600_000;
    }
}

value! {
    /// Faults of the weight store; the default has none.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// Whether all loads are refused with 503.
        pub down: bool,
        /// Whether loads hang; they fail when the faults are set again.
        pub hang: bool,
        /// Factor by which loads are slower; 0 and 1 mean full speed.
        pub slow_factor: u32,
        /// Loads whose path contains this text are refused with 404.
        pub missing: Option<String>,
    }

    /// Counters since the start.
    #[derive(Copy, Default, Eq)]
    pub struct StoreCounters {
        /// Loads that succeeded.
        pub loads: u64,
        /// Loads refused, by the limit or by faults.
        pub refused: u64,
        /// The maximum number of concurrent loads.
        pub most_at_once: u64,
    }

    struct FetchBody {
        path: String,
    }
}

/// A running weight store; dropping it stops the server.
pub struct StoreHandle {
    server: HttpServer,
    shared: Arc<StoreServer>,
}

struct StoreServer {
    settings: StoreServerSettings,
    state: Mutex<StoreState>,
    control: Arc<ServerControl>,
}

struct StoreState {
    faults: StoreFaults,
    counters: StoreCounters,
    /// When the next load may start.
    next_start: Instant,
    active: Vec<ActiveLoad>,
    /// Whether the task that advances the active loads is running.
    task_running: bool,
}

struct ActiveLoad {
    /// Remaining time at full speed, in microseconds.
    remaining_us: f64,
    done: oneshot::Sender<()>,
}

/// Starts a weight store.
///
/// # Errors
///
/// Fails if the server cannot listen on the address.
pub async fn start_store(settings: StoreServerSettings) -> std::io::Result<StoreHandle> {
    let state = StoreState {
        faults: StoreFaults::default(),
        counters: StoreCounters::default(),
        next_start: Instant::now(),
        active: Vec::new(),
        task_running: false,
    };
    let control = ServerControl::new();
    let listen = settings.listen;
    let shared =
        Arc::new(StoreServer { settings, state: Mutex::new(state), control: control.clone() });
    let handler = Arc::new(StoreInterface(shared.clone()));
    let server = HttpServer::start(listen, control, handler).await?;
    Ok(StoreHandle { server, shared })
}

impl StoreHandle {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults; loads that hang fail.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        self.shared.counters()
    }

    /// Cuts all connections and refuses new ones for `time`.
    pub fn go_down(&self, time: Duration) {
        self.server.control().go_down(time);
    }

    /// Stops the server, giving the answers in flight a limited time to end.
    pub async fn shutdown(self) {
        self.server.stop().await;
    }
}

impl FaultyServer for StoreServer {
    type Faults = StoreFaults;
    type Counters = StoreCounters;

    fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    fn set_faults(&self, faults: StoreFaults) {
        log_event("faults_set", "store", &faults);
        self.lock().faults = faults;
        self.control.release_hung();
    }

    fn counters(&self) -> StoreCounters {
        self.lock().counters
    }
}

impl StoreServer {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn fetch(self: &Arc<Self>, request: Request<Incoming>) -> Result<Reply, Refusal> {
        let body: FetchBody = reply::read_json(request, MAX_SMALL_BODY).await?;
        let result = self.load(&body.path).await;
        let mut state = self.lock();
        match result {
            Ok(()) => {
                state.counters.loads += 1;
                Ok(reply::ok(&body))
            }
            Err(refusal) => {
                state.counters.refused += 1;
                Err(refusal)
            }
        }
    }

    /// Waits for the load's start and end, or refuses it.
    async fn load(self: &Arc<Self>, path: &str) -> Result<(), Refusal> {
        self.refuse_by_fault(path)?;
        let start = self.reserve_start()?;
        sleep_until(start).await;
        self.refuse_by_fault(path)?;
        let released = self.control.hang_token();
        if self.lock().faults.hang {
            released.cancelled().await;
            return Err(reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "outage", "load hung"));
        }
        let done = self.start_load();
        done.await
            .map_err(|_| reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "outage", "load lost"))
    }

    /// Refuses a load if the store is down or the weights are missing by a fault.
    fn refuse_by_fault(&self, path: &str) -> Result<(), Refusal> {
        let faults = self.lock().faults.clone();
        if faults.down {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(reply::refusal(status, "outage", "weight store is down"));
        }
        if faults.missing.is_some_and(|text| path.contains(&text)) {
            return Err(reply::refusal(StatusCode::NOT_FOUND, "no_weights", "no such weights"));
        }
        Ok(())
    }

    /// Reserves the start time of a load according to the rate limit; refuses the
    /// load if it would wait longer than `max_wait_ms`.
    fn reserve_start(&self) -> Result<Instant, Refusal> {
        let now = Instant::now();
        let mut state = self.lock();
        let start = state.next_start.max(now);
        let wait_ms = (start - now).as_millis() as u64;
        if wait_ms > self.settings.max_wait_ms {
            return Err(reply::throttled(wait_ms));
        }
        let interval = Duration::from_secs_f64(1.0 / self.settings.loads_per_s.max(0.001));
        state.next_start = start + interval;
        Ok(start)
    }

    /// Adds an active load and starts the task that advances it, if it does not run.
    fn start_load(self: &Arc<Self>) -> oneshot::Receiver<()> {
        let (done, wait) = oneshot::channel();
        let mut state = self.lock();
        state
            .active
            .push(ActiveLoad { remaining_us: self.settings.load_ms as f64 * 1_000.0, done });
        state.counters.most_at_once = state.counters.most_at_once.max(state.active.len() as u64);
        if !state.task_running {
            state.task_running = true;
            let store = self.clone();
            self.control.spawn(async move { store.run_loads().await });
        }
        wait
    }

    /// Advances the active loads, all at the same fraction of the full speed, until none is left.
    async fn run_loads(&self) {
        let mut last_tick = Instant::now();
        loop {
            sleep(PROGRESS_INTERVAL).await;
            let now = Instant::now();
            let elapsed_us = (now - last_tick).as_micros() as f64;
            last_tick = now;
            let mut state = self.lock();
            let slowdown = f64::from(state.faults.slow_factor.max(1));
            let share = speed_share(state.active.len(), self.settings.full_speed);
            let progress = elapsed_us * share / slowdown;
            for load in &mut state.active {
                load.remaining_us -= progress;
            }
            for load in state.active.extract_if(.., |load| load.remaining_us <= 0.0) {
                // The send fails if the caller has disconnected.
                let _ = load.done.send(());
            }
            if state.active.is_empty() {
                state.task_running = false;
                return;
            }
        }
    }
}

/// Returns the fraction of the full speed at which each of `active` loads runs.
fn speed_share(active: usize, full_speed: u32) -> f64 {
    (f64::from(full_speed) / active.max(1) as f64).min(1.0)
}

/// The HTTP interface. It holds the `Arc` of the store, which the task that advances loads
/// clones.
struct StoreInterface(Arc<StoreServer>);

#[async_trait]
impl RequestHandler for StoreInterface {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        let path = request.uri().path().to_owned();
        let result = match reply::segments(&path)[..] {
            ["v1", "weights"] if request.method() == Method::POST => self.0.fetch(request).await,
            ["metrics"] => metrics("store", &self.0.counters()),
            ["standin", action] => self.0.handle_faults(request, action, MAX_SMALL_BODY).await,
            _ => Err(reply::no_endpoint()),
        };
        Ok(reply::into_reply(result))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn concurrent_loads_share_speed() {
        assert_eq!([0, 1, 2, 4].map(|active| speed_share(active, 2)), [1.0, 1.0, 1.0, 0.5]);
    }
}
