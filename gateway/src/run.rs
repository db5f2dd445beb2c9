//! One request of a caller on its way.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::id::{CustomerName, ServerName, ServiceName, TimePoint};
use coltsfoothook_decision::routing::ServingRoute;
use coltsfoothook_platform::RequestHead;
use coltsfoothook_telemetry::event;
use http::{HeaderMap, Method};

use crate::charge::LimitCharge;
use crate::clock;
use crate::find::LEAST_LEFT;
use crate::message::AdapterUse;
use crate::metrics::RequestTiming;
use crate::sent::SentCount;
use crate::state::Gateway;

/// After a server's word that it is full or still loads the adapter, doubled with each further one. The
/// owner is told of an adapter that is late, and its next list says when it can be used.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// How often the pause is doubled.
const PAUSE_DOUBLINGS: u32 = 3;

/// Everything that is known of a request. Its end is logged and counted when it is dropped, so that a
/// caller who leaves ends it like any other way.
pub(crate) struct RequestRun {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) request: CallerRequest,
    /// When its final answer is due.
    pub(crate) due: TimePoint,
    /// Servers that it is not sent to again.
    pub(crate) avoided: Vec<ServerName>,
    /// Times it was sent.
    pub(crate) sends: u32,
    /// Servers that may have begun to run it.
    pub(crate) ran: u32,
    /// Pauses that it made since a server could not take it yet.
    pauses: u32,
    /// The server of the last send, and the life of it that the request was sent to.
    pub(crate) server: Option<ServerName>,
    pub(crate) incarnation: u64,
    pub(crate) first: Option<Duration>,
    pub(crate) stall: Duration,
    /// The time that it was held back for streams that would have paused.
    pub(crate) held: Duration,
    /// The longest pause between two events that were passed on.
    pub(crate) pause: Duration,
    pub(crate) status: u16,
    /// When its caller should come back, if that is known better than usual.
    pub(crate) come_back: Option<Duration>,
    /// Counts it at the server that it was sent to last.
    pub(crate) count: Option<SentCount>,
    /// What was taken of its customer's limit.
    charge: Option<LimitCharge>,
    outcome: Option<&'static str>,
    reason: String,
}

/// A request as its caller sent it, and what the configuration says of it.
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: ServingRoute,
    /// The customer that it runs for, if the configuration has customers.
    pub(crate) customer: Option<CustomerName>,
    /// Its place among the ranks of the configuration; 0 goes first.
    pub(crate) rank: u8,
    pub(crate) service: ServiceName,
    pub(crate) config: u64,
    pub(crate) started: TimePoint,
}

impl RequestRun {
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        request: CallerRequest,
        charge: Option<LimitCharge>,
    ) -> Self {
        let limit = request.head.deadline.unwrap_or(Duration::MAX).min(request.route.timeout);
        let due = request.started.plus(limit.as_micros().try_into().unwrap_or(u64::MAX));
        gateway.open.fetch_add(1, Ordering::Relaxed);
        gateway.beliefs().budget.first(&request.service, clock::now());
        Self {
            gateway,
            request,
            due,
            avoided: Vec::new(),
            sends: 0,
            ran: 0,
            pauses: 0,
            server: None,
            incarnation: 0,
            first: None,
            stall: Duration::ZERO,
            held: Duration::ZERO,
            pause: Duration::ZERO,
            status: 0,
            come_back: None,
            count: None,
            charge,
            outcome: None,
            reason: String::new(),
        }
    }

    /// The time until its final answer is due.
    pub(crate) fn left(&self) -> Duration {
        Duration::from_micros(self.due.since(clock::now()))
    }

    /// Until when it is in time with its first event.
    pub(crate) fn in_time_until(&self) -> TimePoint {
        let target_us = self.request.route.target.as_micros();
        self.request.started.plus(target_us.try_into().unwrap_or(u64::MAX))
    }

    /// Why its answer came late, if it did: what took most of the time to its first event, or a pause
    /// between two.
    fn late_cause(&self) -> Option<&'static str> {
        let (first, route) = (self.first?, &self.request.route);
        if first <= route.target {
            let paused = route.target_gap.is_some_and(|gap| self.pause > gap);
            return paused.then_some("pause");
        }
        let server = first.saturating_sub(self.stall + self.held);
        let causes = [(self.stall, "adapter"), (self.held, "held"), (server, "server")];
        causes.into_iter().max_by_key(|(time, _)| *time).map(|(_, cause)| cause)
    }

    /// The time since it was taken.
    pub(crate) fn elapsed(&self) -> Duration {
        Duration::from_micros(clock::now().since(self.request.started))
    }

    /// Tokens that a server reads for it.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.request.head.need.as_ref().map_or(0, |need| u64::from(need.prompt_tokens))
    }

    /// Its server has read the prompt.
    pub(crate) fn prompt_read(&mut self) {
        if let Some(count) = &mut self.count {
            count.read();
        }
    }

    /// Whether another server may run it, although one may have begun to.
    pub(crate) fn may_run_elsewhere(&self) -> bool {
        let route = &self.request.route;
        route.repeat.may_retry() && self.ran < route.max_servers && self.left() > LEAST_LEFT
    }

    /// Whether it may be sent: the first time always, later if the budget of repeats allows it.
    pub(crate) fn may_send(&self) -> bool {
        if self.sends == 0 {
            return true;
        }
        let now = clock::now();
        let mut beliefs = self.gateway.beliefs();
        let vms = beliefs.vm_count(now);
        beliefs.budget.again(&self.request.service, vms, now)
    }

    /// Whether a server may have begun to run it: one did, or it was sent and not refused yet.
    fn may_have_run(&self) -> bool {
        self.ran > 0 || self.count.is_some()
    }

    /// It is sent to a server. Each run counts against its customer's limit.
    pub(crate) fn charge_send(&self) {
        if let Some(charge) = self.charge.as_ref().filter(|_| self.ran > 0) {
            charge.repeat(&self.gateway);
        }
    }

    /// How long to wait after a server could not take it yet; longer each time, since each send counts
    /// as a repeat.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let pause = FIRST_PAUSE * (1 << self.pauses.min(PAUSE_DOUBLINGS));
        self.pauses += 1;
        pause
    }

    /// Notes how it ended; the first reason stays.
    pub(crate) fn end(&mut self, outcome: &'static str, reason: impl Into<String>) {
        if self.outcome.is_none() {
            self.outcome = Some(outcome);
            self.reason = reason.into();
        }
    }

    /// Notes that it met its adapter, for the VM that orders the server.
    pub(crate) fn met_adapter(&self, server: &ServerName, change: impl FnOnce(&mut AdapterUse)) {
        let Some(key) = self.request.head.need.as_ref().and_then(|need| need.adapter.as_ref())
        else {
            return;
        };
        self.gateway.beliefs().uses.met(server, self.incarnation, key, change);
    }
}

impl Drop for RequestRun {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take().filter(|_| !self.may_have_run()) {
            charge.give_back(&self.gateway);
        }
        self.gateway.open.fetch_sub(1, Ordering::Relaxed);
        let outcome = self.outcome.unwrap_or("caller_left");
        let whole = self.elapsed();
        let late = if outcome == "done" { self.late_cause() } else { None };
        let timing =
            RequestTiming { first: self.first, whole, stall: self.stall, pause: self.pause, late };
        self.gateway.metrics.request(&self.request.route.name, outcome, &timing);
        if let Some(customer) = &self.request.customer {
            self.gateway.metrics.customer(customer.as_str(), outcome);
        }
        let adapter = self.request.head.need.as_ref().and_then(|need| need.adapter.as_ref());
        let adapter = adapter.map(|key| key.adapter.as_str());
        let first_ms = self.first.map(|first| first.as_millis());
        let stall_ms = (!self.stall.is_zero()).then_some(self.stall.as_millis());
        let held_ms = (!self.held.is_zero()).then_some(self.held.as_millis());
        let pause_ms = (!self.pause.is_zero()).then_some(self.pause.as_millis());
        let reason = (!self.reason.is_empty()).then_some(self.reason.as_str());
        event!(
            RequestDone,
            request_id = self.request.head.id,
            route = self.request.route.name,
            customer? = self.request.customer,
            config = self.request.config,
            outcome = outcome,
            status = self.status,
            reason? = reason,
            server? = self.server,
            adapter? = adapter,
            sends = self.sends,
            stall_ms? = stall_ms,
            held_ms? = held_ms,
            late? = late,
            first_ms? = first_ms,
            pause_ms? = pause_ms,
            whole_ms = whole.as_millis(),
        );
    }
}
