//! The state of one request of a caller while it is served.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::id::{
    CustomerName, PartFingerprint, RequestFingerprint, ServerName, ServiceName, SoftwareVersion,
    TimePoint, stable_hash_bytes,
};
use coltsfoothook_decision::origin::StreamOrigin;
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_decision::routing::{ModelNeed, ServingRoute};
use coltsfoothook_decision::suspect::CrashSubject;
use coltsfoothook_exchange::BodyFraming;
use coltsfoothook_platform::RequestHead;
use coltsfoothook_telemetry::event;
use http::{HeaderMap, Method, header};

use crate::buffer::{BufferShare, ReadingDue};
use crate::charge::LimitCharge;
use crate::clock;
use crate::find::MIN_TIME_LEFT;
use crate::message::AdapterUse;
use crate::metrics::RequestTiming;
use crate::room::RoomTicket;
use crate::sent::SentCount;
use crate::state::Gateway;

/// The wait before the retry after a server's answer that it is full or still loads the adapter. It doubles with
/// each such answer. Meanwhile the VM that orders the server receives a report of a late adapter, and its next list
/// says when the adapter can be used.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of parts of a request's prompt that crashes may be attributed to.
const MAX_PARTS: usize = 64;
/// How many times the wait is doubled at most.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// The state of a request. Its end is logged and counted on drop, so that a request whose caller disconnects, which
/// drops it, is recorded like any other.
pub(crate) struct RequestRun {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) request: CallerRequest,
    /// When its final answer is due.
    pub(crate) due: TimePoint,
    /// Servers that the request is not sent to again.
    pub(crate) avoided: Vec<ServerName>,
    /// How many times it was sent; sends that reached no server are taken out.
    pub(crate) sends: u32,
    /// How many servers may have begun to run it.
    pub(crate) ran: u32,
    /// How the last send ended, as in [`SendEnd::name`](crate::send::SendEnd::name); empty before the first.
    pub(crate) last_end: &'static str,
    /// Whether this is the one attempt that a condemned request is given to show that it is innocent.
    pub(crate) on_trial: bool,
    /// Whether another VM handed it over.
    pub(crate) handed_over: bool,
    /// How many times it waited because a server could not run it yet.
    retry_waits: u32,
    /// The server of the last send.
    pub(crate) server: Option<ServerName>,
    /// The start time of that server when the request was sent, as in its entry; 0 before the first send.
    pub(crate) incarnation: u64,
    /// The version of that server's software, if known.
    pub(crate) software: Option<SoftwareVersion>,
    /// Where the stream that it goes on with began; `None` for a new stream before its first event, and while that is
    /// not known.
    pub(crate) origin: Option<StreamOrigin>,
    /// From the request's start to the first event, or to the whole answer if it is no stream.
    pub(crate) first: Option<Duration>,
    /// The time spent on finding a server, without `held`: mostly waits for an adapter.
    pub(crate) stall: Duration,
    /// The time for which it was held back so that streams at the server do not pause.
    pub(crate) held: Duration,
    /// The longest pause between two forwarded events.
    pub(crate) pause: Duration,
    /// How the last answer of a server states where it ends.
    pub(crate) framing: BodyFraming,
    /// The status of the answer to the caller; 0 before there is one.
    pub(crate) status: u16,
    /// Added to the usual `Retry-After`, if it is known from when on a retry can succeed.
    pub(crate) retry_after: Option<Duration>,
    /// Where it waits for a place, at a server that bears few refusals.
    pub(crate) ticket: Option<RoomTicket>,
    /// When the second send began that answered it, while the first one waited.
    pub(crate) second_sent_at: Option<TimePoint>,
    /// Counts it among the requests at the server of the last send.
    pub(crate) count: Option<SentCount>,
    /// What it was charged to its customer's limit.
    charge: Option<LimitCharge>,
    outcome: Option<&'static str>,
    reason: String,
}

/// A request as its caller sent it, and its route, customer and service by the configuration.
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What is held of the body.
    pub(crate) _share: BufferShare,
    /// When the caller must have read the answer.
    pub(crate) reading: ReadingDue,
    /// The same for each attempt of the caller at the same request.
    pub(crate) fingerprint: RequestFingerprint,
    /// What a crash of a server that runs it may be attributed to: the shared parts of its prompt and itself.
    pub(crate) subjects: Vec<CrashSubject>,
    pub(crate) route: ServingRoute,
    /// The customer that it runs for, if the configuration has customers.
    pub(crate) customer: Option<CustomerName>,
    /// Index among the ranks of the configuration; 0 goes first.
    pub(crate) rank: u8,
    pub(crate) service: ServiceName,
    pub(crate) config: u64,
    pub(crate) started: TimePoint,
}

/// What a request's state says of one send, kept aside while the state is that of another one.
#[derive(Default)]
pub(crate) struct SendState {
    pub(crate) server: Option<ServerName>,
    incarnation: u64,
    software: Option<SoftwareVersion>,
    pub(crate) count: Option<SentCount>,
}

impl CallerRequest {
    /// Returns the fingerprint of a request: of its customer, method, host, path with query, and body.
    pub(crate) fn fingerprint(
        customer: Option<&CustomerName>,
        method: &Method,
        headers: &HeaderMap,
        path: &str,
        body: &[u8],
    ) -> RequestFingerprint {
        let host = headers.get(header::HOST).map_or(&[][..], |host| host.as_bytes());
        let customer = customer.map_or("", |customer| customer.as_str());
        let (customer, method) = (customer.as_bytes(), method.as_str().as_bytes());
        RequestFingerprint(stable_hash_bytes(&[customer, method, host, path.as_bytes(), body]))
    }

    /// Returns what a crash may be attributed to where a request with this need ran, without duplicates.
    pub(crate) fn subjects(
        need: Option<&ModelNeed>,
        fingerprint: RequestFingerprint,
    ) -> Vec<CrashSubject> {
        let parts = need.map_or(&[][..], ModelNeed::shared_parts);
        let parts = parts.iter().map(|part| CrashSubject::Part(PartFingerprint(part.id)));
        let mut subjects: Vec<CrashSubject> = parts.take(MAX_PARTS).collect();
        subjects.push(CrashSubject::Request(fingerprint));
        subjects.sort_unstable();
        subjects.dedup();
        subjects
    }
}

impl RequestRun {
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        request: CallerRequest,
        charge: Option<LimitCharge>,
    ) -> Self {
        let now = clock::now();
        let mut view = gateway.view();
        view.budget.record_first(&request.service, now);
        view.second_sends.record_first(&request.service, now);
        drop(view);
        Self::started(gateway, request, charge)
    }

    /// Returns a request that another VM hands over, where `ran` servers may have begun to run it. That VM
    /// has counted it, and has charged its customer for the first run.
    pub(crate) fn handed_over(gateway: Arc<Gateway>, request: CallerRequest, ran: u32) -> Self {
        let (customer, need) = (request.customer.as_ref(), request.head.need.as_ref());
        let charge = LimitCharge::of(&gateway, customer, need);
        let mut run = Self::started(gateway, request, charge);
        run.ran = ran;
        run.handed_over = true;
        run
    }

    fn started(gateway: Arc<Gateway>, request: CallerRequest, charge: Option<LimitCharge>) -> Self {
        let limit = request.head.deadline.unwrap_or(Duration::MAX).min(request.route.timeout);
        let due = request.started.plus(limit.as_micros().try_into().unwrap_or(u64::MAX));
        gateway.open.fetch_add(1, Ordering::Relaxed);
        Self {
            gateway,
            request,
            due,
            avoided: Vec::new(),
            sends: 0,
            ran: 0,
            last_end: "",
            on_trial: false,
            handed_over: false,
            retry_waits: 0,
            server: None,
            incarnation: 0,
            software: None,
            origin: None,
            first: None,
            stall: Duration::ZERO,
            held: Duration::ZERO,
            pause: Duration::ZERO,
            framing: BodyFraming::default(),
            status: 0,
            retry_after: None,
            ticket: None,
            second_sent_at: None,
            count: None,
            charge,
            outcome: None,
            reason: String::new(),
        }
    }

    /// Returns the time until its final answer is due; zero if that is past.
    pub(crate) fn left(&self) -> Duration {
        Duration::from_micros(self.due.since(clock::now()))
    }

    /// Returns until when its first event is within the route's target.
    pub(crate) fn in_time_until(&self) -> TimePoint {
        let target_us = self.request.route.target.as_micros();
        self.request.started.plus(target_us.try_into().unwrap_or(u64::MAX))
    }

    /// Returns why its answer was late, if it was: what took most of the time to its first event, or a pause
    /// between two events.
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

    /// Returns the time since it was received.
    pub(crate) fn elapsed(&self) -> Duration {
        Duration::from_micros(clock::now().since(self.request.started))
    }

    /// Returns how many prompt tokens a server must read for it.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.request.head.need.as_ref().map_or(0, |need| u64::from(need.prompt_tokens))
    }

    /// Returns how long its server took to answer. The time before a second send is not the second server's.
    pub(crate) fn server_latency(&self) -> Duration {
        let of_second = self.second_sent_at.map(|at| Duration::from_micros(clock::now().since(at)));
        of_second.unwrap_or_else(|| self.elapsed())
    }

    /// Records that its server has read the prompt.
    pub(crate) fn record_prompt_read(&mut self) {
        if let Some(count) = &mut self.count {
            count.read();
        }
    }

    /// Records that its server has answered it to the end, or with a refusal, and gives its place back.
    pub(crate) fn end_place(&mut self, end: PlaceEnd) {
        if let Some(mut count) = self.count.take() {
            count.end(end);
        }
    }

    /// Returns whether another server may run it, although one may have begun to.
    pub(crate) fn may_run_elsewhere(&self) -> bool {
        let route = &self.request.route;
        route.repeat.may_retry() && self.ran < route.max_servers && self.left() > MIN_TIME_LEFT
    }

    /// Returns whether it may be sent: the first time always, later only within the budget of repeats, which a
    /// further send is charged to.
    pub(crate) fn may_send(&self) -> bool {
        if self.sends == 0 {
            return true;
        }
        let service = &self.request.service;
        let now = clock::now();
        let mut view = self.gateway.view();
        let share = view.slack_share(now);
        let decision = view.budget.try_repeat(service, share, now);
        drop(view);
        let result = if decision.allowed { "sent" } else { "denied" };
        self.gateway.metrics.repeat(service.as_str(), result);
        event!(
            RepeatDecided,
            request_id = self.request.head.id,
            service = service,
            result = result,
            send = self.sends + 1,
            why = self.last_end,
            repeats = decision.repeats,
            requests = decision.requests,
            limit = format_args!("{:.1}", decision.limit),
            slack_share = format_args!("{share:.2}"),
        );
        decision.allowed
    }

    /// Returns whether a server may have begun to run it: one may have, or a send has no result yet.
    fn may_have_run(&self) -> bool {
        self.ran > 0 || self.count.is_some()
    }

    /// Charges a further run to its customer's limit when it is sent again after it may have run.
    pub(crate) fn charge_send(&self) {
        if let Some(charge) = self.charge.as_ref().filter(|_| self.ran > 0) {
            charge.charge_again(&self.gateway);
        }
    }

    /// Returns to its customer's limit what a further send was charged that certainly did not run.
    pub(crate) fn refund_send(&self) {
        if let Some(charge) = &self.charge {
            charge.refund(&self.gateway);
        }
    }

    /// Exchanges what it knows of its present send with that of another one.
    pub(crate) fn swap_send(&mut self, other: &mut SendState) {
        std::mem::swap(&mut self.server, &mut other.server);
        std::mem::swap(&mut self.incarnation, &mut other.incarnation);
        std::mem::swap(&mut self.software, &mut other.software);
        std::mem::swap(&mut self.count, &mut other.count);
    }

    /// Returns how long to wait after a server could not run it yet. The wait grows because each send counts
    /// against the budget of repeats.
    pub(crate) fn next_retry_interval(&mut self) -> Duration {
        let interval = INITIAL_RETRY_INTERVAL * (1 << self.retry_waits.min(MAX_RETRY_DOUBLINGS));
        self.retry_waits += 1;
        interval
    }

    /// Records how it ended. Later calls have no effect.
    pub(crate) fn end(&mut self, outcome: &'static str, reason: impl Into<String>) {
        if self.outcome.is_none() {
            self.outcome = Some(outcome);
            self.reason = reason.into();
        }
    }

    /// Records a use of its adapter, which is reported to the VM that orders the server.
    pub(crate) fn record_use(&self, server: &ServerName, change: impl FnOnce(&mut AdapterUse)) {
        let Some(key) = self.request.head.need.as_ref().and_then(|need| need.adapter.as_ref())
        else {
            return;
        };
        self.gateway.view().uses.record(server, self.incarnation, key, change);
    }
}

impl Drop for RequestRun {
    fn drop(&mut self) {
        let refunds = !self.handed_over && !self.may_have_run();
        if let Some(charge) = self.charge.take().filter(|_| refunds) {
            charge.refund(&self.gateway);
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
        let framing = Some(self.framing).filter(|framing| *framing == BodyFraming::Connection);
        let framing = framing.map(BodyFraming::as_str);
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
            fingerprint = format_args!("{:016x}", self.request.fingerprint.0),
            sends = self.sends,
            framing? = framing,
            handed_over? = self.handed_over.then_some(true),
            stall_ms? = stall_ms,
            held_ms? = held_ms,
            late? = late,
            first_ms? = first_ms,
            pause_ms? = pause_ms,
            whole_ms = whole.as_millis(),
        );
    }
}
