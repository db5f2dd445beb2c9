//! Forwards an event stream to the caller. [`crate::resume`] resumes it at another server.

use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_exchange::{BodyFraming, ExchangeError, ExchangeResponse, ResponseBody};
use coltsfoothook_platform::end_to_end_headers;
use coltsfoothook_telemetry::event;
use futures::StreamExt;
use http::{HeaderMap, Response, header};
use hyper::body::Frame;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::answer::{AnswerStream, BrokenAnswer, streamed_answer};
use crate::buffer::{BufferShare, ReadingGuard};
use crate::clock;
use crate::event_scan::EventScan;
use crate::origins;
use crate::outcome::failed_answer;
use crate::run::RequestRun;
use crate::suspects;

/// How long a stream may run past its due time. The server knows the due time and ends the stream itself then.
const DUE_SLACK: Duration = Duration::from_millis(200);
/// How often it is tried to move a stream whose server is silent, until that server goes on.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long after the due time a stream whose caller does not read is ended; more than [`DUE_SLACK`], so that one whose
/// caller reads ends by itself.
const READING_SLACK: Duration = Duration::from_millis(400);
/// The part of an incomplete event, in bytes, that is not counted as held: usual events are shorter.
const FREE_EVENT_BYTES: usize = 16 << 10;

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Returns the headers of a stream's answer for the caller. The length may change when the stream is resumed.
fn stream_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end_headers(from);
    headers.remove(header::CONTENT_LENGTH);
    headers
}

/// Returns whether an answer on a route for streams is one of events. One without a type counts as such.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let stated = headers.get(header::CONTENT_TYPE).map(|value| value.as_bytes());
    stated.is_none_or(|stated| stated.to_ascii_lowercase().starts_with(EVENT_STREAM))
}

/// A stream that is being forwarded.
pub(crate) struct StreamRelay {
    pub(crate) run: RequestRun,
    pub(crate) server: ServerName,
    /// `None` while no server runs the stream.
    pub(crate) body: Option<ResponseBody>,
    /// `None` if the answer is not a stream of events.
    pub(crate) scan: Option<EventScan>,
    /// Whether the budget of repeats was charged for a further send that has not begun.
    pub(crate) has_repeat: bool,
    due: std::pin::Pin<Box<Sleep>>,
    last_piece: Instant,
    /// What is held of an incomplete event beyond [`FREE_EVENT_BYTES`].
    share: BufferShare,
    /// Ends the stream if its caller does not read, as the due time is looked at only when it does.
    reading: ReadingGuard,
}

/// What was read from the server.
enum RelayPiece {
    Events(Bytes),
    End,
    Broken(String),
    /// The due time and [`DUE_SLACK`] are over.
    Overdue,
    /// No event was complete in time, whatever bytes came. The server may still go on.
    Eventless,
}

impl StreamRelay {
    /// Returns the answer to the caller, whose body forwards the stream, once the first event has come. A stream that
    /// breaks before is answered with a failure, as its caller could not tell an answer without events from a whole one.
    pub(crate) async fn answer(
        run: RequestRun,
        server: ServerName,
        answer: ExchangeResponse,
    ) -> Response<AnswerStream> {
        let (status, headers) = (answer.status, stream_headers(&answer.headers));
        let scan = is_event_stream(&answer.headers).then(EventScan::default);
        let due = Box::pin(tokio::time::sleep(run.left() + DUE_SLACK));
        let mut relay = Self {
            server,
            body: Some(answer.body),
            scan,
            has_repeat: false,
            due,
            last_piece: Instant::now(),
            share: run.gateway.buffers.share(),
            reading: run.request.reading.guard(Instant::now() + run.left() + READING_SLACK),
            run,
        };
        let first = match relay.next().await {
            Ok(first) => first,
            Err(BrokenAnswer) => return failed_answer(&mut relay.run),
        };
        let rest = first.is_some().then_some(relay);
        let first = futures::stream::iter(first.map(|events| Ok(Frame::data(events))));
        let rest = futures::stream::unfold(rest, |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                Ok(None) => None,
                Err(broken) => Some((Err(broken), None)),
            }
        });
        let mut answer = streamed_answer(status, headers, first.chain(rest));
        answer.headers_mut().remove(http::header::CONNECTION);
        answer
    }

    /// Returns the next bytes for the caller, or `None` at the end of the stream.
    ///
    /// The time for the next event counts from the call: before it the caller did not read.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        let mut event_due = Instant::now() + self.event_timeout();
        let mut was_silent = false;
        loop {
            let events = self.complete_events();
            let mut piece = self.read_piece(event_due).await;
            if self.complete_events() > events {
                event_due = Instant::now() + self.event_timeout();
            } else if matches!(&piece, RelayPiece::Events(events) if events.is_empty())
                && Instant::now() >= event_due
            {
                piece = RelayPiece::Eventless;
            }
            let cause = match piece {
                RelayPiece::Events(events) if events.is_empty() => continue,
                RelayPiece::Events(events) => {
                    self.record_forwarded();
                    return Ok(Some(events));
                }
                RelayPiece::End => {
                    self.run.status = 200;
                    self.run.end_place(PlaceEnd::Answered);
                    suspects::run_completed(&self.run);
                    self.run.end("done", "");
                    self.record_answer(true, None);
                    self.record_completed();
                    return Ok(None);
                }
                RelayPiece::Broken(cause) => cause,
                RelayPiece::Eventless => {
                    if !std::mem::replace(&mut was_silent, true) {
                        self.record_answer(false, None);
                    }
                    let has_moved = self.move_from_silent().await;
                    let wait =
                        if has_moved { self.event_timeout() } else { SILENCE_CHECK_INTERVAL };
                    event_due = Instant::now() + wait;
                    continue;
                }
                RelayPiece::Overdue => {
                    self.run.end("failed", "deadline");
                    return Err(BrokenAnswer);
                }
            };
            self.record_answer(false, None);
            self.log_broken(&cause);
            if !self.resume(&cause).await {
                self.run.end("failed", cause);
                return Err(BrokenAnswer);
            }
            event_due = Instant::now() + self.event_timeout();
        }
    }

    /// Returns how many events were complete so far.
    fn complete_events(&self) -> u64 {
        self.scan.as_ref().map_or(0, EventScan::events)
    }

    async fn read_piece(&mut self, event_due: Instant) -> RelayPiece {
        let Some(body) = &mut self.body else {
            return RelayPiece::Broken("no server runs the stream".to_owned());
        };
        let piece = tokio::select! {
            biased;
            // First, as a body may always have bytes ready.
            () = &mut self.due => return RelayPiece::Overdue,
            // Before the timer, as events may have come while this process did not run.
            piece = body.next() => piece,
            () = sleep_until(event_due), if self.scan.is_some() => return RelayPiece::Eventless,
        };
        match piece {
            Some(Ok(bytes)) => self.events(bytes),
            Some(Err(error)) => {
                if matches!(error, ExchangeError::BodyFailed { .. }) {
                    suspects::run_broken(&self.run);
                }
                RelayPiece::Broken(error.to_string())
            }
            None => self.ended().await,
        }
    }

    fn events(&mut self, bytes: Bytes) -> RelayPiece {
        let Some(scan) = &mut self.scan else { return RelayPiece::Events(bytes) };
        let events = scan.push(bytes);
        // Complete events go out first: a server that resumes the stream begins after them.
        if events.is_empty() && scan.is_overlong() {
            return RelayPiece::Broken("an event is too long".to_owned());
        }
        let held = scan.partial_len().saturating_sub(FREE_EVENT_BYTES);
        if !self.share.resize(held) && events.is_empty() {
            return RelayPiece::Broken("an event is longer than may be held now".to_owned());
        }
        RelayPiece::Events(events)
    }

    /// Judges the end of the present server's answer, which is complete by its framing.
    async fn ended(&mut self) -> RelayPiece {
        let unframed = self.run.framing == BodyFraming::Connection;
        let rest = self.scan.as_mut().map_or(Ok(Bytes::new()), |scan| scan.end(unframed));
        let cause = match rest {
            Ok(rest) if !rest.is_empty() => return RelayPiece::Events(rest),
            // A crash between two events ends the connection as the end of the answer does.
            Ok(_) if unframed && suspects::server_is_down(&self.run).await => "the server is down",
            Ok(_) => return RelayPiece::End,
            Err(cause) => cause,
        };
        suspects::run_broken(&self.run);
        RelayPiece::Broken(cause.to_owned())
    }

    /// Records that an event goes to the caller: the time to the first one, and the pause before each later one.
    fn record_forwarded(&mut self) {
        let now = Instant::now();
        self.run.record_prompt_read();
        if self.run.first.is_none() {
            origins::begin(&mut self.run);
            self.run.first = Some(self.run.elapsed());
            self.last_piece = now;
            return;
        }
        let pause = now.duration_since(self.last_piece);
        self.last_piece = now;
        self.run.pause = self.run.pause.max(pause);
        self.record_answer(true, Some(pause.as_micros() as f64));
    }

    /// Records the longest pause of a complete stream. Requests are held back where streams pause for longer than
    /// their route's target.
    fn record_completed(&self) {
        let request = &self.run.request;
        if let Some(gap) = request.route.target_gap {
            let mut view = self.run.gateway.view();
            view.backends.stream_ended(&request.service, self.run.pause, gap);
        }
    }

    /// Records whether the server works and how long it paused, unless it has restarted since.
    fn record_answer(&self, good: bool, pause_us: Option<f64>) {
        let mut view = self.run.gateway.view();
        if view.backends.is_current_incarnation(self.server.as_str(), self.run.incarnation) {
            view.backends.answered(self.server.as_str(), good, pause_us);
            if let Some(pause_us) = pause_us {
                let (server, incarnation) = (self.server.clone(), self.run.incarnation);
                view.record_response_time(
                    &ServerStart { server, incarnation },
                    pause_us,
                    clock::now(),
                );
            }
        }
    }

    fn log_broken(&self, cause: &str) {
        let framing = self.run.framing.as_str();
        self.run.gateway.metrics.broken_stream(framing);
        event!(
            StreamBroken,
            request_id = self.run.request.head.id,
            server = self.server,
            framing = framing,
            partial = self.scan.as_ref().map_or(0, EventScan::partial_len),
            cause = cause,
        );
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if self.reading.has_passed() {
            self.run.end("failed", "the caller did not read in time");
        }
    }
}
