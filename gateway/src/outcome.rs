//! What follows a send to a server: an answer to the caller, or another try.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::AdapterKey;
use coltsfoothook_exchange::ExchangeAnswer;
use coltsfoothook_platform::{AnswerHead, pass_on};
use coltsfoothook_telemetry::event;
use http::{Response, StatusCode};
use tokio::time::timeout;

use crate::answer::{AnswerStream, own_answer, whole_answer};
use crate::clock;
use crate::find::LEAST_LEFT;
use crate::peer;
use crate::relay::StreamRelay;
use crate::run::RequestRun;
use crate::send::{ANSWER_SLACK, JUST_LOADED_US};

/// When a caller should come back after a refusal, in seconds: a cold adapter is loaded by then, and
/// the caller has most of its time left.
const COME_BACK_S: f64 = 0.4;
/// The longest body of a plain answer that is held until it is whole.
const MOST_WHOLE_BYTES: usize = 8 << 20;

/// What to do after a send.
pub(crate) enum NextStep {
    /// Look for a server again, after a pause.
    Again(Duration),
    /// The request is answered.
    Finished(Box<Response<AnswerStream>>),
}

/// What follows a server's own answer.
pub(crate) enum AfterAnswer {
    /// The caller gets it.
    Finished(Box<Response<AnswerStream>>),
    /// Another server may do better.
    Again(Box<RequestRun>),
}

impl AfterAnswer {
    fn finished(answer: Response<AnswerStream>) -> Self {
        Self::Finished(Box::new(answer))
    }
}

/// A server's own answer came.
pub(crate) async fn answered(
    mut run: RequestRun,
    server: ServerName,
    answer: ExchangeAnswer,
) -> AfterAnswer {
    run.ran += 1;
    let status = answer.status;
    let failed = status.is_server_error();
    let may_again = failed && status != StatusCode::GATEWAY_TIMEOUT && run.may_run_elsewhere();
    let stream = run.request.route.repeat.is_stream() && status.is_success();
    if stream {
        return AfterAnswer::finished(StreamRelay::answer(run, server, answer));
    }
    let (headers, pace) = (answer.headers.clone(), run.elapsed());
    let body = timeout(run.left() + ANSWER_SLACK, answer.body.collect(MOST_WHOLE_BYTES)).await;
    let body = body.map_err(|_| "timed out".to_owned());
    let body = body.and_then(|whole| whole.map_err(|error| error.to_string()));
    {
        let mut beliefs = run.gateway.beliefs();
        let good = !failed && body.is_ok();
        let pace = good.then_some(pace.as_micros() as f64);
        if beliefs.backends.is_life(server.as_str(), run.incarnation) {
            beliefs.backends.answered(server.as_str(), good, pace);
        }
    }
    let body = match body {
        Ok(body) => body,
        Err(cause) => return finish_or_again(run, server, cause),
    };
    if may_again {
        run.avoided.push(server);
        return AfterAnswer::Again(Box::new(run));
    }
    run.first = Some(run.elapsed());
    run.status = status.as_u16();
    run.end(if failed { "server_failed" } else { "done" }, "");
    AfterAnswer::finished(whole_answer(status, pass_on(&headers), body))
}

fn finish_or_again(mut run: RequestRun, server: ServerName, cause: String) -> AfterAnswer {
    match broke_off(&mut run, server, cause) {
        NextStep::Again(_) => AfterAnswer::Again(Box::new(run)),
        NextStep::Finished(answer) => AfterAnswer::Finished(answer),
    }
}

/// A server did not run the request.
pub(crate) fn not_run(
    run: &mut RequestRun,
    server: &ServerName,
    answer: ExchangeAnswer,
    head: &AnswerHead,
) -> NextStep {
    let now = clock::now();
    let status = answer.status;
    let key = run.request.head.need.as_ref().and_then(|need| need.adapter.clone());
    let mut beliefs = run.gateway.beliefs();
    let state = beliefs.backends.get(server.as_str());
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
    if !beliefs.backends.is_life(server.as_str(), run.incarnation) {
        // The server started again since; what its earlier life refused tells nothing of this one.
        return NextStep::Again(Duration::ZERO);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        drop(beliefs);
        return misdirected(run, server, key.as_ref(), usable_from);
    }
    // It is full, or replaces the adapter's version; it may take requests again in a moment.
    beliefs.backends.full(server.as_str(), now);
    drop(beliefs);
    if key.is_none() {
        run.avoided.push(server.clone());
        return NextStep::Again(Duration::ZERO);
    }
    NextStep::Again(run.next_pause())
}

/// A server does not hold the adapter, not yet or not any more, or is another life at the address.
fn misdirected(
    run: &mut RequestRun,
    server: &ServerName,
    key: Option<&AdapterKey>,
    usable_from: Option<TimePoint>,
) -> NextStep {
    let now = clock::now();
    let gateway = Arc::clone(&run.gateway);
    let mut beliefs = gateway.beliefs();
    if let (Some(key), Some(from)) = (key, usable_from) {
        let lost = beliefs.backends.get(server.as_str()).is_some_and(|state| state.is_avoided(now));
        if now.since(from) < JUST_LOADED_US && !lost {
            beliefs.uses.met(server, run.incarnation, key, |used| used.too_early = true);
            drop(beliefs);
            // Others wait for the same load; told at once, they do not come too early as well.
            peer::tell_use(&gateway, server, run.incarnation, key);
            return NextStep::Again(run.next_pause());
        }
        beliefs.backends.not_held(server.as_str(), key);
        beliefs.uses.met(server, run.incarnation, key, |used| used.missing = true);
        return NextStep::Again(Duration::ZERO);
    }
    beliefs.backends.unreachable(server.as_str(), now);
    drop(beliefs);
    run.avoided.push(server.clone());
    NextStep::Again(Duration::ZERO)
}

/// A server may have run the request, and there is no answer.
pub(crate) fn unknown(run: &mut RequestRun, server: ServerName, cause: String) -> NextStep {
    run.ran += 1;
    broke_off(run, server, cause)
}

/// What follows when a server that is counted as having run the request gives no whole answer.
fn broke_off(run: &mut RequestRun, server: ServerName, cause: String) -> NextStep {
    run.avoided.push(server);
    if run.may_run_elsewhere() {
        return NextStep::Again(Duration::ZERO);
    }
    let status =
        if run.left() < LEAST_LEFT { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    run.status = status.as_u16();
    run.end("failed", cause);
    NextStep::Finished(Box::new(own_answer(status, &run.request.head.id, None)))
}

/// The final answer of a request that no server runs any more.
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
    let come_back_s = run.come_back.map_or(0.0, |later| later.as_secs_f64()) + COME_BACK_S;
    let retry = (run.ran == 0).then_some(come_back_s);
    own_answer(status, &run.request.head.id, retry)
}
