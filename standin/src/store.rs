//! The weight store stand-in: a rate of loads, of which a few run at full speed at once.

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

/// The bound on the body of a fetch or a fault.
const SMALL_BODY: usize = 16 * 1024;
/// How finely the sharing of the store's speed is worked out.
const SHARE_TICK: Duration = Duration::from_millis(2);

settings_struct! {
    /// Settings of the weight store.
    pub struct StoreServerSettings {
        /// Where to listen; port 0 takes any free one.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        /// Loads that may start in a second; others wait in line.
        pub loads_per_s: f64 = 5.0, in 0.001..=1e6;
        /// Loads that run at full speed at once; more slow all down.
        pub full_speed: u32 = 2, in 1..=1_000_000;
        /// How long a load takes at full speed, in milliseconds.
        pub load_ms: u64 = 400, in 0..=3_600_000;
        /// The longest wait in line, in milliseconds; beyond it a load is refused.
        pub max_wait_ms: u64 = 30_000, in 0..=3_600_000;
    }
}

value! {
    /// Faults of the weight store; the default has none.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// It answers that it is unavailable.
        pub down: bool,
        /// It takes loads and never answers.
        pub hang: bool,
        /// How many times slower loads are; 0 and 1 mean no slower.
        pub slow_factor: u32,
        /// Paths that contain this text are not found.
        pub missing: Option<String>,
    }

    /// What happened so far.
    #[derive(Copy, Default, Eq)]
    pub struct StoreCounters {
        /// Loads that were answered with weights.
        pub loads: u64,
        /// Loads refused, also by faults.
        pub refused: u64,
        /// The most loads that ran at once.
        pub most_at_once: u64,
    }

    struct FetchBody {
        path: String,
    }
}

/// A running weight store.
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
    next_start: Instant,
    active: Vec<ActiveLoad>,
    /// Whether the task that works the loads off runs.
    working: bool,
}

struct ActiveLoad {
    left_us: f64,
    done: oneshot::Sender<()>,
}

/// Starts a weight store.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn start_store(settings: StoreServerSettings) -> std::io::Result<StoreHandle> {
    let state = StoreState {
        faults: StoreFaults::default(),
        counters: StoreCounters::default(),
        next_start: Instant::now(),
        active: Vec::new(),
        working: false,
    };
    let control = ServerControl::new();
    let listen = settings.listen;
    let shared =
        Arc::new(StoreServer { settings, state: Mutex::new(state), control: control.clone() });
    let handler = Arc::new(StoreFace(shared.clone()));
    let server = HttpServer::start(listen, control, handler).await?;
    Ok(StoreHandle { server, shared })
}

impl StoreHandle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches faults; loads that hang end with an error.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.set_faults(faults);
    }

    /// What happened so far.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        self.shared.counters()
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

impl FaultyServer for StoreServer {
    type Faults = StoreFaults;
    type Counters = StoreCounters;

    fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    fn set_faults(&self, faults: StoreFaults) {
        log_event("faults_set", "store", &faults);
        self.lock().faults = faults;
        self.control.cut_hung();
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
        let body: FetchBody = reply::read_json(request, SMALL_BODY).await?;
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

    async fn load(self: &Arc<Self>, path: &str) -> Result<(), Refusal> {
        self.refuse_by_fault(path)?;
        let start = self.reserve_start()?;
        sleep_until(start).await;
        self.refuse_by_fault(path)?;
        let hung = self.control.hung();
        if self.lock().faults.hang {
            hung.cancelled().await;
            return Err(reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "outage", "was hanging"));
        }
        let done = self.begin();
        done.await
            .map_err(|_| reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "outage", "load lost"))
    }

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

    /// The place in line: loads start one after the other at the store's rate.
    fn reserve_start(&self) -> Result<Instant, Refusal> {
        let now = Instant::now();
        let mut state = self.lock();
        let start = state.next_start.max(now);
        let wait_ms = (start - now).as_millis() as u64;
        if wait_ms > self.settings.max_wait_ms {
            return Err(reply::throttled(wait_ms));
        }
        let gap = Duration::from_secs_f64(1.0 / self.settings.loads_per_s.max(0.001));
        state.next_start = start + gap;
        Ok(start)
    }

    fn begin(self: &Arc<Self>) -> oneshot::Receiver<()> {
        let (done, wait) = oneshot::channel();
        let mut state = self.lock();
        state.active.push(ActiveLoad { left_us: self.settings.load_ms as f64 * 1_000.0, done });
        state.counters.most_at_once = state.counters.most_at_once.max(state.active.len() as u64);
        if !state.working {
            state.working = true;
            let store = self.clone();
            self.control.spawn(async move { store.work().await });
        }
        wait
    }

    /// Works the active loads off, all at the same share of the store's speed.
    async fn work(&self) {
        let mut before = Instant::now();
        loop {
            sleep(SHARE_TICK).await;
            let now = Instant::now();
            let elapsed_us = (now - before).as_micros() as f64;
            before = now;
            let mut state = self.lock();
            let slow = f64::from(state.faults.slow_factor.max(1));
            let share = speed_share(state.active.len(), self.settings.full_speed);
            let progress = elapsed_us * share / slow;
            for load in &mut state.active {
                load.left_us -= progress;
            }
            for load in state.active.extract_if(.., |load| load.left_us <= 0.0) {
                // A loader that went away does not need its weights.
                let _ = load.done.send(());
            }
            if state.active.is_empty() {
                state.working = false;
                return;
            }
        }
    }
}

/// The share of the full speed that each of `active` loads gets.
fn speed_share(active: usize, full_speed: u32) -> f64 {
    (f64::from(full_speed) / active.max(1) as f64).min(1.0)
}

/// The HTTP face, which needs the store's reference count for its task.
struct StoreFace(Arc<StoreServer>);

#[async_trait]
impl RequestHandler for StoreFace {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        let path = request.uri().path().to_owned();
        let result = match reply::segments(&path)[..] {
            ["v1", "weights"] if request.method() == Method::POST => self.0.fetch(request).await,
            ["metrics"] => metrics("store", &self.0.counters()),
            ["standin", action] => self.0.handle_faults(request, action, SMALL_BODY).await,
            _ => Err(reply::no_endpoint()),
        };
        Ok(reply::either(result))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn more_slow_all_down() {
        assert_eq!([0, 1, 2, 4].map(|active| speed_share(active, 2)), [1.0, 1.0, 1.0, 0.5]);
    }
}
