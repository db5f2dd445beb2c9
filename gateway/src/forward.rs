//! Takes a caller's request to a backend server and its answer back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::backend::{ServerChoice, ServerNeed, longest_wait};
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::{AdapterKey, RouteTable, ServingRoute};
use coltsfoothook_exchange::{ExchangeAnswer, ExchangeError, ExchangeRequest};
use coltsfoothook_platform::{
    AnswerHead, ForwardMarks, HeadFault, forward_headers, pass_on, read_answer, read_head,
};
use coltsfoothook_telemetry::event;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer::{AnswerStream, own_answer, whole_answer};
use crate::clock;
use crate::message::{AdapterWish, PeerMessage};
use crate::order;
use crate::relay::StreamRelay;
use crate::run::{RequestRun, RunStart};
use crate::sent::SentCount;
use crate::state::{Beliefs, Gateway};
use crate::wish::WishStep;

/// Less time than this is not worth a send: it goes by on the way.
const LEAST_LEFT: Duration = Duration::from_millis(10);
/// How long a waiting request sleeps at most before it looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(60);
/// After a server's word that it is still loading.
const LOADING_PAUSE: Duration = Duration::from_millis(40);
/// A refusal within this time after an adapter became usable is put down to its load.
const JUST_LOADED_US: u64 = 600_000;
/// How long a request whose service has no server that takes it waits for one: entries of servers
/// are read every 600 ms, so one that just came is known within it.
const NOWHERE_WAIT: Duration = Duration::from_millis(700);
/// When a caller should come back after a refusal, in seconds: a cold adapter is loaded by then, and
/// the caller has most of its time left.
const COME_BACK_S: f64 = 0.4;
/// The same while this VM cannot serve anybody yet.
const STARTING_S: f64 = 0.3;
/// What a server may take beyond the deadline that it was given before its silence ends the request.
const ANSWER_SLACK: Duration = Duration::from_millis(150);
/// How many times its target an idempotent request waits for one server before another is tried.
const PATIENCE: f64 = 1.3;
/// The same for a stream that another server may run.
const STREAM_PATIENCE: f64 = 2.5;
/// The longest body of a plain answer that is held until it is whole.
const MOST_WHOLE_BYTES: usize = 8 << 20;
/// How one send to a server ended.
pub(crate) enum SendEnd {
    /// The head of an answer to this request came.
    Answer(ExchangeAnswer, AnswerHead),
    /// The server states that it did not run the request.
    NotRun(ExchangeAnswer, AnswerHead),
    /// No byte was sent.
    Unsent(String),
    /// It was sent, and whether it ran is not known.
    Unknown(String),
}

/// Answers a caller's request.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerStream> {
    let started = clock::now();
    let id = read_head(request.headers());
    let id = id.as_ref().map(|head| head.id.clone()).unwrap_or_default();
    let answer = match take(&gateway, request, started).await {
        Ok(run) => drive(run).await,
        Err(refusal) => {
            event!(
                RequestRefused,
                request_id = id,
                status = refusal.status.as_u16(),
                reason = refusal.reason,
                config = refusal.config,
            );
            gateway.metrics.request("none", refusal.reason, &Default::default());
            own_answer(refusal.status, &id, refusal.retry_s)
        }
    };
    closing_answer(&gateway, answer)
}

/// A VM that is leaving asks callers to go elsewhere with each answer.
fn closing_answer(gateway: &Gateway, mut answer: Response<AnswerStream>) -> Response<AnswerStream> {
    if gateway.leaving() {
        answer.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    answer
}

struct Refusal {
    status: StatusCode,
    reason: &'static str,
    retry_s: Option<f64>,
    config: u64,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str, config: u64) -> Self {
        Self { status, reason, retry_s: None, config }
    }
}

/// Reads a request whole and finds its route.
async fn take(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    started: TimePoint,
) -> Result<RequestRun, Refusal> {
    let table = gateway.beliefs().table.clone();
    let Some(table) = table else {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no_configuration", 0);
        return Err(Refusal { retry_s: Some(STARTING_S), ..refusal });
    };
    let config = table.version.0;
    let bad = |reason| Refusal::new(StatusCode::BAD_REQUEST, reason, config);
    let head = read_head(request.headers()).map_err(|fault| match fault {
        HeadFault::Id => bad("no_id"),
        HeadFault::Number => bad("bad_number"),
    })?;
    let route = find_route(&table, &request)
        .ok_or_else(|| Refusal::new(StatusCode::NOT_FOUND, "no_route", config))?;
    let service = route.service_for(&head.id).cloned();
    let service = service.ok_or_else(|| bad("no_service"))?;
    let route = route.clone();
    let (parts, body) = request.into_parts();
    let body = read_body(body, &table).await.map_err(|status| match status {
        StatusCode::PAYLOAD_TOO_LARGE => Refusal::new(status, "body_too_large", config),
        StatusCode::REQUEST_TIMEOUT => Refusal::new(status, "body_too_slow", config),
        status => Refusal::new(status, "body_cut", config),
    })?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let start = RunStart {
        head,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        route,
        service,
        config,
        started,
    };
    Ok(RequestRun::new(Arc::clone(gateway), start))
}

fn find_route<'a>(table: &'a RouteTable, request: &Request<Incoming>) -> Option<&'a ServingRoute> {
    let named = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or_else(|| request.uri().host())?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    table.find(host, request.uri().path())
}

async fn read_body(body: Incoming, table: &RouteTable) -> Result<Bytes, StatusCode> {
    let limits = &table.limits;
    let whole = Limited::new(body, limits.body_bytes).collect();
    match timeout(limits.idle_time, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// What to do after a send.
enum NextStep {
    /// Look for a server again, after a pause.
    Again(Duration),
    /// The request is answered.
    Finished(Box<Response<AnswerStream>>),
}

/// Sends a request to servers until it has its final answer.
async fn drive(mut run: RequestRun) -> Response<AnswerStream> {
    loop {
        let server = match find_server(&mut run).await {
            Ok(server) => server,
            Err(reason) => return give_up(run, reason),
        };
        if !allowed(&run, &server) {
            return give_up(run, "repeat_budget");
        }
        let end = send(&mut run, &server, None).await;
        let step = match end {
            SendEnd::Answer(answer, head) => {
                run = match answered(run, server, answer, head).await {
                    Ok(answer) => return answer,
                    Err(run) => run,
                };
                NextStep::Again(Duration::ZERO)
            }
            SendEnd::NotRun(answer, head) => not_run(&mut run, &server, answer, &head),
            SendEnd::Unsent(_) => {
                run.avoided.push(server);
                NextStep::Again(Duration::ZERO)
            }
            SendEnd::Unknown(cause) => unknown(&mut run, server, cause),
        };
        match step {
            NextStep::Again(pause) if pause.is_zero() => {}
            NextStep::Again(pause) => tokio::time::sleep(pause.min(run.left())).await,
            NextStep::Finished(answer) => return *answer,
        }
    }
}

/// Counts a send, and says whether the budget of repeats allows it.
fn allowed(run: &RequestRun, _server: &ServerName) -> bool {
    let now = clock::now();
    let mut beliefs = run.gateway.beliefs();
    let vms = beliefs.vm_count(now);
    if run.sends == 0 {
        beliefs.budget.first(&run.service, now);
        return true;
    }
    beliefs.budget.again(&run.service, vms, now)
}

/// Finds a server that can run the request, waiting for its adapter if need be.
pub(crate) async fn find_server(run: &mut RequestRun) -> Result<ServerName, &'static str> {
    let gateway = Arc::clone(&run.gateway);
    let from = clock::now();
    let patience = longest_wait(run.left().min(run.route.silence()));
    let mut nowhere_from: Option<TimePoint> = None;
    let found = loop {
        let changed = gateway.changed.notified();
        let now = clock::now();
        if run.left() < LEAST_LEFT {
            break Err("deadline");
        }
        let waited = Duration::from_micros(now.since(from));
        let (choice, wish) = choose(run, now);
        if let Some((key, version, server)) = wish {
            ask_for(&gateway, &key, version, &server, now);
        }
        let pause = match choice {
            ServerChoice::Send { server, .. } => break Ok(server),
            ServerChoice::Wait { until } => {
                nowhere_from = None;
                Duration::from_micros(until.since(now)).min(LOOK_AGAIN)
            }
            ServerChoice::Load { .. } => {
                nowhere_from = None;
                LOOK_AGAIN
            }
            ServerChoice::Nowhere => {
                let since = *nowhere_from.get_or_insert(now);
                if Duration::from_micros(now.since(since)) > NOWHERE_WAIT {
                    break Err("no_server");
                }
                LOOK_AGAIN
            }
        };
        if waited > patience {
            break Err("adapter_wait");
        }
        // A millisecond more than asked: timers may be early by a part of one.
        let _ = timeout(pause + Duration::from_millis(1), changed).await;
    };
    run.stall += Duration::from_micros(clock::now().since(from));
    found
}

/// Chooses a server, and an adapter that should be loaded somewhere.
fn choose(
    run: &RequestRun,
    now: TimePoint,
) -> (ServerChoice, Option<(AdapterKey, u64, ServerName)>) {
    let mut beliefs = run.gateway.beliefs();
    let draw = beliefs.draw();
    let need = run.head.need.as_ref();
    let key = need.and_then(|need| need.adapter.as_ref());
    let (oldest, newest) = key.map_or((0, 0), |key| beliefs.usable_versions(run, key, now));
    let not = run.avoided.clone();
    let domain = &run.gateway.settings.domain;
    let server_need = |not, version| ServerNeed {
        service: &run.service,
        model: need.map(|need| &need.model),
        adapter: key.map(|key| (key, version)),
        not,
        domain,
    };
    let choice = beliefs.backends.choose(&server_need(&not, oldest), draw, now);
    let Some(key) = key else { return (choice, None) };
    match &choice {
        ServerChoice::Send { copy: Some(server), .. } => {
            let wish = (key.clone(), newest, server.clone());
            (choice, Some(wish))
        }
        ServerChoice::Send { copy: None, .. } if oldest < newest => {
            // Served on the version before while the new one is loaded elsewhere.
            let ahead = beliefs.backends.choose(&server_need(&not, newest), draw, now);
            let wish = match ahead {
                ServerChoice::Load { server } => Some((key.clone(), newest, server)),
                _ => None,
            };
            (choice, wish)
        }
        ServerChoice::Load { .. } => {
            let mut elsewhere = not.clone();
            elsewhere.extend(beliefs.wishes.tried(key));
            match beliefs.backends.choose(&server_need(&elsewhere, oldest), draw, now) {
                ServerChoice::Load { server } => {
                    let wish = (key.clone(), newest, server.clone());
                    (ServerChoice::Load { server }, Some(wish))
                }
                _ => (choice, None),
            }
        }
        _ => (choice, None),
    }
}

/// The part of the time for a new version in which the one before is still used.
const OLD_VERSION_PART: f64 = 0.5;

impl Beliefs {
    /// The oldest version of an adapter that a request may run on, and the newest that was named.
    fn usable_versions(&self, run: &RequestRun, key: &AdapterKey, now: TimePoint) -> (u64, u64) {
        let Some(named) = self.named(key) else { return (1, 1) };
        let allowed = run.gateway.settings.promises.version_ms as f64 * OLD_VERSION_PART;
        let young = now.since(named.at) < (allowed * 1_000.0) as u64;
        let oldest = if young && named.before > 0 { named.before } else { named.version };
        (oldest, named.version)
    }
}

/// Asks the VM that orders a server to load an adapter there.
fn ask_for(
    gateway: &Arc<Gateway>,
    key: &AdapterKey,
    version: u64,
    server: &ServerName,
    now: TimePoint,
) {
    let mut beliefs = gateway.beliefs();
    let step = beliefs.wishes.ask(key, server, now);
    let WishStep::Send(server) = step else { return };
    let Some(owner) = beliefs.backends.owner(server.as_str(), now).cloned() else { return };
    let own = owner.vm == gateway.settings.vm;
    let address = beliefs.roster.address(&owner.vm);
    if own && let Some(book) = beliefs.books.get(&server) {
        book.wish(key, version, now);
    }
    drop(beliefs);
    event!(
        AdapterAsked,
        adapter = key.adapter,
        version = version,
        server = server,
        owner = owner.vm
    );
    if own {
        order::drive(gateway, &server);
    } else if let Some(address) = address {
        let wish = AdapterWish { server, key: key.clone(), version };
        gateway.peers.send(&PeerMessage::Wish(wish), &[address]);
    }
}

/// Sends a request to a server and waits for the head of the answer.
pub(crate) async fn send(
    run: &mut RequestRun,
    server: &ServerName,
    last_event: Option<&str>,
) -> SendEnd {
    let gateway = Arc::clone(&run.gateway);
    let (address, version) = {
        let beliefs = gateway.beliefs();
        let Some(state) = beliefs.backends.get(server.as_str()) else {
            return SendEnd::Unsent("the server is gone".to_owned());
        };
        let key = run.head.need.as_ref().and_then(|need| need.adapter.as_ref());
        (state.entry.address, key.and_then(|key| state.version(key)))
    };
    let left = run.left();
    let marks = ForwardMarks {
        server,
        left,
        priority: run.route.priority,
        version,
        last_event: last_event.or(run.head.last_event.as_deref()),
    };
    let mut request = ExchangeRequest::new(run.method.clone(), run.path.clone());
    request.headers = forward_headers(&run.headers, &marks);
    request.body = run.body.clone();
    request.head_within = Some(head_time(run, left));
    request.piece_within = Some(run.route.silence().min(left + ANSWER_SLACK));
    run.sends += 1;
    run.server = Some(server.clone());
    event!(
        RequestSent,
        request_id = run.head.id,
        server = server,
        send = run.sends,
        version? = version,
        left_ms = left.as_millis(),
    );
    let key = run.head.need.as_ref().and_then(|need| need.adapter.clone());
    run.count = Some(SentCount::new(&gateway, server, key, run.prompt_tokens()));
    let sent = gateway.client.send(address, request).await;
    let end = classify(run, sent);
    if !matches!(end, SendEnd::Answer(..)) {
        run.count = None;
    }
    note(run, server, &end);
    end
}

/// How long to wait for the head: where another server may run the request, only as long as one that
/// is well would take.
fn head_time(run: &RequestRun, left: Duration) -> Duration {
    let whole = left + ANSWER_SLACK;
    let more_servers = run.ran + 1 < run.route.most_servers;
    if !run.route.repeat.may_repeat() || !more_servers {
        return whole;
    }
    let patience = if run.route.repeat.is_stream() { STREAM_PATIENCE } else { PATIENCE };
    run.route.target.mul_f64(patience).min(left / 2).min(whole)
}

fn classify(run: &RequestRun, sent: Result<ExchangeAnswer, ExchangeError>) -> SendEnd {
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) if error.certainly_not_sent() => return SendEnd::Unsent(error.to_string()),
        Err(error) => return SendEnd::Unknown(error.to_string()),
    };
    let head = read_answer(&answer.headers);
    let foreign = head.id.as_ref().is_some_and(|id| *id != run.head.id);
    if foreign {
        // An answer to an earlier request on this connection; the own one may come behind it, but
        // nothing tells where. Dropping the answer closes the connection.
        return SendEnd::Unknown("the answer belongs to another request".to_owned());
    }
    let refused = answer.status == StatusCode::MISDIRECTED_REQUEST || head.not_run;
    if refused && !answer.status.is_success() {
        return SendEnd::NotRun(answer, head);
    }
    if answer.headers.contains_key(header::CONTENT_ENCODING) {
        return SendEnd::Unknown("the answer is encoded".to_owned());
    }
    if !head.sealed || head.id.is_none() {
        return SendEnd::Unknown(format!("{} without seal or id", answer.status.as_u16()));
    }
    SendEnd::Answer(answer, head)
}

fn note(run: &RequestRun, server: &ServerName, end: &SendEnd) {
    let (result, cause) = match end {
        SendEnd::Answer(..) => ("answer", ""),
        SendEnd::NotRun(..) => ("not_run", ""),
        SendEnd::Unsent(cause) => ("unsent", cause.as_str()),
        SendEnd::Unknown(cause) => ("unknown", cause.as_str()),
    };
    run.gateway.metrics.sent(result);
    let now = clock::now();
    let mut beliefs = run.gateway.beliefs();
    match end {
        SendEnd::Unsent(_) | SendEnd::Unknown(_) => {
            beliefs.backends.unreachable(server.as_str(), now);
        }
        SendEnd::Answer(..) | SendEnd::NotRun(..) => {}
    }
    let key = run.head.need.as_ref().and_then(|need| need.adapter.as_ref());
    let fresh = key.is_some_and(|key| {
        let state = beliefs.backends.get(server.as_str());
        let from = state.and_then(|state| state.usable_since(key));
        from.is_some_and(|from| now.since(from) < JUST_LOADED_US)
    });
    drop(beliefs);
    if matches!(end, SendEnd::Answer(..)) && fresh {
        run.met_adapter(server, |used| used.in_time = true);
    }
    if !cause.is_empty() {
        event!(
            RequestRetried,
            request_id = run.head.id,
            server = server,
            outcome = result,
            cause = cause,
        );
    }
}

/// A server's own answer came.
async fn answered(
    mut run: RequestRun,
    server: ServerName,
    answer: ExchangeAnswer,
    _head: AnswerHead,
) -> Result<Response<AnswerStream>, RequestRun> {
    run.ran += 1;
    let status = answer.status;
    let failed = status.is_server_error();
    let may_again = failed
        && run.route.repeat.may_repeat()
        && run.ran < run.route.most_servers
        && status != StatusCode::GATEWAY_TIMEOUT
        && run.left() > LEAST_LEFT;
    let stream = run.route.repeat.is_stream() && status.is_success();
    if stream {
        return Ok(StreamRelay::answer(run, server, answer));
    }
    let (headers, pace) = (answer.headers.clone(), run.elapsed());
    let body = timeout(run.left() + ANSWER_SLACK, answer.body.collect(MOST_WHOLE_BYTES)).await;
    let body = body.map_err(|_| "timed out".to_owned());
    let body = body.and_then(|whole| whole.map_err(|error| error.to_string()));
    {
        let mut beliefs = run.gateway.beliefs();
        let good = !failed && body.is_ok();
        let pace = good.then_some(pace.as_micros() as f64);
        beliefs.backends.answered(server.as_str(), good, pace);
    }
    let body = match body {
        Ok(body) => body,
        Err(cause) => return finish_or_again(run, server, cause),
    };
    if may_again {
        run.avoided.push(server);
        return Err(run);
    }
    run.first = Some(run.elapsed());
    run.status = status.as_u16();
    run.end(if failed { "server_failed" } else { "done" }, "");
    Ok(whole_answer(status, pass_on(&headers), body))
}

fn finish_or_again(
    mut run: RequestRun,
    server: ServerName,
    cause: String,
) -> Result<Response<AnswerStream>, RequestRun> {
    run.ran -= 1;
    match unknown(&mut run, server, cause) {
        NextStep::Again(_) => Err(run),
        NextStep::Finished(answer) => Ok(*answer),
    }
}

/// A server did not run the request.
fn not_run(
    run: &mut RequestRun,
    server: &ServerName,
    answer: ExchangeAnswer,
    head: &AnswerHead,
) -> NextStep {
    let now = clock::now();
    let status = answer.status;
    let key = run.head.need.as_ref().and_then(|need| need.adapter.clone());
    let mut beliefs = run.gateway.beliefs();
    let state = beliefs.backends.get(server.as_str());
    let usable_from = state.and_then(|state| state.usable_since(key.as_ref()?));
    let just_loaded = usable_from.is_some_and(|from| now.since(from) < JUST_LOADED_US);
    event!(
        RequestNotRun,
        request_id = run.head.id,
        server = server,
        status = status.as_u16(),
        usable_ms? = usable_from.map(|from| now.since(from) / 1_000),
        known = head.id.is_some(),
    );
    if just_loaded {
        drop(beliefs);
        run.met_adapter(server, |used| used.too_early = true);
        return NextStep::Again(LOADING_PAUSE);
    }
    if status == StatusCode::MISDIRECTED_REQUEST
        && let Some(key) = &key
        && usable_from.is_some()
    {
        beliefs.backends.not_held(server.as_str(), key);
        drop(beliefs);
        run.met_adapter(server, |used| used.missing = true);
        return NextStep::Again(Duration::ZERO);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        // Another life has the address; the entry of this one lags.
        beliefs.backends.unreachable(server.as_str(), now);
    }
    run.avoided.push(server.clone());
    NextStep::Again(Duration::ZERO)
}

/// A server may have run the request, and there is no answer.
fn unknown(run: &mut RequestRun, server: ServerName, cause: String) -> NextStep {
    run.ran += 1;
    run.avoided.push(server);
    let again = run.route.repeat.may_repeat()
        && run.ran < run.route.most_servers
        && run.left() > LEAST_LEFT;
    if again {
        return NextStep::Again(Duration::ZERO);
    }
    let status =
        if run.left() < LEAST_LEFT { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    run.status = status.as_u16();
    run.end("failed", cause);
    NextStep::Finished(Box::new(own_answer(status, &run.head.id, None)))
}

/// The final answer of a request that no server runs any more.
fn give_up(mut run: RequestRun, reason: &'static str) -> Response<AnswerStream> {
    let (status, outcome) = if run.ran == 0 {
        (StatusCode::SERVICE_UNAVAILABLE, "refused")
    } else if reason == "deadline" {
        (StatusCode::GATEWAY_TIMEOUT, "failed")
    } else {
        (StatusCode::BAD_GATEWAY, "failed")
    };
    run.status = status.as_u16();
    run.end(outcome, reason);
    let retry = (run.ran == 0).then_some(COME_BACK_S);
    own_answer(status, &run.head.id, retry)
}

/// Headers of a stream's answer as they go to the caller.
pub(crate) fn stream_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = pass_on(from);
    headers.remove(header::CONTENT_LENGTH);
    headers
}
