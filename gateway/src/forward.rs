//! Forwards callers' requests to backend servers and returns the answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfoothook_decision::id::{ServiceName, TimePoint};
use coltsfoothook_decision::routing::{RouteTable, ServingRoute};
use coltsfoothook_platform::{HeadFault, RequestHead, read_head, take_key};
use http::request::Parts;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::admit::{AdmittedRequest, admit, read_key};
use crate::answer::{AnswerStream, own_answer};
use crate::buffer::{BufferShare, ReadingDue};
use crate::charge::LimitCharge;
use crate::clock;
use crate::crash_records;
use crate::find::{NO_LINKS, find_server};
use crate::hand_over::{self, HandedOver, no_links_answer, take_handed_over};
use crate::origins;
use crate::outcome::{
    AfterAnswer, NextStep, give_up, handle_answer, handle_not_run, handle_unknown,
};
use crate::refusal::{Refusal, RefusalGrounds};
use crate::run::{CallerRequest, RequestRun};
use crate::second_send::send_with_second;
use crate::send::SendEnd;
use crate::state::Gateway;
use crate::suspects;

/// `Retry-After`, in seconds, while this VM has no configuration yet.
const STARTUP_RETRY_S: f64 = 0.3;
/// `Retry-After`, in seconds, while this VM holds so much data that a request's body has no room. Requests end
/// within seconds.
const BUFFER_RETRY_S: f64 = 1.0;

/// `Retry-After`, in seconds, of a VM that shuts down. Others serve at once.
const CLOSING_RETRY_S: f64 = 0.1;
/// Why a VM that shuts down does not send a request.
const SHUTTING_DOWN: &str = "shutting_down";

/// Answers a caller's request: with a server's answer, a refusal or a failure.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerStream> {
    let started = clock::now();
    let id = read_head(request.headers());
    let id = id.as_ref().map(|head| head.id.clone()).unwrap_or_default();
    let answer = match read_request(&gateway, request, started).await {
        Ok(run) => drive(run).await,
        Err(refusal) => {
            refusal.log(&id);
            gateway.metrics.request("none", refusal.reason, &Default::default());
            own_answer(refusal.status, &id, refusal.retry_s)
        }
    };
    mark_closing(&gateway, answer)
}

/// Answers a request that another VM has admitted and hands over, as it reaches no server. What this
/// VM cannot send is refused, so that the other one tries a further VM.
pub(crate) async fn serve_handed_over(
    gateway: &Arc<Gateway>,
    mut request: Request<Incoming>,
) -> Response<AnswerStream> {
    let handed = take_handed_over(request.headers_mut());
    let head = read_head(request.headers());
    let (Some(handed), Ok(head)) = (handed, head) else {
        return own_answer(StatusCode::BAD_REQUEST, "", None);
    };
    let id = head.id.clone();
    if gateway.view().links.are_cut() {
        return no_links_answer(&id);
    }
    match read_handed_over(gateway, request, head, handed).await {
        Some(run) => drive(run).await,
        None => own_answer(StatusCode::SERVICE_UNAVAILABLE, &id, Some(STARTUP_RETRY_S)),
    }
}

/// Reads a request that is handed over; `None` if it cannot be read or this VM has no route for it.
async fn read_handed_over(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    head: RequestHead,
    handed: HandedOver,
) -> Option<RequestRun> {
    let started = clock::now();
    let table = {
        let view = gateway.view();
        view.table.clone().filter(|_| view.knows_crashes(started))?
    };
    let route = find_route(&table, &request)?.clone();
    let service = route.service_for(&head.id)?.clone();
    let (parts, body) = request.into_parts();
    let body = read_body(gateway, body, &table).await.ok()?;
    let admitted = AdmittedRequest {
        route,
        customer: handed.customer,
        rank: handed.rank,
        config: table.version.0,
        keyed: false,
    };
    let request = caller_request(parts, body, head, admitted, service, started);
    Some(RequestRun::handed_over(Arc::clone(gateway), request, handed.ran))
}

/// Adds `Connection: close` to the answer while the VM shuts down, so that callers reconnect to another VM.
fn mark_closing(gateway: &Gateway, mut answer: Response<AnswerStream>) -> Response<AnswerStream> {
    if gateway.leaving() {
        answer.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    answer
}

/// Reads a request with its body, admits it and charges it to its customer's limit.
async fn read_request(
    gateway: &Arc<Gateway>,
    mut request: Request<Incoming>,
    started: TimePoint,
) -> Result<RequestRun, Refusal> {
    let table = gateway.view().table.clone();
    let Some(table) = table else {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no_configuration", 0);
        return Err(Refusal { retry_s: Some(STARTUP_RETRY_S), ..refusal });
    };
    let config = table.version.0;
    if !gateway.view().knows_crashes(started) {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "crashes_unknown", config);
        return Err(Refusal { retry_s: Some(STARTUP_RETRY_S), ..refusal });
    }
    let bad = |reason| Refusal::new(StatusCode::BAD_REQUEST, reason, config);
    let head = read_head(request.headers()).map_err(|fault| match fault {
        HeadFault::Id => bad("no_id"),
        HeadFault::Number => bad("bad_number"),
    })?;
    let key = read_key(&table, request.headers_mut())?;
    let find = |table: &RouteTable| find_route(table, &request).cloned();
    let admitted = admit(gateway, key.as_ref(), find, started).await?;
    let config = admitted.config;
    let service = admitted.route.service_for(&head.id).cloned();
    let service = service.ok_or_else(|| bad("no_service"))?;
    let (mut parts, body) = request.into_parts();
    if admitted.keyed {
        // `read_key` removed no key if the configuration had no customers then, but the newer one that admitted the
        // request has.
        let _ = take_key(&mut parts.headers);
    }
    let body = read_body(gateway, body, &table).await.map_err(|status| match status {
        StatusCode::SERVICE_UNAVAILABLE => {
            let buffered = Some(gateway.buffers.held());
            let grounds = RefusalGrounds { buffered, ..RefusalGrounds::default() };
            let refusal = Refusal::new(status, "no_buffer", config).with_grounds(grounds);
            Refusal { retry_s: Some(BUFFER_RETRY_S), ..refusal }
        }
        StatusCode::PAYLOAD_TOO_LARGE => Refusal::new(status, "body_too_large", config),
        StatusCode::REQUEST_TIMEOUT => Refusal::new(status, "body_too_slow", config),
        status => Refusal::new(status, "body_cut", config),
    })?;
    if *gateway.closing.borrow() {
        // It came early in the grace time, and its body ended late.
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, SHUTTING_DOWN, config);
        return Err(Refusal { retry_s: Some(CLOSING_RETRY_S), ..refusal });
    }
    let request = caller_request(parts, body, head, admitted, service, started);
    let (customer, need) = (request.customer.as_ref(), request.head.need.as_ref());
    let charge = LimitCharge::take(gateway, customer, need, config)?;
    Ok(RequestRun::new(Arc::clone(gateway), request, charge))
}

/// Returns an admitted request with its body.
fn caller_request(
    mut parts: Parts,
    (body, share): (Bytes, BufferShare),
    head: RequestHead,
    admitted: AdmittedRequest,
    service: ServiceName,
    started: TimePoint,
) -> CallerRequest {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let (customer, headers) = (admitted.customer.as_ref(), &parts.headers);
    let fingerprint = CallerRequest::fingerprint(customer, &parts.method, headers, &path, &body);
    let subjects = CallerRequest::subjects(head.need.as_ref(), fingerprint);
    CallerRequest {
        head,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        _share: share,
        reading: parts.extensions.remove::<ReadingDue>().unwrap_or_default(),
        fingerprint,
        subjects,
        route: admitted.route,
        customer: admitted.customer,
        rank: admitted.rank,
        service,
        config: admitted.config,
        started,
    }
}

/// Returns the route for the request's host, without its port, and path.
fn find_route<'a>(table: &'a RouteTable, request: &Request<Incoming>) -> Option<&'a ServingRoute> {
    let named = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or_else(|| request.uri().host())?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    table.find(host, request.uri().path())
}

/// Reads a body whole, within the configured size and idle time and what the VM may hold.
async fn read_body(
    gateway: &Gateway,
    body: Incoming,
    table: &RouteTable,
) -> Result<(Bytes, BufferShare), StatusCode> {
    let limits = &table.limits;
    let mut share = gateway.buffers.share();
    let mut body = Limited::new(body, limits.body_bytes);
    let whole = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                true => StatusCode::PAYLOAD_TOO_LARGE,
                false => StatusCode::BAD_REQUEST,
            })?;
            let Ok(piece) = frame.into_data() else { continue };
            if !share.grow(piece.len()) {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    };
    let whole = timeout(limits.idle_time, whole).await;
    Ok((whole.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))?, share))
}

/// Sends a request to one server after another until it has its final answer.
async fn drive(mut run: RequestRun) -> Response<AnswerStream> {
    let gateway = Arc::clone(&run.gateway);
    if let Some(reason) = suspects::held(&mut run) {
        return give_up(run, reason);
    }
    loop {
        if hand_over::is_needed(&run) {
            return hand_over::hand_over(run).await;
        }
        if let Err(reason) = origins::find(&mut run).await {
            return give_up(run, reason);
        }
        let mut ending = gateway.ending.subscribe();
        let found = tokio::select! {
            biased;
            _ = ending.wait_for(|ending| *ending) => Err(SHUTTING_DOWN),
            found = find_server(&mut run) => found,
        };
        let server = match found {
            Ok(server) => server,
            Err(NO_LINKS) if hand_over::is_needed(&run) => continue,
            Err(reason) => return give_up(run, reason),
        };
        if let Some(reason) = suspects::held(&mut run) {
            return give_up(run, reason);
        }
        if !run.may_send() {
            return give_up(run, "repeat_budget");
        }
        if run.on_trial
            && let Err(reason) = crash_records::begin_trial(&run).await
        {
            return give_up(run, reason);
        }
        let (server, end) = send_with_second(&mut run, server).await;
        if run.on_trial && end.is_not_run() {
            crash_records::trial_not_run(&run);
        }
        let step = match end {
            SendEnd::Answer(answer) => match handle_answer(run, server, answer).await {
                AfterAnswer::Finished(answer) => return *answer,
                AfterAnswer::Retry(unfinished) => {
                    run = *unfinished;
                    NextStep::Retry(Duration::ZERO)
                }
            },
            SendEnd::NotRun(answer, head) => handle_not_run(&mut run, &server, answer, &head),
            SendEnd::Closed => NextStep::Retry(Duration::ZERO),
            SendEnd::Unsent(_) => {
                run.avoided.push(server);
                NextStep::Retry(Duration::ZERO)
            }
            SendEnd::Unknown(cause) => handle_unknown(&mut run, server, cause),
        };
        match step {
            NextStep::Retry(delay) if delay.is_zero() => {}
            NextStep::Retry(delay) => tokio::time::sleep(delay.min(run.left())).await,
            NextStep::Finished(answer) => return *answer,
        }
    }
}
