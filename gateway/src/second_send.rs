//! Sends a request that waits for its answer for longer than most to a second server as well.
//!
//! The decisions are made in [`coltsfoothook_decision::second_send`]. While two sends are open, the request's state is
//! that of the first one, and the second one's is kept aside; one of them is counted in `run.ran` already, so that a
//! request whose caller leaves stays charged.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_decision::second_send::{SecondSendStep, WaitingRequest, may_send_second};
use coltsfoothook_exchange::{BodyFraming, ExchangeError, ExchangeResponse};
use coltsfoothook_telemetry::event;
use futures::StreamExt;
use futures::future::BoxFuture;
use http::StatusCode;
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock;
use crate::event_scan::EventScan;
use crate::find::choose_second;
use crate::outcome::handle_not_run;
use crate::relay::is_event_stream;
use crate::run::{RequestRun, SendState};
use crate::send::{ANSWER_SLACK, OpenSend, SendEnd, begin, conclude, send};
use crate::state::Gateway;
use crate::suspects;

/// A send whose answer cannot be forwarded yet: it has no head, or a stream has no event.
struct WaitingSend {
    server: ServerName,
    sent_at: TimePoint,
    answer: BoxFuture<'static, EarlyAnswer>,
}

/// An answer up to the head, or of a stream up to the first event.
struct EarlyAnswer {
    sent: Result<ExchangeResponse, ExchangeError>,
    early_break: Option<EarlyBreak>,
}

/// Why a stream ended before its first event.
struct EarlyBreak {
    cause: String,
    /// Whether its connection ended, as in a crash.
    is_cut: bool,
}

impl WaitingSend {
    fn new(run: &RequestRun, open: OpenSend) -> Self {
        let is_stream = run.request.route.repeat.is_stream();
        let due = Instant::now() + run.left() + ANSWER_SLACK;
        let OpenSend { server, sent_at, exchange } = open;
        let answer = Box::pin(async move {
            let mut sent = exchange.await;
            let early_break = match &mut sent {
                Ok(answer) if is_stream && answer.status.is_success() => {
                    read_first_event(answer, due).await
                }
                _ => None,
            };
            EarlyAnswer { sent, early_break }
        });
        Self { server, sent_at, answer }
    }

    fn waited_us(&self) -> u64 {
        clock::now().since(self.sent_at)
    }
}

/// Reads a stream until its first event is complete, and puts back what it read. Returns why there is none.
async fn read_first_event(answer: &mut ExchangeResponse, due: Instant) -> Option<EarlyBreak> {
    if !is_event_stream(&answer.headers) {
        return None;
    }
    let (mut scan, mut chunks) = (EventScan::default(), Vec::new());
    let unframed = answer.framing == BodyFraming::Connection;
    // The relay ends a stream that is overdue, as it does without a second send.
    let early_break = timeout_at(due, async {
        while let Some(chunk) = answer.body.next().await {
            let bytes = chunk.as_ref().map_or_else(|_| Bytes::new(), Bytes::clone);
            let early_break = chunk.as_ref().err().map(|error| EarlyBreak {
                cause: error.to_string(),
                is_cut: matches!(error, ExchangeError::BodyFailed { .. }),
            });
            chunks.push(chunk);
            // Comments that keep a connection alive are no event: the other send may still be first.
            scan.push(bytes);
            if early_break.is_some() || scan.has_events() || scan.is_overlong() {
                return early_break;
            }
        }
        let end = scan.end(unframed);
        end.err().map(|cause| EarlyBreak { cause: cause.to_owned(), is_cut: true })
    })
    .await;
    answer.body.put_back(chunks);
    early_break.unwrap_or_default()
}

/// The log line and the count of a second send. They are made on drop, so that one whose caller leaves is recorded too.
struct SecondRecord {
    gateway: Arc<Gateway>,
    request_id: String,
    server: ServerName,
    first_sent_at: TimePoint,
    sent_at: TimePoint,
    result: &'static str,
}

impl Drop for SecondRecord {
    fn drop(&mut self) {
        self.gateway.metrics.second_send(self.result);
        let now = clock::now();
        let second_ms = now.since(self.sent_at) / 1_000;
        if self.result == "won" {
            event!(
                SecondWon,
                request_id = self.request_id,
                server = self.server,
                wait_ms = now.since(self.first_sent_at) / 1_000,
                second_ms = second_ms,
            );
            return;
        }
        event!(
            SecondEnded,
            request_id = self.request_id,
            server = self.server,
            result = self.result,
            second_ms = second_ms,
        );
    }
}

/// A second send that is open beside the first one.
struct SecondSend {
    send: WaitingSend,
    /// What the request's state is to say of it.
    state: SendState,
    record: SecondRecord,
}

/// What came of the decision about a second send.
enum SecondTry {
    Wait(TimePoint),
    Sent(Box<SecondSend>),
    Denied,
}

/// Sends a request to a server, and to a second one if the answer comes late. Returns the server that the result is of.
pub(crate) async fn send_with_second(
    run: &mut RequestRun,
    server: ServerName,
) -> (ServerName, SendEnd) {
    let gateway = Arc::clone(&run.gateway);
    let is_on = gateway.view().second_sends.is_on();
    let is_apart = run.handed_over || run.on_trial;
    if !is_on || is_apart || !may_send_second(&run.request.route, run.ran) {
        let end = send(run, &server, None).await;
        return (server, end);
    }
    let mut first = match begin(run, &server, None) {
        Ok(open) => WaitingSend::new(run, open),
        Err(end) => return (server, end.into()),
    };
    let quantile = {
        let route = &run.request.route.name;
        gateway.view().second_sends.quantile(route, clock::now())
    };
    let mut decide_at = quantile.map(|quantile| quantile.exceeded_at(first.sent_at));
    while let Some(at) = decide_at {
        // Timers may fire up to a millisecond early.
        let wait = Duration::from_micros(at.since(clock::now())) + Duration::from_millis(1);
        tokio::select! {
            biased;
            answer = &mut first.answer => return finish(run, first, answer),
            () = sleep(wait) => {}
        }
        match try_second(run, &first) {
            SecondTry::Wait(until) => decide_at = Some(until),
            SecondTry::Denied => decide_at = None,
            SecondTry::Sent(second) => return race(run, first, *second).await,
        }
    }
    let answer = (&mut first.answer).await;
    finish(run, first, answer)
}

/// Decides whether a request is sent to a second server now, and sends it.
fn try_second(run: &mut RequestRun, first: &WaitingSend) -> SecondTry {
    let gateway = Arc::clone(&run.gateway);
    let now = clock::now();
    let server = choose_second(run, now);
    let request = &run.request;
    let mut view = gateway.view();
    let load = view.backends.service_load(&request.service, now);
    let is_suspect = !view.crashes.quarantined(&request.subjects).is_empty();
    let waiting = WaitingRequest {
        route: &request.route,
        service: &request.service,
        started: request.started,
        due: run.due,
        sent_at: first.sent_at,
    };
    let step = match is_suspect {
        true => SecondSendStep::Deny("suspect"),
        false => view.second_sends.decide(&waiting, server, load, now),
    };
    drop(view);
    let id = request.head.id.clone();
    let deny = |reason| {
        gateway.metrics.second_send(reason);
        event!(
            SecondDenied,
            request_id = id,
            reason = reason,
            wait_ms = first.waited_us() / 1_000,
            running = load.running,
            slots = load.slots,
        );
        SecondTry::Denied
    };
    let (server, quantile) = match step {
        SecondSendStep::Wait { until } => return SecondTry::Wait(until),
        SecondSendStep::Deny(reason) => return deny(reason),
        SecondSendStep::Send { server, quantile } => (server, quantile),
    };
    run.last_end = "late";
    if !run.may_send() {
        return deny("repeat_budget");
    }
    // The first server may have begun to run it.
    run.ran += 1;
    let mut aside = SendState::default();
    run.swap_send(&mut aside);
    let begun = begin(run, &server, None);
    run.swap_send(&mut aside);
    let Ok(open) = begun else {
        run.ran -= 1;
        return deny("closed");
    };
    event!(
        SecondSent,
        request_id = run.request.head.id,
        server = server,
        first? = run.server,
        wait_ms = first.waited_us() / 1_000,
        quantile_ms = quantile.wait_us / 1_000,
        quantile_age_ms = now.since(quantile.at) / 1_000,
        samples = quantile.samples,
        running = load.running,
        slots = load.slots,
    );
    let record = SecondRecord {
        gateway,
        request_id: id,
        server,
        first_sent_at: first.sent_at,
        sent_at: open.sent_at,
        result: "abandoned",
    };
    let send = WaitingSend::new(run, open);
    SecondTry::Sent(Box::new(SecondSend { send, state: aside, record }))
}

/// Waits for the first of two answers that can be forwarded, and cancels the other send.
async fn race(
    run: &mut RequestRun,
    mut first: WaitingSend,
    second: SecondSend,
) -> (ServerName, SendEnd) {
    let SecondSend { send: mut second, state: mut aside, mut record } = second;
    let (is_first, answer) = tokio::select! {
        biased;
        answer = &mut first.answer => (true, answer),
        answer = &mut second.answer => (false, answer),
    };
    let (ended, mut other) = if is_first {
        (first, second)
    } else {
        run.swap_send(&mut aside);
        (second, first)
    };
    let EarlyAnswer { sent, early_break } = answer;
    let end = conclude(run, &ended.server, ended.sent_at, sent);
    if let SendEnd::Answer(answer) = &end
        && early_break.is_none()
        && may_win(answer.status, is_first)
    {
        let waited_us = other.waited_us();
        // Closes the connection of the other send and gives its place back.
        drop((other.answer, aside));
        let is_success = answer.status.is_success();
        if is_first {
            record.result = "lost";
        } else {
            record.result = "won";
            record_wait(run, waited_us);
            run.avoided.push(other.server);
            run.second_sent_at = Some(ended.sent_at);
        }
        if is_success {
            record_wait(run, ended.waited_us());
        }
        return (ended.server, end);
    }
    let result = set_aside(run, ended.server, end, early_break);
    run.swap_send(&mut aside);
    if !is_first {
        record.result = result;
    }
    let answer = (&mut other.answer).await;
    let sent_at = other.sent_at;
    let is_whole = answer.early_break.is_none();
    let (server, end) = finish(run, other, answer);
    if is_first {
        record.result = match &end {
            SendEnd::Answer(answer) if is_whole && !answer.status.is_server_error() => {
                run.second_sent_at = Some(sent_at);
                "won"
            }
            SendEnd::Answer(_) | SendEnd::Unknown(_) => "failed",
            SendEnd::NotRun(..) | SendEnd::Closed | SendEnd::Unsent(_) => "refused",
        };
    }
    (server, end)
}

/// Returns whether an answer ends the race. A second server that refuses a request which the first one may still serve
/// must not answer it.
fn may_win(status: StatusCode, is_first: bool) -> bool {
    status.is_success() || is_first && !status.is_server_error()
}

/// Records the result of a send without an answer to forward, while another one goes on. Returns its name.
fn set_aside(
    run: &mut RequestRun,
    server: ServerName,
    end: SendEnd,
    early_break: Option<EarlyBreak>,
) -> &'static str {
    match end {
        SendEnd::NotRun(answer, head) => {
            // The other send goes on meanwhile, so that nothing is to be retried.
            let _ = handle_not_run(run, &server, answer, &head);
        }
        SendEnd::Closed | SendEnd::Unsent(_) => run.avoided.push(server),
        SendEnd::Answer(_) | SendEnd::Unknown(_) => {
            match &end {
                SendEnd::Answer(answer)
                    if early_break.is_none() && !answer.status.is_server_error() =>
                {
                    run.end_place(PlaceEnd::Answered);
                }
                SendEnd::Answer(_) => record_failed(run, &server, early_break),
                _ => {}
            }
            run.avoided.push(server);
            return "failed";
        }
    }
    // It certainly did not run there, so that only the other server counts.
    run.ran -= 1;
    run.refund_send();
    "refused"
}

/// Records an answer that a server failed to give, or broke off before its first event.
fn record_failed(run: &mut RequestRun, server: &ServerName, early_break: Option<EarlyBreak>) {
    let is_whole = early_break.is_none();
    if early_break.as_ref().is_some_and(|early_break| early_break.is_cut) {
        suspects::run_broken(run);
    }
    let cause = early_break.map_or_else(|| "the server failed".to_owned(), |broken| broken.cause);
    event!(
        RequestRetried,
        request_id = run.request.head.id,
        server = server,
        outcome = "failed",
        cause = cause,
    );
    let mut view = run.gateway.view();
    if view.backends.is_current_incarnation(server.as_str(), run.incarnation) {
        view.backends.answered(server.as_str(), false, None);
    }
    drop(view);
    run.end_place(if is_whole { PlaceEnd::Answered } else { PlaceEnd::BrokenOff });
}

/// Concludes the only send that is open.
fn finish(run: &mut RequestRun, send: WaitingSend, answer: EarlyAnswer) -> (ServerName, SendEnd) {
    let waited_us = send.waited_us();
    let end = conclude(run, &send.server, send.sent_at, answer.sent);
    if matches!(&end, SendEnd::Answer(sent) if sent.status.is_success())
        && answer.early_break.is_none()
    {
        record_wait(run, waited_us);
    }
    (send.server, end)
}

fn record_wait(run: &RequestRun, waited_us: u64) {
    let (route, now) = (&run.request.route.name, clock::now());
    run.gateway.view().second_sends.record_wait(route, waited_us, now);
}
