//! Forwards a streamed answer event by event. A broken stream is resumed at its engine, or
//! continued at another one from the prompt and the text that was already sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_caller::{AnswerStream, CallProblem, CompletionKind, InterfaceReason};
use coltsfoothook_decision::grant::{GrantEnd, RequestSpec};
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::invariant::InvariantName;
use coltsfoothook_decision::message::StepKind;
use coltsfoothook_decision::outcome::RequestOutcome;
use coltsfoothook_engine::RunError;
use coltsfoothook_exchange::ResponseBody;
use coltsfoothook_telemetry::event;
use futures::{StreamExt, stream};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::answer::AnswerFilter;
use crate::hold::GrantHold;
use crate::limits::engines_of;
use crate::measure::micro_seconds;
use crate::serve::{RELEASE_TIMEOUT, RequestRun, attempt_once, check_right_slot};

/// Maximum resumptions of one stream at one engine.
const MAX_RESUMES: u32 = 3;
/// Maximum continuations of one stream at other engines.
const MAX_CONTINUATIONS: u32 = 3;
/// Wait after a failed continuation, times the number of continuations so far.
const CONTINUE_DELAY: Duration = Duration::from_millis(50);
const PROMPT: &str = "prompt";
const MAX_TOKENS: &str = "max_tokens";

/// A streamed answer in progress. Dropping it, because the caller disconnected, cancels the run at
/// the engine and releases the grant.
pub(crate) struct AnswerRun {
    run: RequestRun,
    spec: RequestSpec,
    hold: GrantHold,
    filter: AnswerFilter,
    body: ResponseBody,
    last_event_at: TimePoint,
    resumes: u32,
    continuations: u32,
}

enum StreamStep {
    Forward(Bytes),
    End,
    Fail(CallProblem),
}

impl AnswerRun {
    pub(crate) fn new(
        run: RequestRun,
        spec: RequestSpec,
        hold: GrantHold,
        filter: AnswerFilter,
        body: ResponseBody,
    ) -> Self {
        let last_event_at = run.core.clock.now();
        Self { run, spec, hold, filter, body, last_event_at, resumes: 0, continuations: 0 }
    }

    /// Returns the stream of events, beginning with `first`.
    pub(crate) fn into_stream(self, first: Bytes) -> AnswerStream {
        let rest = stream::unfold(Some(self), |state| async move {
            let mut run = state?;
            match run.next().await {
                StreamStep::Forward(bytes) => Some((Ok(bytes), Some(run))),
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
                    .fail(InterfaceReason::DeadlineExceeded, "the deadline passed in the answer");
            }
            let error = match self.body.next().await {
                Some(Ok(chunk)) => match self.take(&chunk) {
                    Some(step) => return step,
                    None => continue,
                },
                Some(Err(error)) => RunError::from(error),
                None if self.filter.finished() => return self.finish(),
                None => RunError::Broken { cause: "no end mark".to_owned() },
            };
            if self.resume(&error).await {
                continue;
            }
            self.hold.end(GrantEnd::Broken, self.filter.tokens());
            if let Some(first) = self.continue_elsewhere(&error).await {
                return StreamStep::Forward(first);
            }
            let detail = format!("the answer's stream broke: {error}");
            return self.fail(InterfaceReason::AnswerLost, &detail);
        }
    }

    fn take(&mut self, chunk: &[u8]) -> Option<StreamStep> {
        let core = Arc::clone(&self.run.core);
        match self.filter.push(chunk) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => {
                let now = core.clock.now();
                self.run.metrics.next_token(micro_seconds(now.since(self.last_event_at)));
                self.last_event_at = now;
                Some(StreamStep::Forward(bytes))
            }
            Err(error) => {
                check_right_slot(&core, &error);
                Some(self.fail(InterfaceReason::AnswerLost, &error.to_string()))
            }
        }
    }

    /// Continues reading the same run at its engine and returns whether that succeeded. The engine
    /// identifies the run by its id and sends exactly the missing tokens, so the caller never
    /// receives parts of two generations. A restarted engine does not know the run.
    async fn resume(&mut self, error: &RunError) -> bool {
        if self.resumes == MAX_RESUMES || !self.take_retry("stream_broken") {
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

    /// Returns whether the retry budget allows one more request to an engine, and takes it.
    fn take_retry(&self, why: &str) -> bool {
        let core = &self.run.core;
        let service = engines_of(&self.spec.model);
        core.limits.take_retry(&self.run.call.request_id, &service, why, core.clock.now())
    }

    /// Runs the rest at another engine, which generates from the prompt and all text that the
    /// caller has received, so that the whole is one consistent text. Returns the first part, or
    /// `None` on failure. Only for repeatable requests with text prompts; a chat would need an
    /// extension of the engine interface.
    async fn continue_elsewhere(&mut self, error: &RunError) -> Option<Bytes> {
        if !self.run.call.repeatable || self.run.call.kind != CompletionKind::Completions {
            return None;
        }
        self.extend_prompt()?;
        let _ = timeout(RELEASE_TIMEOUT, self.hold.give_back()).await;
        while self.continuations < MAX_CONTINUATIONS {
            self.continuations += 1;
            if !self.take_retry("engine_lost") {
                return None;
            }
            self.run
                .step(StepKind::Retried, format!("continue tokens={} {error}", self.run.tokens));
            event!(StreamResumed, request_id = self.run.call.request_id, error = error);
            self.spec.avoid.extend(self.run.server.take());
            match attempt_once(&mut self.run, &self.spec).await {
                Ok(part) => {
                    self.resumes = 0;
                    self.hold = part.hold;
                    self.filter = part.filter;
                    self.body = part.answer.body;
                    return Some(part.first);
                }
                Err(mut failed) => {
                    log::debug!("continuation of a stream failed: {}", failed.problem.detail);
                    failed.wait_released().await;
                }
            }
            sleep(CONTINUE_DELAY * self.continuations).await;
        }
        None
    }

    /// Appends the text sent so far to the prompt and reduces the token limits. Returns `None` if
    /// there is no text prompt or nothing left to generate.
    fn extend_prompt(&mut self) -> Option<()> {
        let sent = self.filter.tokens();
        let body = &mut self.run.call.body;
        let Some(Value::String(prompt)) = body.get_mut(PROMPT) else { return None };
        prompt.push_str(self.filter.text());
        if let Some(limit) = body.get(MAX_TOKENS).and_then(Value::as_u64) {
            let left = limit.checked_sub(u64::from(sent)).filter(|left| *left > 0)?;
            body.insert(MAX_TOKENS.to_owned(), Value::from(left));
        }
        self.run.tokens += sent;
        self.spec.max_tokens = self.spec.max_tokens.saturating_sub(sent).max(1);
        Some(())
    }

    fn finish(&mut self) -> StreamStep {
        let finished = self.filter.finished();
        self.run.core.check(InvariantName::WholeAnswer, finished, || {
            format!("{} ended without its end mark", self.run.call.request_id)
        });
        self.run.tokens += self.filter.tokens();
        self.hold.end(GrantEnd::Done, self.filter.tokens());
        self.run.end(RequestOutcome::Done);
        StreamStep::End
    }

    fn fail(&mut self, reason: InterfaceReason, detail: &str) -> StreamStep {
        self.run.tokens += self.filter.tokens();
        self.run.end(RequestOutcome::Unknown);
        StreamStep::Fail(CallProblem::ended(reason, RequestOutcome::Unknown, detail))
    }
}
