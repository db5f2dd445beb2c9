//! Decides when a request that waits for its answer is sent to a second server as well.
//!
//! docs/design/hedged-requests.md has the alternatives that were considered.

use std::collections::VecDeque;

use crate::backend::BackendTable;
use crate::budget::{RepeatBounds, RepeatBudget};
use crate::id::{ServerName, ServiceName, TimePoint};
use crate::routing::ServingRoute;
use crate::value;

/// How long an observed wait counts, in microseconds.
const WINDOW_US: u64 = 10_000_000;
/// Minimum number of observations of a route. Fewer say little about its slowest twentieth.
const MIN_SAMPLES: usize = 50;
/// Maximum number of observations that are kept of a route; above it the oldest are dropped first.
const MAX_SAMPLES: usize = 512;
/// How long a computed quantile is used, in microseconds.
const QUANTILE_TTL_US: u64 = 250_000;
/// Fraction of a service's slots in use from which it counts as loaded. Second sends would then take
/// slots from first ones.
const MAX_LOAD: f64 = 0.8;

value! {
    /// How many requests are sent to a second server, and when.
    #[derive(Copy)]
    pub struct SecondSendBounds {
        /// Second sends in hundredths of a service's requests; 0 turns them off.
        pub percent: f64,
        /// The fraction of a route's requests that are answered before a second send is considered.
        pub quantile: f64,
    }
}

/// A quantile of a route's waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitQuantile {
    /// The wait in microseconds.
    pub wait_us: u64,
    /// The number of observations.
    pub samples: usize,
    /// When it was computed.
    pub at: TimePoint,
}

impl WaitQuantile {
    /// Returns when a request that was sent at `sent_at` has waited for longer.
    #[must_use]
    pub fn exceeded_at(&self, sent_at: TimePoint) -> TimePoint {
        sent_at.plus(self.wait_us + 1)
    }
}

/// Running requests and slots of a service's servers, as far as known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Requests that run at them.
    pub running: u64,
    /// Requests that they run at once.
    pub slots: u64,
}

/// A request that was sent to one server and has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest<'a> {
    /// Its route.
    pub route: &'a ServingRoute,
    /// Its service.
    pub service: &'a ServiceName,
    /// When it was received.
    pub started: TimePoint,
    /// When its answer is due.
    pub due: TimePoint,
    /// When it was sent.
    pub sent_at: TimePoint,
}

/// What to do with a request that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SecondSendStep {
    /// Decide again at this time.
    Wait {
        /// When the request has waited for longer than most.
        until: TimePoint,
    },
    /// Send it to the second server. This is counted.
    Send {
        /// The second server.
        server: ServerName,
        /// What the request has waited longer than.
        quantile: WaitQuantile,
    },
    /// Send it to no second server, for this reason.
    Deny(&'static str),
}

/// Returns whether a request on a route may be sent to one more server while another one runs it.
/// `ran` is the number of servers that may have begun to run it before.
#[must_use]
pub fn may_send_second(route: &ServingRoute, ran: u32) -> bool {
    route.repeat.may_retry() && ran + 1 < route.max_servers
}

#[derive(Debug)]
struct RouteWaits {
    route: String,
    /// When they were observed, and the waits in microseconds.
    samples: VecDeque<(TimePoint, u64)>,
    quantile: Option<WaitQuantile>,
}

impl RouteWaits {
    fn drop_old(&mut self, now: TimePoint) {
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > WINDOW_US) {
            self.samples.pop_front();
        }
    }

    fn compute(&mut self, quantile: f64, now: TimePoint) -> Option<WaitQuantile> {
        self.drop_old(now);
        let mut waits: Vec<u64> = self.samples.iter().map(|(_, wait_us)| *wait_us).collect();
        let samples = waits.len();
        if samples < MIN_SAMPLES {
            return None;
        }
        let rank = ((samples as f64 * quantile) as usize).min(samples - 1);
        let (_, wait_us, _) = waits.select_nth_unstable(rank);
        Some(WaitQuantile { wait_us: *wait_us, samples, at: now })
    }
}

/// Observes how long requests wait for their answers, and limits the second sends of one VM.
///
/// Each VM counts its own requests only, so that the share holds over all VMs together.
#[derive(Debug)]
pub struct SecondSends {
    bounds: SecondSendBounds,
    /// Limits second sends to the share of a service's requests.
    share: RepeatBudget,
    /// Sorted by route.
    routes: Vec<RouteWaits>,
}

impl SecondSends {
    /// Creates the state without any observations.
    #[must_use]
    pub fn new(bounds: SecondSendBounds) -> Self {
        let ratio = bounds.percent / 100.0;
        let share = RepeatBounds { ratio, slack: 0.0, window_us: WINDOW_US };
        Self { bounds, share: RepeatBudget::new(share), routes: Vec::new() }
    }

    /// Replaces the bounds. If they differ, the VM observes and counts anew: a share without slack
    /// allows no second send for requests that it has not counted.
    pub fn set_bounds(&mut self, bounds: SecondSendBounds) {
        if bounds != self.bounds {
            *self = Self::new(bounds);
        }
    }

    /// Returns whether any request may be sent to a second server.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.bounds.percent > 0.0
    }

    /// Counts a request that a caller sent.
    pub fn record_first(&mut self, service: &ServiceName, now: TimePoint) {
        if self.is_on() {
            self.share.record_first(service, now);
        }
    }

    /// Records how long a request waited for the first byte of its answer, or for its first event.
    ///
    /// A first send that is cancelled counts with the time that it had waited. Left out, the slowest
    /// requests would be missing, and the quantile would fall with each second send.
    pub fn record_wait(&mut self, route: &str, wait_us: u64, now: TimePoint) {
        if !self.is_on() {
            return;
        }
        let found = self.routes.binary_search_by(|waits| waits.route.as_str().cmp(route));
        let at = found.unwrap_or_else(|_| {
            self.routes.iter_mut().for_each(|waits| waits.drop_old(now));
            self.routes.retain(|waits| !waits.samples.is_empty());
            let at = self.routes.partition_point(|waits| waits.route.as_str() < route);
            let (route, samples) = (route.to_owned(), VecDeque::new());
            self.routes.insert(at, RouteWaits { route, samples, quantile: None });
            at
        });
        let waits = &mut self.routes[at];
        if waits.samples.len() >= MAX_SAMPLES {
            waits.samples.pop_front();
        }
        waits.samples.push_back((now, wait_us));
    }

    /// Returns the quantile of a route's waits over the last ten seconds; `None` with too few
    /// observations.
    pub fn quantile(&mut self, route: &str, now: TimePoint) -> Option<WaitQuantile> {
        let at = self.routes.binary_search_by(|waits| waits.route.as_str().cmp(route)).ok()?;
        let waits = &mut self.routes[at];
        if waits.quantile.is_none_or(|known| now.since(known.at) >= QUANTILE_TTL_US) {
            waits.quantile = waits.compute(self.bounds.quantile, now);
        }
        waits.quantile
    }

    /// Decides about a request on a route where [`may_send_second`] holds. `server` is the second
    /// server, if there is one with a free slot.
    pub fn decide(
        &mut self,
        request: &WaitingRequest<'_>,
        server: Option<ServerName>,
        load: ServiceLoad,
        now: TimePoint,
    ) -> SecondSendStep {
        let Some(quantile) = self.quantile(&request.route.name, now) else {
            return SecondSendStep::Deny("few_observations");
        };
        let until = quantile.exceeded_at(request.sent_at);
        if now < until {
            return SecondSendStep::Wait { until };
        }
        if 2 * request.due.since(now) < request.due.since(request.started) {
            return SecondSendStep::Deny("late");
        }
        if load.running as f64 >= MAX_LOAD * load.slots as f64 {
            return SecondSendStep::Deny("loaded");
        }
        let Some(server) = server else {
            return SecondSendStep::Deny("no_server");
        };
        if !self.share.try_repeat(request.service, 0.0, now).allowed {
            return SecondSendStep::Deny("share");
        }
        SecondSendStep::Send { server, quantile }
    }
}

impl BackendTable {
    /// Returns the running requests and the slots of a service's servers that are not leaving.
    #[must_use]
    pub fn service_load(&self, service: &ServiceName, now: TimePoint) -> ServiceLoad {
        let servers = self.servers().iter();
        let servers = servers.filter(|state| state.entry.service == *service && !state.leaving);
        servers.fold(ServiceLoad::default(), |sum, state| ServiceLoad {
            running: sum.running + u64::from(state.load(now).running),
            slots: sum.slots + u64::from(state.entry.slots),
        })
    }

    /// Returns the servers of a service that no second send goes to: those without a free slot, and
    /// those that are avoided after a failure.
    #[must_use]
    pub fn without_free_slot(&self, service: &ServiceName, now: TimePoint) -> Vec<ServerName> {
        let servers = self.servers().iter().filter(|state| state.entry.service == *service);
        let full = servers.filter(|state| {
            state.load(now).running >= state.entry.slots || !state.is_available(now)
        });
        full.map(|state| state.entry.server.clone()).collect()
    }
}
