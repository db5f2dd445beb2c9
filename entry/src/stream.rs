//! Passes a streamed answer on, event by event, and resumes it at its engine if it breaks.

use std::sync::Arc;

use bytes::Bytes;
use coltsfoothook_caller::{AnswerStream, CallProblem, FaceReason};
use coltsfoothook_decision::grant::GrantEnd;
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::invariant::InvariantName;
use coltsfoothook_decision::message::StepKind;
use coltsfoothook_decision::outcome::RequestOutcome;
use coltsfoothook_engine::RunError;
use coltsfoothook_exchange::AnswerBody;
use futures::{StreamExt, stream};

use crate::answer::AnswerFilter;
use crate::hold::GrantHold;
use crate::measure::micro_seconds;
use crate::serve::{RequestRun, note_crossed};

/// Resumptions of one stream.
const MOST_RESUMES: u32 = 3;

/// A streamed answer under way. Dropping it, because the caller went away, cancels the run at the
/// engine and releases the grant.
pub(crate) struct AnswerRun {
    run: RequestRun,
    hold: GrantHold,
    filter: AnswerFilter,
    body: AnswerBody,
    last: TimePoint,
    resumes: u32,
}

enum StreamStep {
    Pass(Bytes),
    End,
    Fail(CallProblem),
}

impl AnswerRun {
    pub(crate) fn new(
        run: RequestRun,
        hold: GrantHold,
        filter: AnswerFilter,
        body: AnswerBody,
    ) -> Self {
        let last = run.core.clock.now();
        Self { run, hold, filter, body, last, resumes: 0 }
    }

    /// The stream of events, which begins with `first`.
    pub(crate) fn into_stream(self, first: Bytes) -> AnswerStream {
        let rest = stream::unfold(Some(self), |state| async move {
            let mut run = state?;
            match run.next().await {
                StreamStep::Pass(bytes) => Some((Ok(bytes), Some(run))),
                StreamStep::Fail(problem) => Some((Err(problem), None)),
                StreamStep::End => None,
            }
        });
        stream::once(async move { Ok(first) }).chain(rest).boxed()
    }

    async fn next(&mut self) -> StreamStep {
        loop {
            if self.filter.finished() {
                return self.finish();
            }
            let now = self.run.core.clock.now();
            if self.run.deadline.passed(now) {
                return self
                    .fail(FaceReason::DeadlineExceeded, "the deadline passed in the answer");
            }
            let error = match self.body.next().await {
                Some(Ok(piece)) => match self.take(&piece) {
                    Some(step) => return step,
                    None => continue,
                },
                Some(Err(error)) => RunError::from(error),
                None if self.filter.finished() => return self.finish(),
                None => RunError::Broken { cause: "no end mark".to_owned() },
            };
            if !self.resume(&error).await {
                self.hold.end(GrantEnd::Broken, self.filter.tokens());
                let detail = format!("the answer was cut: {error}");
                return self.fail(FaceReason::AnswerLost, &detail);
            }
        }
    }

    fn take(&mut self, piece: &[u8]) -> Option<StreamStep> {
        let core = Arc::clone(&self.run.core);
        match self.filter.push(piece) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => {
                let now = core.clock.now();
                self.run.metrics.next_token(micro_seconds(now.since(self.last)));
                self.last = now;
                Some(StreamStep::Pass(bytes))
            }
            Err(error) => {
                note_crossed(&core, &error);
                Some(self.fail(FaceReason::AnswerLost, &error.to_string()))
            }
        }
    }

    /// Reads the same run on at its engine. The engine knows the run by its id and gives the very
    /// tokens that are missing, so the caller never sees a splice of two generations; an engine in a
    /// new life does not know it.
    async fn resume(&mut self, error: &RunError) -> bool {
        if self.resumes == MOST_RESUMES {
            return false;
        }
        self.resumes += 1;
        self.filter.restart_event();
        let core = Arc::clone(&self.run.core);
        self.run.step(StepKind::Retried, format!("resume from={} {error}", self.filter.tokens()));
        let id = &self.run.call.request_id;
        let resumed =
            core.clients.engines.resume(self.hold.address, id, self.filter.tokens()).await;
        match resumed {
            Ok(answer) => {
                self.body = answer.body;
                true
            }
            Err(_) => false,
        }
    }

    fn finish(&mut self) -> StreamStep {
        let finished = self.filter.finished();
        self.run.core.check(InvariantName::WholeAnswer, finished, || {
            format!("{} ended without its end mark", self.run.call.request_id)
        });
        self.run.tokens = self.filter.tokens();
        self.hold.end(GrantEnd::Done, self.filter.tokens());
        self.run.end(RequestOutcome::Done);
        StreamStep::End
    }

    fn fail(&mut self, reason: FaceReason, detail: &str) -> StreamStep {
        self.run.tokens = self.filter.tokens();
        self.run.end(RequestOutcome::Unknown);
        StreamStep::Fail(CallProblem::ended(reason, RequestOutcome::Unknown, detail))
    }
}
