//! Sends a request to one server and classifies the result.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_exchange::{ExchangeError, ExchangeRequest, ExchangeResponse};
use coltsfoothook_platform::{ForwardValues, ResponseHead, forward_headers, read_response_head};
use coltsfoothook_telemetry::event;
use futures::future::BoxFuture;
use http::{StatusCode, header};

use crate::clock;
use crate::links;
use crate::permit;
use crate::run::RequestRun;
use crate::sent::SentCount;
use crate::statement::{self, AnswerEnd};
use crate::suspects;

/// Time in microseconds. A refusal within it after an adapter became usable is attributed to a load that took
/// longer than expected.
pub(crate) const JUST_LOADED_US: u64 = 600_000;
/// Time in microseconds. A request that is sent within it after its adapter became usable, and answered, shows that
/// the load took no longer than expected. A later one would be answered after a longer load too.
const LOADED_IN_TIME_US: u64 = 15_000;
/// How long a server may take to answer beyond the deadline that it was given.
pub(crate) const ANSWER_SLACK: Duration = Duration::from_millis(150);
/// The time that a repeatable request waits for the head of one server's answer before another server is tried, as
/// a multiple of its target.
const HEAD_TIMEOUT_FACTOR: f64 = 1.3;
/// The same for a stream that another server may run.
const STREAM_HEAD_TIMEOUT_FACTOR: f64 = 2.5;

/// The result of one send to a server.
pub(crate) enum SendEnd {
    /// The head of an answer to this request was received.
    Answer(ExchangeResponse),
    /// The server states that it did not run the request.
    NotRun(ExchangeResponse, ResponseHead),
    /// The server rests or is at its limit.
    Closed,
    /// No byte was sent, for this cause.
    Unsent(String),
    /// The request was sent, and whether it ran is not known, for this cause.
    Unknown(String),
}

/// Why a send did not begin.
pub(crate) enum NotBegun {
    /// As [`SendEnd::Closed`].
    Closed,
    /// As [`SendEnd::Unsent`].
    Unsent(String),
}

impl From<NotBegun> for SendEnd {
    fn from(end: NotBegun) -> Self {
        match end {
            NotBegun::Closed => Self::Closed,
            NotBegun::Unsent(cause) => Self::Unsent(cause),
        }
    }
}

impl SendEnd {
    /// Returns whether the request certainly did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(..) | Self::Closed | Self::Unsent(_))
    }

    /// Returns the name in logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answer(..) => "answer",
            Self::NotRun(..) => "not_run",
            Self::Closed => "closed",
            Self::Unsent(_) => "unsent",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// A request that was sent to a server and has no answer yet. Dropping it closes the connection, which ends the request
/// there.
pub(crate) struct OpenSend {
    pub(crate) server: ServerName,
    pub(crate) sent_at: TimePoint,
    pub(crate) exchange: BoxFuture<'static, Result<ExchangeResponse, ExchangeError>>,
}

/// Sends a request to a server and waits for the head of the answer.
///
/// `last_event` is the id after which a stream is resumed; if `None`, the one that the caller gave.
pub(crate) async fn send(
    run: &mut RequestRun,
    server: &ServerName,
    last_event: Option<&str>,
) -> SendEnd {
    match begin(run, server, last_event) {
        Ok(mut open) => {
            let sent = (&mut open.exchange).await;
            conclude(run, &open.server, open.sent_at, sent)
        }
        Err(end) => end.into(),
    }
}

/// Sends a request to a server. Nothing is counted or charged if it does not begin.
pub(crate) fn begin(
    run: &mut RequestRun,
    server: &ServerName,
    last_event: Option<&str>,
) -> Result<OpenSend, NotBegun> {
    let gateway = Arc::clone(&run.gateway);
    if run.ran > 0 && !run.request.route.repeat.may_retry() {
        event!(
            InvariantBroken,
            request_id = run.request.head.id,
            invariant = "a request that may run once is not sent after it may have run",
        );
        return Err(NotBegun::Unsent("an earlier send may have run it".to_owned()));
    }
    let (address, incarnation, software, version, limit_per_s, count) = {
        let mut view = gateway.view();
        let state = view.backends.get(server.as_str()).filter(|state| !state.leaving);
        let Some(state) = state else {
            return Err(NotBegun::Unsent("the server is draining or unknown".to_owned()));
        };
        let key = run.request.head.need.as_ref().and_then(|need| need.adapter.as_ref());
        let version = key.and_then(|key| state.version(key));
        let (address, incarnation) = (state.entry.address, state.entry.incarnation);
        let software = state.entry.software.clone();
        let origin = run.origin.as_ref();
        if origin.is_some_and(|origin| software.as_ref() != Some(&origin.software)) {
            event!(
                InvariantBroken,
                request_id = run.request.head.id,
                invariant = "a stream goes on at the software version that began it",
            );
            return Err(NotBegun::Unsent("the server has another software version".to_owned()));
        }
        let now = clock::now();
        let (limit_per_s, rest) = (state.limit_per_s(), state.rest_wait(now));
        let start = ServerStart { server: server.clone(), incarnation };
        let ticket = run.ticket.as_ref().and_then(|ticket| ticket.at(server));
        let permit = if rest.is_zero() { view.take_permit(&start, ticket, now) } else { None };
        let Some(permit) = permit else {
            gateway.metrics.sent("closed");
            return Err(NotBegun::Closed);
        };
        if limit_per_s.is_some() {
            view.limit_uses.count_sent(&start);
        }
        let key = key.cloned();
        let tokens = run.prompt_tokens();
        let mut count = SentCount::new(&gateway, &mut view, server, incarnation, key, tokens);
        count.proven_at = permit.proven_at();
        (address, incarnation, software, version, limit_per_s, count)
    };
    run.ticket = None;
    count.report();
    if let Some(proven_at) = count.proven_at {
        permit::expire_later(&gateway, proven_at.since(count.sent_at));
    }
    let left = run.left();
    let marks = ForwardValues {
        server,
        left,
        priority: run.request.rank,
        customer: run.request.customer.as_ref(),
        version,
        last_event: last_event.or(run.request.head.last_event.as_deref()),
    };
    let mut request = ExchangeRequest::new(run.request.method.clone(), run.request.path.clone());
    request.headers = forward_headers(&run.request.headers, &marks);
    request.body = run.request.body.clone();
    request.head_timeout = Some(head_timeout(run, left));
    request.chunk_timeout = Some(left + ANSWER_SLACK);
    run.sends += 1;
    run.charge_send();
    run.server = Some(server.clone());
    run.second_sent_at = None;
    run.incarnation = incarnation;
    run.software = software;
    event!(
        RequestSent,
        request_id = run.request.head.id,
        service = run.request.service,
        server = server,
        software? = run.software,
        fingerprint = format_args!("{:016x}", run.request.fingerprint.0),
        parts? = shared_parts(run),
        send = run.sends,
        version? = version,
        left_ms = left.as_millis(),
        prompt = run.prompt_tokens(),
        unread = count.ahead,
        limit_per_s? = limit_per_s,
        place? = count.proven_at.map(|_| true),
    );
    run.count = Some(count);
    let sent_at = clock::now();
    let exchange = Box::pin(async move { gateway.client.send(address, request).await });
    Ok(OpenSend { server: server.clone(), sent_at, exchange })
}

/// Records and classifies the result of a send, while the request's state is that of this send.
pub(crate) fn conclude(
    run: &mut RequestRun,
    server: &ServerName,
    sent_at: TimePoint,
    sent: Result<ExchangeResponse, ExchangeError>,
) -> SendEnd {
    let gateway = Arc::clone(&run.gateway);
    match &sent {
        Ok(answer) if answer.fresh => gateway.view().links.record_connected(),
        Ok(_) => {}
        Err(ExchangeError::Sent { .. }) => suspects::run_broken(run),
        Err(_) => links::server_failed(&gateway, server),
    }
    let end = classify(run, sent);
    if matches!(end, SendEnd::Answer(..)) {
        suspects::server_answered(run, sent_at);
    }
    if !matches!(end, SendEnd::Answer(..)) {
        run.end_place(place_end(&end));
    }
    if matches!(end, SendEnd::Unsent(_)) {
        // No server received it, so it does not count as a send: otherwise refused connections would use up the
        // budget of repeats while servers are down.
        run.sends -= 1;
    }
    run.last_end = end.name();
    record_send(run, server, &end);
    record_statement(run, server, &end);
    end
}

/// Returns what a send without an answer means for its place at the server.
fn place_end(end: &SendEnd) -> PlaceEnd {
    match end {
        SendEnd::NotRun(answer, _) if answer.status != StatusCode::MISDIRECTED_REQUEST => {
            PlaceEnd::Refused
        }
        // It may still run there.
        SendEnd::Unknown(_) => PlaceEnd::BrokenOff,
        SendEnd::NotRun(..) | SendEnd::Unsent(_) | SendEnd::Closed => PlaceEnd::NotRun,
        SendEnd::Answer(..) => PlaceEnd::Answered,
    }
}

/// Returns the ids of the shared parts of the request's prompt for the log, if it has any.
fn shared_parts(run: &RequestRun) -> Option<String> {
    let parts = run.request.head.need.as_ref()?.shared_parts();
    let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    (!ids.is_empty()).then(|| ids.join(","))
}

/// Records what the server states about itself, if the answer certainly is its own: a 421 may come from another server
/// at its address.
fn record_statement(run: &RequestRun, server: &ServerName, end: &SendEnd) {
    let (headers, answer_end) = match end {
        SendEnd::Answer(answer) if answer.status.is_success() => {
            (&answer.headers, AnswerEnd::Served)
        }
        SendEnd::Answer(answer) => (&answer.headers, AnswerEnd::Failed),
        SendEnd::NotRun(answer, head)
            if head.id.is_some() && answer.status != StatusCode::MISDIRECTED_REQUEST =>
        {
            (&answer.headers, AnswerEnd::Refused)
        }
        _ => return,
    };
    let start = ServerStart { server: server.clone(), incarnation: run.incarnation };
    statement::record(&run.gateway, &start, headers, answer_end);
}

/// Returns how long to wait for the head: where another server may run the request, only as long as a healthy one
/// would take.
fn head_timeout(run: &RequestRun, left: Duration) -> Duration {
    let whole = left + ANSWER_SLACK;
    let more_servers = run.ran + 1 < run.request.route.max_servers;
    if !run.request.route.repeat.may_retry() || !more_servers {
        return whole;
    }
    let factor = if run.request.route.repeat.is_stream() {
        STREAM_HEAD_TIMEOUT_FACTOR
    } else {
        HEAD_TIMEOUT_FACTOR
    };
    run.request.route.target.mul_f64(factor).min(left / 2).min(whole)
}

/// Classifies an answer or error. An answer counts only with the request's id and the server's seal, not encoded.
fn classify(run: &RequestRun, sent: Result<ExchangeResponse, ExchangeError>) -> SendEnd {
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) if error.certainly_not_sent() => return SendEnd::Unsent(error.to_string()),
        Err(error) => return SendEnd::Unknown(error.to_string()),
    };
    let head = read_response_head(&answer.headers);
    let foreign = head.id.as_ref().is_some_and(|id| *id != run.request.head.id);
    if foreign {
        // This answers an earlier request on the connection. The answer to this request may follow, but where it
        // begins is not known. Dropping the answer closes the connection.
        return SendEnd::Unknown("the answer belongs to another request".to_owned());
    }
    let refused = answer.status == StatusCode::MISDIRECTED_REQUEST || head.not_run;
    if refused && !answer.status.is_success() {
        return SendEnd::NotRun(answer, head);
    }
    if answer.headers.contains_key(header::CONTENT_ENCODING) {
        return SendEnd::Unknown("the answer has a content encoding".to_owned());
    }
    if !head.sealed || head.id.is_none() {
        return SendEnd::Unknown(format!(
            "status {} without server seal or request id",
            answer.status.as_u16()
        ));
    }
    SendEnd::Answer(answer)
}

/// Records the result of a send in the metrics, the view of the server, the adapter's uses and the log.
fn record_send(run: &RequestRun, server: &ServerName, end: &SendEnd) {
    let result = end.name();
    let cause = match end {
        SendEnd::Unsent(cause) | SendEnd::Unknown(cause) => cause.as_str(),
        SendEnd::Answer(..) | SendEnd::NotRun(..) | SendEnd::Closed => "",
    };
    run.gateway.metrics.sent(result);
    let now = clock::now();
    let mut view = run.gateway.view();
    if matches!(end, SendEnd::Unsent(_)) {
        let start = ServerStart { server: server.clone(), incarnation: run.incarnation };
        if view.backends.refusals_per_s(server.as_str(), now).is_none() {
            view.permits.give_back(now, &start);
        }
    }
    match end {
        SendEnd::Unsent(_) | SendEnd::Unknown(_)
            if view.backends.is_current_incarnation(server.as_str(), run.incarnation) =>
        {
            view.backends.mark_unreachable(server.as_str(), now);
        }
        _ => {}
    }
    let key = run.request.head.need.as_ref().and_then(|need| need.adapter.as_ref());
    let sent_at = run.count.as_ref().map_or(now, |count| count.sent_at);
    let just_usable = key.is_some_and(|key| {
        let state = view.backends.get(server.as_str());
        let from = state.and_then(|state| state.usable_since(key));
        from.is_some_and(|from| sent_at.since(from) < LOADED_IN_TIME_US)
    });
    drop(view);
    if matches!(end, SendEnd::Answer(..)) && just_usable {
        run.record_use(server, |used| used.in_time = true);
    }
    if !cause.is_empty() {
        event!(
            RequestRetried,
            request_id = run.request.head.id,
            server = server,
            outcome = result,
            cause = cause,
        );
    }
}
