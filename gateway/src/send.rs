//! Sends a request to one server and tells how far it came.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::routing::RetryRule;
use coltsfoothook_exchange::{ExchangeAnswer, ExchangeError, ExchangeRequest};
use coltsfoothook_platform::{AnswerHead, ForwardMarks, forward_headers, read_answer};
use coltsfoothook_telemetry::event;
use http::{StatusCode, header};

use crate::clock;
use crate::run::RequestRun;
use crate::sent::SentCount;

/// A refusal within this time after an adapter became usable is put down to its load.
pub(crate) const JUST_LOADED_US: u64 = 600_000;
/// A request that is sent within this time after its adapter became usable shows that the load took no
/// longer than expected. One that comes later would have been served after a longer load too.
const AS_EXPECTED_US: u64 = 15_000;
/// What a server may take beyond the deadline that it was given before its silence ends the request.
pub(crate) const ANSWER_SLACK: Duration = Duration::from_millis(150);
/// How many times its target an idempotent request waits for one server before another is tried.
const PATIENCE: f64 = 1.3;
/// The same for a stream that another server may run.
const STREAM_PATIENCE: f64 = 2.5;

/// How one send to a server ended.
pub(crate) enum SendEnd {
    /// The head of an answer to this request came.
    Answer(ExchangeAnswer),
    /// The server states that it did not run the request.
    NotRun(ExchangeAnswer, AnswerHead),
    /// No byte was sent.
    Unsent(String),
    /// It was sent, and whether it ran is not known.
    Unknown(String),
}

/// Sends a request to a server and waits for the head of the answer.
pub(crate) async fn send(
    run: &mut RequestRun,
    server: &ServerName,
    last_event: Option<&str>,
) -> SendEnd {
    let gateway = Arc::clone(&run.gateway);
    if run.ran > 0 && !run.request.route.repeat.may_retry() {
        event!(
            InvariantBroken,
            request_id = run.request.head.id,
            invariant = "a request that may run once is not sent after it may have run",
        );
        return SendEnd::Unsent("it may have run".to_owned());
    }
    let (address, incarnation, version) = {
        let beliefs = gateway.beliefs();
        let state = beliefs.backends.get(server.as_str()).filter(|state| !state.leaving);
        let Some(state) = state else {
            return SendEnd::Unsent("the server is leaving or gone".to_owned());
        };
        let key = run.request.head.need.as_ref().and_then(|need| need.adapter.as_ref());
        (state.entry.address, state.entry.incarnation, key.and_then(|key| state.version(key)))
    };
    let left = run.left();
    let marks = ForwardMarks {
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
    request.head_within = Some(head_time(run, left));
    request.piece_within = Some(piece_time(run, left));
    run.sends += 1;
    run.charge_send();
    run.server = Some(server.clone());
    run.incarnation = incarnation;
    let key = run.request.head.need.as_ref().and_then(|need| need.adapter.clone());
    let count = SentCount::new(&gateway, server, incarnation, key, run.prompt_tokens());
    event!(
        RequestSent,
        request_id = run.request.head.id,
        server = server,
        send = run.sends,
        version? = version,
        left_ms = left.as_millis(),
        prompt = run.prompt_tokens(),
        unread = count.ahead,
    );
    run.count = Some(count);
    let sent = gateway.client.send(address, request).await;
    let end = classify(run, sent);
    if !matches!(end, SendEnd::Answer(..)) {
        run.count = None;
    }
    if matches!(end, SendEnd::Unsent(_)) {
        // No server saw it, so it does not count as a repeat: while servers are down, refused
        // connections would use up the budget.
        run.sends -= 1;
    }
    note(run, server, &end);
    end
}

/// How long to wait for the head: where another server may run the request, only as long as one that
/// is well would take.
fn head_time(run: &RequestRun, left: Duration) -> Duration {
    let whole = left + ANSWER_SLACK;
    let more_servers = run.ran + 1 < run.request.route.max_servers;
    if !run.request.route.repeat.may_retry() || !more_servers {
        return whole;
    }
    let patience = if run.request.route.repeat.is_stream() { STREAM_PATIENCE } else { PATIENCE };
    run.request.route.target.mul_f64(patience).min(left / 2).min(whole)
}

/// How long to wait for the next piece of the answer. Where another server may go on with a stream, as long
/// as its caller waits; else as long as there is time. Cut sooner, a stream whose last server paused for some
/// seconds would end without an answer, though its caller was still there and the server went on.
fn piece_time(run: &RequestRun, left: Duration) -> Duration {
    let whole = left + ANSWER_SLACK;
    let route = &run.request.route;
    let may_go_on = route.repeat == RetryRule::StreamResumable;
    let more_servers = run.ran + 1 < route.max_servers;
    if may_go_on && more_servers { route.silence().min(whole) } else { whole }
}

fn classify(run: &RequestRun, sent: Result<ExchangeAnswer, ExchangeError>) -> SendEnd {
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) if error.certainly_not_sent() => return SendEnd::Unsent(error.to_string()),
        Err(error) => return SendEnd::Unknown(error.to_string()),
    };
    let head = read_answer(&answer.headers);
    let foreign = head.id.as_ref().is_some_and(|id| *id != run.request.head.id);
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
    SendEnd::Answer(answer)
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
        SendEnd::Unsent(_) | SendEnd::Unknown(_)
            if beliefs.backends.is_life(server.as_str(), run.incarnation) =>
        {
            beliefs.backends.unreachable(server.as_str(), now);
        }
        _ => {}
    }
    let key = run.request.head.need.as_ref().and_then(|need| need.adapter.as_ref());
    let sent_at = run.count.as_ref().map_or(now, |count| count.sent_at);
    let fresh = key.is_some_and(|key| {
        let state = beliefs.backends.get(server.as_str());
        let from = state.and_then(|state| state.usable_since(key));
        from.is_some_and(|from| sent_at.since(from) < AS_EXPECTED_US)
    });
    drop(beliefs);
    if matches!(end, SendEnd::Answer(..)) && fresh {
        run.met_adapter(server, |used| used.in_time = true);
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
