//! Passes a stream of events on, and goes on at another server where that is allowed.

use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::routing::RetryRule;
use coltsfoothook_exchange::{AnswerBody, ExchangeAnswer};
use coltsfoothook_platform::pass_on;
use coltsfoothook_telemetry::event;
use futures::StreamExt;
use http::{HeaderMap, Response, header};
use hyper::body::Frame;
use tokio::time::{Instant, Sleep};

use crate::answer::{AnswerStream, BrokenAnswer, streamed_answer};
use crate::event_scan::EventScan;
use crate::find::find_server;
use crate::run::RequestRun;
use crate::send::{SendEnd, send};

/// What a stream may last beyond its due time: the server ends it itself at that time.
const DUE_SLACK: Duration = Duration::from_millis(200);
/// A stream with less time left is not resumed.
const LEAST_RESUME: Duration = Duration::from_millis(150);

/// Headers of a stream's answer as they go to the caller.
fn stream_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = pass_on(from);
    headers.remove(header::CONTENT_LENGTH);
    headers
}

/// A stream on its way.
pub(crate) struct StreamRelay {
    run: RequestRun,
    server: ServerName,
    /// None while no server runs it.
    body: Option<AnswerBody>,
    /// Set where another server may go on with the stream.
    scan: Option<EventScan>,
    due: std::pin::Pin<Box<Sleep>>,
    last_piece: Instant,
}

/// What the server's side brought.
enum RelayPiece {
    Events(Bytes),
    End,
    Broken(String),
    Overdue,
}

impl StreamRelay {
    /// The answer to the caller.
    pub(crate) fn answer(
        run: RequestRun,
        server: ServerName,
        answer: ExchangeAnswer,
    ) -> Response<AnswerStream> {
        let (status, headers) = (answer.status, stream_headers(&answer.headers));
        let resumable = run.request.route.repeat == RetryRule::StreamResumable;
        let due = Box::pin(tokio::time::sleep(run.left() + DUE_SLACK));
        let relay = Self {
            server,
            body: Some(answer.body),
            scan: resumable.then(EventScan::default),
            due,
            last_piece: Instant::now(),
            run,
        };
        let pieces = futures::stream::unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                Ok(None) => None,
                Err(broken) => Some((Err(broken), None)),
            }
        });
        let mut answer = streamed_answer(status, headers, pieces);
        answer.headers_mut().remove(http::header::CONNECTION);
        answer
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        loop {
            let cause = match self.piece().await {
                RelayPiece::Events(events) if events.is_empty() => continue,
                RelayPiece::Events(events) => {
                    self.passed_on();
                    return Ok(Some(events));
                }
                RelayPiece::End => {
                    self.run.status = 200;
                    self.run.end("done", "");
                    self.answered(true, None);
                    self.ended_whole();
                    return Ok(None);
                }
                RelayPiece::Broken(cause) => cause,
                RelayPiece::Overdue => {
                    self.run.end("failed", "deadline");
                    return Err(BrokenAnswer);
                }
            };
            self.answered(false, None);
            if !self.resume(&cause).await {
                self.run.end("failed", cause);
                return Err(BrokenAnswer);
            }
        }
    }

    async fn piece(&mut self) -> RelayPiece {
        let Some(body) = &mut self.body else {
            return RelayPiece::Broken("no server runs it".to_owned());
        };
        let piece = tokio::select! {
            biased;
            piece = body.next() => piece,
            () = &mut self.due => return RelayPiece::Overdue,
        };
        match piece {
            Some(Ok(bytes)) => match &mut self.scan {
                Some(scan) => RelayPiece::Events(scan.push(bytes)),
                None => RelayPiece::Events(bytes),
            },
            Some(Err(error)) => RelayPiece::Broken(error.to_string()),
            None if self.scan.as_ref().is_some_and(EventScan::is_amid) => {
                RelayPiece::Broken("the stream ended within an event".to_owned())
            }
            None => RelayPiece::End,
        }
    }

    fn passed_on(&mut self) {
        let now = Instant::now();
        self.run.prompt_read();
        if self.run.first.is_none() {
            self.run.first = Some(self.run.elapsed());
            self.last_piece = now;
            return;
        }
        let pause = now.duration_since(self.last_piece);
        self.last_piece = now;
        self.run.pause = self.run.pause.max(pause);
        self.answered(true, Some(pause.as_micros() as f64));
    }

    /// Notes how long the stream paused, since requests are held back where streams pause for too long.
    fn ended_whole(&self) {
        let request = &self.run.request;
        if let Some(gap) = request.route.target_gap {
            let mut beliefs = self.run.gateway.beliefs();
            beliefs.backends.stream_ended(&request.service, self.run.pause, gap);
        }
    }

    /// Notes how the server does, unless it started again since.
    fn answered(&self, good: bool, pace_us: Option<f64>) {
        let mut beliefs = self.run.gateway.beliefs();
        if beliefs.backends.is_life(self.server.as_str(), self.run.incarnation) {
            beliefs.backends.answered(self.server.as_str(), good, pace_us);
        }
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, cause: &str) -> bool {
        let Some(scan) = &mut self.scan else { return false };
        scan.drop_partial();
        let last = scan.last_id().map(str::to_owned);
        let run = &mut self.run;
        run.avoided.push(self.server.clone());
        // The first server must have stopped before another one goes on; closing the connection tells
        // it so.
        self.body = None;
        if run.ran >= run.request.route.max_servers || run.left() < LEAST_RESUME {
            return false;
        }
        if !run.may_send() {
            return false;
        }
        let Ok(server) = find_server(run).await else { return false };
        event!(
            StreamResumed,
            request_id = run.request.head.id,
            from = self.server,
            server = server,
            last_event? = last,
            cause = cause,
        );
        let sent = send(run, &server, last.as_deref()).await;
        run.ran += 1;
        match sent {
            SendEnd::Answer(answer) if answer.status.is_success() => {
                self.body = Some(answer.body);
                self.server = server;
                true
            }
            _ => false,
        }
    }
}
