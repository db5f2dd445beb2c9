//! Resumes a stream at another server: one that broke, and one whose server is silent.
//!
//! A broken stream has nothing to lose. A silent server may go on by itself, while a stream that is given up is lost to
//! its caller; it keeps the stream until another one has taken over.

use std::time::Duration;

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::routing::RetryRule;
use coltsfoothook_exchange::ExchangeResponse;
use coltsfoothook_telemetry::event;
use futures::StreamExt;
use tokio::time::sleep;

use crate::event_scan::EventScan;
use crate::find::find_server;
use crate::outcome::{NextStep, handle_not_run};
use crate::relay::{StreamRelay, is_event_stream};
use crate::run::SendState;
use crate::send::{ANSWER_SLACK, OpenSend, SendEnd, begin, conclude, send};
use crate::suspects;

/// A stream with less time left than this is not resumed.
const MIN_RESUME_TIME: Duration = Duration::from_millis(150);
/// How long a silent server and the one that takes over may both work on a stream.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

impl StreamRelay {
    /// Returns how long to wait for the next event of the present server before another one is tried: the route's time
    /// for an unresponsive stream where another server may resume it, else all the time left.
    pub(crate) fn event_timeout(&self) -> Duration {
        let (run, whole) = (&self.run, self.run.left() + ANSWER_SLACK);
        let route = &run.request.route;
        let is_resumable = route.repeat == RetryRule::StreamResumable;
        let has_more_servers = run.ran < route.max_servers;
        if is_resumable && has_more_servers { route.idle_timeout().min(whole) } else { whole }
    }

    /// Returns whether another server may resume the stream after the last event that was forwarded.
    fn is_resumable(&self) -> bool {
        let run = &self.run;
        // Another server may have another version of the software.
        let has_known_origin = run.first.is_none() || run.origin.is_some();
        run.request.route.repeat == RetryRule::StreamResumable
            && has_known_origin
            && run.ran < run.request.route.max_servers
            && run.left() >= MIN_RESUME_TIME
            && self.scan.as_ref().is_some_and(EventScan::is_resumable)
    }

    /// Returns the id of the last event that was forwarded.
    fn last_event(&self) -> Option<String> {
        self.scan.as_ref()?.last_id().map(str::to_owned)
    }

    /// Moves the stream of a silent server to another one, if there is one that takes over. Returns whether it moved.
    pub(crate) async fn move_from_silent(&mut self) -> bool {
        if !self.is_resumable() {
            return false;
        }
        self.run.last_end = "stream_silent";
        if !self.has_repeat && !self.run.may_send() {
            return false;
        }
        self.has_repeat = true;
        self.run.avoided.push(self.server.clone());
        let Some(body) = &mut self.body else { return false };
        let found = tokio::select! {
            biased;
            found = find_server(&mut self.run) => found,
            piece = body.next() => {
                body.put_back(piece.into_iter().collect());
                self.run.ticket = None;
                return false;
            }
        };
        let Ok(server) = found else { return false };
        if suspects::is_quarantined(&self.run) {
            return false;
        }
        self.move_to(server).await
    }

    /// Sends the stream of a silent server to another one. The silent one keeps it if it goes on before the other one
    /// has answered, or if that one does not run it.
    async fn move_to(&mut self, server: ServerName) -> bool {
        let last = self.last_event();
        let Some(body) = &mut self.body else { return false };
        let mut silent = SendState::default();
        self.run.swap_send(&mut silent);
        let Ok(mut open) = begin(&mut self.run, &server, last.as_deref()) else {
            self.run.swap_send(&mut silent);
            return false;
        };
        self.has_repeat = false;
        let sent = tokio::select! {
            biased;
            piece = body.next() => {
                body.put_back(piece.into_iter().collect());
                // The other server may have begun to run it.
                self.run.ran += 1;
                self.run.avoided.push(server);
                self.run.swap_send(&mut silent);
                return false;
            }
            sent = &mut open.exchange => sent,
            () = sleep(MAX_OVERLAP) => {
                // The silent server must stop: closing its connection ends the stream there.
                self.body = None;
                silent.count = None;
                (&mut open.exchange).await
            }
        };
        let OpenSend { server, sent_at, .. } = open;
        match conclude(&mut self.run, &server, sent_at, sent) {
            SendEnd::Answer(answer) if goes_on(&answer) => {
                drop(silent);
                self.log_resumed(&server, "no event was complete in time");
                self.take_over(server, answer);
                return true;
            }
            SendEnd::NotRun(answer, head) => {
                // The silent server goes on meanwhile, so that nothing is to be retried.
                let _ = handle_not_run(&mut self.run, &server, answer, &head);
            }
            SendEnd::Closed => {}
            SendEnd::Unsent(_) => self.run.avoided.push(server),
            SendEnd::Answer(_) | SendEnd::Unknown(_) => {
                self.run.ran += 1;
                self.run.avoided.push(server);
            }
        }
        self.run.swap_send(&mut silent);
        false
    }

    /// Resumes a broken stream at another server. Returns false if it cannot be resumed.
    pub(crate) async fn resume(&mut self, cause: &str) -> bool {
        if !self.is_resumable() {
            return false;
        }
        let last = self.last_event();
        self.run.avoided.push(self.server.clone());
        // The first server must stop before another one resumes; dropping the body closes its connection, which
        // ends the stream there.
        self.body = None;
        self.run.count = None;
        let mut is_charged = std::mem::take(&mut self.has_repeat);
        while self.is_resumable() {
            let run = &mut self.run;
            run.last_end = "stream_broken";
            if !is_charged && !run.may_send() {
                return false;
            }
            let Ok(server) = find_server(run).await else { return false };
            if suspects::is_quarantined(run) {
                return false;
            }
            self.log_resumed(&server, cause);
            let run = &mut self.run;
            let sent = send(run, &server, last.as_deref()).await;
            is_charged = matches!(sent, SendEnd::Closed);
            match sent {
                SendEnd::Answer(answer) if goes_on(&answer) => {
                    self.take_over(server, answer);
                    return true;
                }
                SendEnd::NotRun(answer, head) => {
                    if let NextStep::Retry(delay) = handle_not_run(run, &server, answer, &head) {
                        sleep(delay.min(run.left())).await;
                    }
                }
                SendEnd::Closed => {}
                SendEnd::Unsent(_) => run.avoided.push(server),
                SendEnd::Answer(_) | SendEnd::Unknown(_) => {
                    run.ran += 1;
                    run.avoided.push(server);
                }
            }
        }
        false
    }

    /// Goes on with the answer of another server. Dropping the former body closes its connection.
    fn take_over(&mut self, server: ServerName, answer: ExchangeResponse) {
        if let Some(scan) = &mut self.scan {
            scan.start_run();
        }
        self.run.ran += 1;
        self.run.framing = answer.framing;
        self.body = Some(answer.body);
        self.server = server;
    }

    fn log_resumed(&self, server: &ServerName, cause: &str) {
        let run = &self.run;
        event!(
            StreamResumed,
            request_id = run.request.head.id,
            from = self.server,
            server = server,
            last_event? = self.last_event(),
            began_at? = run.origin.as_ref().map(|origin| &origin.software),
            cause = cause,
        );
    }
}

/// Returns whether an answer can be the rest of a stream.
fn goes_on(answer: &ExchangeResponse) -> bool {
    answer.status.is_success() && is_event_stream(&answer.headers)
}
