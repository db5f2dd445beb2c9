//! Handles the outcome of a send to a server: answers the caller, or retries at a server.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_decision::routing::AdapterKey;
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_exchange::{BodyFraming, ExchangeError, ExchangeResponse};
use coltsfoothook_platform::{ResponseHead, end_to_end_headers};
use coltsfoothook_telemetry::event;
use http::{Response, StatusCode, header};
use tokio::time::Instant;

use crate::answer::{AnswerStream, held_answer, own_answer};
use crate::buffer::HeldBody;
use crate::clock;
use crate::find::MIN_TIME_LEFT;
use crate::peer;
use crate::relay::StreamRelay;
use crate::run::RequestRun;
use crate::send::{ANSWER_SLACK, JUST_LOADED_US};
use crate::suspects;

/// `Retry-After` of a refusal, in seconds: long enough for a cold adapter to be loaded, and short enough that the
/// caller has most of its time left.
const RETRY_AFTER_S: f64 = 0.4;
/// The largest body, in bytes, of an answer that is not a stream. Such answers are buffered before they are sent.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// What to do after a send.
pub(crate) enum NextStep {
    /// Select a server again after this time.
    Retry(Duration),
    /// Return this answer to the caller.
    Finished(Box<Response<AnswerStream>>),
}

/// What to do after a server's own answer.
pub(crate) enum AfterAnswer {
    /// Return this answer to the caller.
    Finished(Box<Response<AnswerStream>>),
    /// The server failed, and another one may run the request.
    Retry(Box<RequestRun>),
}

impl AfterAnswer {
    fn finished(answer: Response<AnswerStream>) -> Self {
        Self::Finished(Box::new(answer))
    }
}

/// Passes a server's own answer to the caller, or retries if the server failed and another one may run the request.
pub(crate) async fn handle_answer(
    mut run: RequestRun,
    server: ServerName,
    answer: ExchangeResponse,
) -> AfterAnswer {
    run.ran += 1;
    run.framing = answer.framing;
    let status = answer.status;
    let failed = status.is_server_error();
    let may_retry = failed && status != StatusCode::GATEWAY_TIMEOUT && run.may_run_elsewhere();
    let stream = run.request.route.repeat.is_stream() && status.is_success();
    if stream {
        return AfterAnswer::finished(StreamRelay::answer(run, server, answer).await);
    }
    let (mut headers, latency) = (answer.headers.clone(), run.server_latency());
    if run.framing == BodyFraming::Chunks {
        // The body is what the chunks say. With another length the caller would take what is over for its next answer.
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut share = run.gateway.buffers.share();
    let (limit, limit_time) = (MAX_BUFFERED_BYTES, body_timeout(&run));
    let body = answer.body.collect_within(limit, limit_time, |more| share.grow(more)).await;
    if let Err(ExchangeError::BodyFailed { .. }) = &body {
        suspects::run_broken(&run);
    }
    let mut body = body.map_err(|error| error.to_string());
    // A crash ends the connection as the end of the answer does.
    let is_unframed = run.framing == BodyFraming::Connection && status.is_success();
    if is_unframed && body.is_ok() && suspects::server_is_down(&run).await {
        suspects::run_broken(&run);
        body = Err("the server is down".to_owned());
    }
    {
        let mut view = run.gateway.view();
        let good = !failed && body.is_ok();
        let latency_us = good.then_some(latency.as_micros() as f64);
        if view.backends.is_current_incarnation(server.as_str(), run.incarnation) {
            view.backends.answered(server.as_str(), good, latency_us);
            if let Some(count) = run.count.as_ref().filter(|_| good) {
                let (server, incarnation) = (server.clone(), run.incarnation);
                let now = clock::now();
                let took_us = now.since(count.sent_at) as f64;
                view.record_response_time(&ServerStart { server, incarnation }, took_us, now);
            }
        }
    }
    let body = match body {
        Ok(body) => body,
        Err(cause) => {
            run.count = None;
            return finish_or_retry(run, server, cause);
        }
    };
    run.end_place(PlaceEnd::Answered);
    if may_retry {
        run.avoided.push(server);
        return AfterAnswer::Retry(Box::new(run));
    }
    run.first = Some(run.elapsed());
    run.status = status.as_u16();
    if status.is_success() {
        suspects::run_completed(&run);
    }
    run.end(if failed { "server_failed" } else { "done" }, "");
    let unread_time = Duration::from_millis(run.gateway.settings.buffers.unread_ms);
    let guard = run.request.reading.guard(Instant::now() + run.left() + unread_time);
    let body = HeldBody { rest: body, _share: share, _guard: guard };
    AfterAnswer::finished(held_answer(status, end_to_end_headers(&headers), body))
}

/// Returns how long to wait for the whole body of an answer: where another server may run the request, only half of the
/// time left, so that a body that never ends leaves time for that server.
fn body_timeout(run: &RequestRun) -> Duration {
    if run.may_run_elsewhere() { run.left() / 2 } else { run.left() + ANSWER_SLACK }
}

fn finish_or_retry(mut run: RequestRun, server: ServerName, cause: String) -> AfterAnswer {
    match handle_broken_answer(&mut run, server, cause) {
        NextStep::Retry(_) => AfterAnswer::Retry(Box::new(run)),
        NextStep::Finished(answer) => AfterAnswer::Finished(answer),
    }
}

/// Handles a server's statement that it did not run the request.
pub(crate) fn handle_not_run(
    run: &mut RequestRun,
    server: &ServerName,
    answer: ExchangeResponse,
    head: &ResponseHead,
) -> NextStep {
    let now = clock::now();
    let status = answer.status;
    let key = run.request.head.need.as_ref().and_then(|need| need.adapter.clone());
    let mut view = run.gateway.view();
    let state = view.backends.get(server.as_str());
    let usable_from = state.and_then(|state| state.usable_since(key.as_ref()?));
    event!(
        RequestNotRun,
        request_id = run.request.head.id,
        server = server,
        status = status.as_u16(),
        adapter? = key.as_ref().map(|key| key.adapter.as_str()),
        usable_ms? = usable_from.map(|from| now.since(from) / 1_000),
        known = head.id.is_some(),
    );
    if !view.backends.is_current_incarnation(server.as_str(), run.incarnation) {
        // The server has restarted since. The refusal says nothing about its present incarnation.
        return NextStep::Retry(Duration::ZERO);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        drop(view);
        return misdirected(run, server, key.as_ref(), usable_from);
    }
    let rests = view.backends.get(server.as_str()).is_some_and(|s| !s.rest_wait(now).is_zero());
    if rests {
        // It is left alone until the end of its rest, by this request too.
        return NextStep::Retry(Duration::ZERO);
    }
    // The server is full or is replacing the adapter's version; it may accept requests again shortly. Where
    // permits are issued for its places, the issuer knows when.
    if view.backends.refusals_per_s(server.as_str(), now).is_none() {
        view.backends.mark_full(server.as_str(), now);
    }
    drop(view);
    if key.is_none() {
        run.avoided.push(server.clone());
        return NextStep::Retry(Duration::ZERO);
    }
    NextStep::Retry(run.next_retry_interval())
}

/// Handles a 421: the server does not hold the adapter, either not yet or no longer, or another server or
/// incarnation answers at the address.
fn misdirected(
    run: &mut RequestRun,
    server: &ServerName,
    key: Option<&AdapterKey>,
    usable_from: Option<TimePoint>,
) -> NextStep {
    let now = clock::now();
    let gateway = Arc::clone(&run.gateway);
    let mut view = gateway.view();
    if let (Some(key), Some(from)) = (key, usable_from) {
        let lost = view.backends.get(server.as_str()).is_some_and(|state| state.is_avoided(now));
        if now.since(from) < JUST_LOADED_US && !lost {
            view.uses.record(server, run.incarnation, key, |used| used.too_early = true);
            drop(view);
            // Other VMs may wait for the same load. Reported at once, it keeps them from sending too early as well.
            peer::report_use(&gateway, server, run.incarnation, key);
            return NextStep::Retry(run.next_retry_interval());
        }
        view.backends.not_held(server.as_str(), key);
        view.uses.record(server, run.incarnation, key, |used| used.missing = true);
        return NextStep::Retry(Duration::ZERO);
    }
    view.backends.mark_unreachable(server.as_str(), now);
    drop(view);
    run.avoided.push(server.clone());
    NextStep::Retry(Duration::ZERO)
}

/// Handles a send after which the server may have run the request, without a valid answer.
pub(crate) fn handle_unknown(run: &mut RequestRun, server: ServerName, cause: String) -> NextStep {
    run.ran += 1;
    handle_broken_answer(run, server, cause)
}

/// Retries or answers with a failure after a server that is counted in `run.ran` gave no complete answer.
fn handle_broken_answer(run: &mut RequestRun, server: ServerName, cause: String) -> NextStep {
    run.avoided.push(server);
    if run.may_run_elsewhere() {
        return NextStep::Retry(Duration::ZERO);
    }
    run.end("failed", cause);
    NextStep::Finished(Box::new(failed_answer(run)))
}

/// Returns the answer to a request that may have run, and that no server has answered completely.
pub(crate) fn failed_answer(run: &mut RequestRun) -> Response<AnswerStream> {
    let late = run.left() < MIN_TIME_LEFT;
    let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    run.status = status.as_u16();
    own_answer(status, &run.request.head.id, None)
}

/// Returns the final answer of a request that is sent to no further server.
///
/// Only if no server may have run it is that 503 with `Retry-After`; else the answer is 502 or 504.
pub(crate) fn give_up(mut run: RequestRun, reason: &'static str) -> Response<AnswerStream> {
    let (status, outcome) = if run.ran == 0 {
        (StatusCode::SERVICE_UNAVAILABLE, "refused")
    } else if reason == "deadline" {
        (StatusCode::GATEWAY_TIMEOUT, "failed")
    } else {
        (StatusCode::BAD_GATEWAY, "failed")
    };
    run.status = status.as_u16();
    run.end(outcome, reason);
    let retry_s = run.retry_after.map_or(0.0, |later| later.as_secs_f64()) + RETRY_AFTER_S;
    let retry = (run.ran == 0).then_some(retry_s);
    own_answer(status, &run.request.head.id, retry)
}
