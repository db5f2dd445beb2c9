//! Serves completions: claims the key, obtains a grant, runs the request on an engine and returns
//! the answer, with retries where they are allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_caller::{
    AnswerBody, CallProblem, CompletionAnswer, CompletionCall, CompletionKind, InterfaceReason,
    ProblemReason,
};
use coltsfoothook_decision::attempt::{AttemptNext, AttemptState, CallStage};
use coltsfoothook_decision::grant::{GrantEnd, RequestSpec};
use coltsfoothook_decision::id::{
    AdapterVersion, GroupName, MICROS_PER_MILLI, ModelName, ServerName, TimePoint,
};
use coltsfoothook_decision::invariant::InvariantName;
use coltsfoothook_decision::message::StepKind;
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::retry::CallDeadline;
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_engine::{RunAnswer, RunCall, RunError, RunPath};
use coltsfoothook_telemetry::{RequestMetrics, event};
use http::{HeaderMap, StatusCode};
use serde_json::{Map, Value};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::admit;
use crate::answer::AnswerFilter;
use crate::claims::{KeyedRequest, RunningKey};
use crate::core::EntryCore;
use crate::gate::GatePass;
use crate::hold::GrantHold;
use crate::limits::engines_of;
use crate::measure::{micro_seconds, seconds};
use crate::reserve::{TimedGrant, reserve, usable};
use crate::stated;
use crate::stream::AnswerRun;

/// Delay before the first retry. Each further delay is [`RETRY_DELAY_FACTOR`] times the previous
/// one, so that a failed engine is detected before the attempts are used up.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
const RETRY_DELAY_FACTOR: u32 = 4;
/// Maximum wait, before a retry, until the owner knows how the previous attempt ended.
pub(crate) const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Retry delay returned when a request was refused before it was sent to an engine.
const NOT_RUN_RETRY_MS: u64 = 1_000;
const STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// A request from its arrival to its end. Dropping it counts and logs the request.
pub(crate) struct RequestRun {
    pub(crate) core: Arc<EntryCore>,
    pub(crate) call: CompletionCall,
    pub(crate) adapter: AdapterVersion,
    pub(crate) started_at: TimePoint,
    pub(crate) deadline: CallDeadline,
    pub(crate) server: Option<ServerName>,
    pub(crate) tokens: u32,
    pub(crate) metrics: RequestMetrics,
    /// Whether an engine may have begun to run it, according to the engine client's results.
    may_have_run: bool,
    outcome: Option<RequestOutcome>,
    reason: Option<&'static str>,
    key: Option<RunningKey>,
    _pass: GatePass,
}

/// A failed attempt.
pub(crate) struct FailedAttempt {
    stage: CallStage,
    server: Option<ServerName>,
    pub(crate) problem: CallProblem,
    /// Resolves once the owner knows how the attempt ended.
    released: Option<oneshot::Receiver<()>>,
}

impl FailedAttempt {
    /// Waits until the owner knows how the attempt ended, at most [`RELEASE_TIMEOUT`].
    pub(crate) async fn wait_released(&mut self) {
        if let Some(released) = self.released.take() {
            let _ = timeout(RELEASE_TIMEOUT, released).await;
        }
    }

    fn new(stage: CallStage, problem: CallProblem) -> Self {
        Self { stage, server: None, problem, released: None }
    }
}

/// Serves one completion of a caller or a job.
pub(crate) async fn complete(
    core: &Arc<EntryCore>,
    call: CompletionCall,
) -> Result<CompletionAnswer, CallProblem> {
    let mut run = begin(core, call)?;
    let model = match check_adapter(&run) {
        Ok(model) => model,
        Err(problem) => return Err(run.fail(problem)),
    };
    if let Err(problem) = run.claim().await {
        return Err(run.fail(problem));
    }
    let spec = run.spec(model);
    try_until_done(run, spec).await
}

/// Admits a request and starts its trace and metrics.
fn begin(core: &Arc<EntryCore>, call: CompletionCall) -> Result<RequestRun, CallProblem> {
    let pass = admit::admit(core, &call.tenant, call.class)?;
    let started_at = core.clock.now();
    let view = core.view();
    let deadline_ms = call.deadline_ms.unwrap_or_else(|| view.class(call.class).deadline_ms);
    let adapter = AdapterVersion {
        adapter: call.model.adapter.clone(),
        version: call.model.version.clone().unwrap_or_default(),
    };
    let detail = format!(
        "tenant={} class={} adapter={adapter} repeatable={}",
        call.tenant,
        call.class.as_str(),
        call.repeatable
    );
    core.traces.begin(&call.request_id, started_at, detail);
    Ok(RequestRun {
        core: Arc::clone(core),
        adapter,
        started_at,
        deadline: CallDeadline::after(started_at, Some(deadline_ms)),
        server: None,
        tokens: 0,
        metrics: core.metrics.set.request(call.tenant.as_str(), call.class),
        may_have_run: false,
        outcome: None,
        reason: None,
        key: None,
        call,
        _pass: pass,
    })
}

/// Resolves the adapter version and its base model, if the customer may use the adapter.
fn check_adapter(run: &RequestRun) -> Result<(AdapterVersion, ModelName), CallProblem> {
    let view = run.core.view();
    let choice = &run.call.model;
    let version = choice.version.as_ref().map(|version| version.as_str());
    let Some((entry, adapter)) = view.adapter_version(choice.adapter.as_str(), version) else {
        let detail =
            format!("version {} of the configuration has no {}", view.version, run.adapter);
        return Err(CallProblem::refused(RefusalReason::UnknownAdapter, NOT_RUN_RETRY_MS, detail));
    };
    if !entry.allows(run.call.tenant.as_str()) {
        let detail = format!("{} may not use {}", run.call.tenant, choice.adapter);
        return Err(CallProblem::refused(RefusalReason::NotAllowed, NOT_RUN_RETRY_MS, detail));
    }
    Ok((adapter, entry.model.clone()))
}

impl RequestRun {
    /// Claims the key of a request that must run at most once.
    async fn claim(&mut self) -> Result<(), CallProblem> {
        let Some(key) = self.call.key.clone().filter(|_| !self.call.repeatable) else {
            return Ok(());
        };
        let left = self.deadline.left_ms(self.core.clock.now());
        let request = KeyedRequest {
            tenant: &self.call.tenant,
            key: &key,
            fingerprint: self.call.fingerprint,
            first_try: self.call.first_try,
            within: left.map(Duration::from_millis),
        };
        let running = admit::claim(&self.core, &request).await?;
        self.step(StepKind::Claimed, format!("key={key}"));
        self.key = Some(running);
        Ok(())
    }

    fn spec(&mut self, resolved: (AdapterVersion, ModelName)) -> RequestSpec {
        let (adapter, model) = resolved;
        self.adapter = adapter.clone();
        RequestSpec {
            id: self.call.request_id.clone(),
            tenant: self.call.tenant.clone(),
            adapter,
            model,
            class: self.call.class,
            deadline_left_ms: None,
            repeatable: self.call.repeatable,
            fingerprint: self.call.fingerprint,
            prefix: self.call.prefix,
            parts: self.call.parts.clone(),
            prompt_tokens: self.call.prompt_tokens,
            max_tokens: self.call.max_tokens,
            avoid: Vec::new(),
        }
    }

    /// Adds a step to the request's trace.
    pub(crate) fn step(&self, kind: StepKind, detail: String) {
        self.core.traces.step(&self.call.request_id, self.core.clock.now(), kind, detail);
    }

    /// Records the final outcome for the metrics, the log and later requests with the same key.
    pub(crate) fn end(&mut self, outcome: RequestOutcome) {
        let holds = outcome != RequestOutcome::NotRun || !self.may_have_run;
        self.core.check(InvariantName::NotRunDidNotRun, holds, || {
            format!("{} was sent but is reported as not run", self.call.request_id)
        });
        self.outcome = Some(outcome);
        if let Some(key) = &mut self.key {
            key.end(outcome);
        }
    }

    fn fail(&mut self, problem: CallProblem) -> CallProblem {
        self.end(problem.outcome);
        self.reason = Some(problem.row().name);
        self.step(StepKind::Refused, format!("reason={} {}", problem.row().name, problem.detail));
        if let ProblemReason::Refused(reason) = problem.reason {
            self.core.metrics.set.count_refusal(self.call.class, reason);
        }
        problem
    }
}

impl Drop for RequestRun {
    fn drop(&mut self) {
        // No recorded outcome means that the caller disconnected before the end.
        let outcome = self.outcome.unwrap_or(RequestOutcome::Unknown);
        let took_ms = self.core.clock.now().since(self.started_at) / MICROS_PER_MILLI;
        self.step(StepKind::Ended, format!("outcome={}", outcome.as_str()));
        self.core.metrics.set.count_request(self.call.tenant.as_str(), self.call.class, outcome);
        self.metrics.ended(seconds(took_ms));
        event!(
            RequestDone,
            request_id = self.call.request_id,
            caller_id? = self.call.caller_id,
            tenant = self.call.tenant,
            class = self.call.class.as_str(),
            adapter = self.adapter,
            vm = self.core.me.vm,
            server? = self.server,
            outcome = outcome.as_str(),
            reason? = self.reason,
            tokens = self.tokens,
            took_ms = took_ms,
            gone = self.outcome.is_none()
        );
    }
}

async fn try_until_done(
    mut run: RequestRun,
    mut spec: RequestSpec,
) -> Result<CompletionAnswer, CallProblem> {
    let core = Arc::clone(&run.core);
    let mut attempt = AttemptState::new(run.call.repeatable, run.deadline);
    let service = engines_of(&spec.model);
    core.limits.first_try(&service, core.clock.now());
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        let mut failed = match attempt_once(&mut run, &spec).await {
            Ok(answer) => return finish(run, spec, answer).await,
            Err(failed) => failed,
        };
        let now = core.clock.now();
        let stage = failed.stage.as_str();
        let id = &run.call.request_id;
        let next = attempt.fail(now, failed.stage, core.limits.retry_settings(), || {
            core.limits.take_retry(id, &service, stage, now)
        });
        match next {
            AttemptNext::End(outcome) => {
                let problem = CallProblem { outcome, ..failed.problem };
                return Err(run.fail(problem));
            }
            AttemptNext::Again | AttemptNext::Resume => {
                core.metrics.retried(failed.stage);
                event!(
                    RequestRetried,
                    request_id = run.call.request_id,
                    tenant = run.call.tenant,
                    adapter = run.adapter,
                    server? = failed.server,
                    stage = stage
                );
                run.step(StepKind::Retried, format!("stage={stage} {}", failed.problem.detail));
                failed.wait_released().await;
                spec.avoid.extend(failed.server);
                sleep(retry_delay).await;
                retry_delay *= RETRY_DELAY_FACTOR;
            }
        }
    }
}

/// The first part of an answer and the state needed to read the rest.
pub(crate) struct FirstPart {
    pub(crate) hold: GrantHold,
    pub(crate) filter: AnswerFilter,
    pub(crate) answer: RunAnswer,
    pub(crate) first: Bytes,
}

async fn finish(
    run: RequestRun,
    spec: RequestSpec,
    part: FirstPart,
) -> Result<CompletionAnswer, CallProblem> {
    let FirstPart { hold, filter, answer, first } = part;
    let content_type = answer.content_type.clone();
    let status = answer.status;
    let body = if run.call.stream {
        AnswerBody::Stream(AnswerRun::new(run, spec, hold, filter, answer.body).into_stream(first))
    } else {
        let mut run = run;
        let mut hold = hold;
        run.tokens = filter.tokens();
        hold.end(GrantEnd::Done, filter.tokens());
        hold.end_place(PlaceEnd::Answered);
        run.core.check(InvariantName::WholeAnswer, filter.finished(), || {
            format!("answer to {} was forwarded without its end", run.call.request_id)
        });
        run.end(RequestOutcome::Done);
        AnswerBody::Whole(first)
    };
    Ok(CompletionAnswer { status, content_type, headers: HeaderMap::new(), body })
}

/// Makes one attempt at a request, up to the first part of its answer.
pub(crate) async fn attempt_once(
    run: &mut RequestRun,
    spec: &RequestSpec,
) -> Result<FirstPart, FailedAttempt> {
    let core = Arc::clone(&run.core);
    let spec = &sparing_closed(&core, spec);
    let TimedGrant { grant, start } = obtain_grant(run, spec).await?;
    let view = core.view();
    let Some((entry, _)) = view.engine(grant.server.as_str()) else {
        let problem = not_run(RefusalReason::NoServer, "the engine is no longer configured");
        return Err(FailedAttempt::new(CallStage::GrantVoid, problem));
    };
    let server = grant.server.clone();
    run.server = Some(server.clone());
    run.step(
        StepKind::Granted,
        format!(
            "server={server} slot={} why={:?} stall_ms={} queue_ms={}",
            grant.slot, grant.reason, grant.stall_ms, grant.queue_ms
        ),
    );
    run.metrics.waited(seconds(grant.stall_ms), seconds(grant.queue_ms));
    let slot = grant.slot.clone();
    let body = engine_body(&run.call.body, slot.as_str(), grant.priority);
    let hold = GrantHold::new(&core, grant, entry.address, &run.call.request_id, spec.fingerprint);
    let filter = AnswerFilter::new(slot.as_str(), &model_name(run), run.call.request_id.as_str());
    send(run, hold, filter, body, start)
        .await
        .map_err(|failed| FailedAttempt { server: Some(server), ..failed })
}

/// Returns the request with the engines that want no request now among those to avoid.
fn sparing_closed(core: &EntryCore, spec: &RequestSpec) -> RequestSpec {
    let closed = stated::closed(core);
    let added = closed.into_iter().filter(|server| !spec.avoid.contains(server));
    RequestSpec { avoid: spec.avoid.iter().cloned().chain(added).collect(), ..spec.clone() }
}

async fn obtain_grant(
    run: &mut RequestRun,
    spec: &RequestSpec,
) -> Result<TimedGrant, FailedAttempt> {
    let groups = ranked_groups(run, spec)?;
    let mut last = None;
    for group in groups {
        run.step(StepKind::Reserved, format!("group={group}"));
        match reserve(&run.core, &group, spec, run.deadline).await {
            Ok(grant) => return Ok(grant),
            Err(refusal) => last = Some(refusal),
        }
        // The next group is tried only if this one is full or has no engine.
        let try_next_group = [RefusalReason::Overloaded, RefusalReason::NoServer];
        if last.is_none_or(|refusal| !try_next_group.contains(&refusal.reason)) {
            break;
        }
    }
    let Some(refusal) = last else {
        let problem = not_run(RefusalReason::NoServer, "no engine runs the base model");
        return Err(FailedAttempt::new(CallStage::OwnerRefused, problem));
    };
    let stage = match refusal.reason {
        RefusalReason::LoadFailed => CallStage::LoadFailed,
        RefusalReason::DeadlinePassed => CallStage::WaitedTooLong,
        _ => CallStage::OwnerRefused,
    };
    let detail = "the request was not admitted to an engine";
    let problem = CallProblem::refused(refusal.reason, refusal.retry_after_ms, detail);
    Err(FailedAttempt::new(stage, problem))
}

fn ranked_groups(run: &RequestRun, spec: &RequestSpec) -> Result<Vec<GroupName>, FailedAttempt> {
    let view = run.core.view();
    let region = run.core.settings.region.as_str();
    match view.groups.route(spec.adapter.adapter.as_str(), region) {
        Ok(ranked) => Ok(ranked.iter().map(|at| view.groups.group(*at).name.clone()).collect()),
        Err(refusal) => {
            let detail = "no group of this region serves the adapter";
            let problem = CallProblem::refused(refusal.reason, refusal.retry_after_ms, detail);
            Err(FailedAttempt::new(CallStage::OwnerRefused, problem))
        }
    }
}

fn not_run(reason: RefusalReason, detail: &str) -> CallProblem {
    CallProblem::refused(reason, NOT_RUN_RETRY_MS, detail)
}

fn model_name(run: &RequestRun) -> String {
    match &run.call.model.version {
        Some(version) => format!("{}@{version}", run.call.model.adapter),
        None => run.call.model.adapter.as_str().to_owned(),
    }
}

/// Returns the caller's body with the slot as the model and the owner's priority.
fn engine_body(body: &Map<String, Value>, slot: &str, priority: i32) -> Bytes {
    let mut body = body.clone();
    body.insert("model".to_owned(), Value::from(slot));
    body.insert("priority".to_owned(), Value::from(priority));
    Value::Object(body).to_string().into()
}

async fn send(
    run: &mut RequestRun,
    mut hold: GrantHold,
    mut filter: AnswerFilter,
    body: Bytes,
    start: TimePoint,
) -> Result<FirstPart, FailedAttempt> {
    let core = Arc::clone(&run.core);
    let path = match run.call.kind {
        CompletionKind::Chat => RunPath::Chat,
        CompletionKind::Completions => RunPath::Completions,
    };
    let within = run.deadline.left_ms(core.clock.now()).map(Duration::from_millis);
    let call = RunCall {
        path,
        body,
        id: run.call.request_id.clone(),
        key: run.call.key.clone(),
        repeatable: run.call.repeatable,
        within,
    };
    if !usable(&core, start, &hold.grant) {
        hold.end(GrantEnd::NotRun, 0);
        let problem = not_run(RefusalReason::NotOwner, "the grant expired or its owner changed");
        return Err(FailedAttempt::new(CallStage::GrantVoid, problem));
    }
    let server = hold.grant.server.clone();
    hold.place = stated::take_place(&core, &server);
    if hold.place.is_none() {
        hold.end(GrantEnd::NotRun, 0);
        // The owner avoids engines that want no request, so there is no other one.
        let retry_ms = stated::retry_ms(stated::wait(&core, &server), NOT_RUN_RETRY_MS);
        let detail = "the engines with the adapter want no request now";
        let problem = CallProblem::refused(RefusalReason::Overloaded, retry_ms, detail);
        return Err(FailedAttempt::new(CallStage::OwnerRefused, problem));
    }
    hold.mark_sent();
    let answer = match core.clients.engines.run(hold.address, call).await {
        Ok(answer) => answer,
        Err(error) => {
            run.may_have_run |= !error.certainly_not_run();
            if let RunError::Refused { headers, .. } = &error {
                stated::record(&core, &server, headers, false);
                hold.end_place(PlaceEnd::Refused);
            }
            return Err(failed_run(&mut hold, &error));
        }
    };
    run.may_have_run = true;
    stated::record(&core, &server, &answer.headers, true);
    run.step(StepKind::Sent, format!("status={}", answer.status.as_u16()));
    read_first(run, hold, &mut filter, answer).await.map(|(hold, answer, first)| FirstPart {
        hold,
        filter,
        answer,
        first,
    })
}

/// Reads the first part of an answer: the first event of a stream, or the whole of an answer that
/// is not streamed. The caller has received nothing yet, so it does not notice a retry after a
/// failure here.
async fn read_first(
    run: &mut RequestRun,
    mut hold: GrantHold,
    filter: &mut AnswerFilter,
    mut answer: RunAnswer,
) -> Result<(GrantHold, RunAnswer, Bytes), FailedAttempt> {
    use futures::StreamExt;
    let core = Arc::clone(&run.core);
    if run.call.stream != answer.content_type.starts_with(STREAM_CONTENT_TYPE) {
        hold.end(GrantEnd::Broken, 0);
        let problem =
            answer_lost("the answer's content type does not match the requested streaming mode");
        return Err(FailedAttempt::new(CallStage::AnswerMismatched, problem));
    }
    let mut whole = Vec::new();
    loop {
        let chunk = match answer.body.next().await {
            Some(Ok(chunk)) => chunk,
            Some(Err(error)) => return Err(failed_run(&mut hold, &RunError::from(error))),
            None if run.call.stream => {
                hold.end(GrantEnd::Broken, 0);
                let problem = answer_lost("the answer ended without its end mark");
                return Err(FailedAttempt::new(CallStage::AnswerCut, problem));
            }
            None => break,
        };
        if run.call.stream {
            let first =
                filter.push(&chunk).map_err(|error| invalid_answer(&core, &mut hold, &error))?;
            if !first.is_empty() {
                run.metrics.first_token(micro_seconds(core.clock.now().since(run.started_at)));
                run.step(StepKind::FirstByte, String::new());
                return Ok((hold, answer, first));
            }
        } else {
            whole.extend_from_slice(&chunk);
            if whole.len() > core.settings.answer_bytes {
                hold.end(GrantEnd::Broken, 0);
                let problem = answer_lost("the answer exceeds the size limit");
                return Err(FailedAttempt::new(CallStage::AnswerCut, problem));
            }
        }
    }
    let body = filter.whole(&whole).map_err(|error| invalid_answer(&core, &mut hold, &error))?;
    run.metrics.first_token(micro_seconds(core.clock.now().since(run.started_at)));
    Ok((hold, answer, body))
}

/// Checks `RightAdapter` for an answer that is not forwarded; the invariant is violated if the
/// answer came from another slot.
pub(crate) fn check_right_slot(core: &EntryCore, error: &crate::answer::AnswerError) {
    let right = !matches!(error, crate::answer::AnswerError::WrongSlot { .. });
    core.check(InvariantName::RightAdapter, right, || error.to_string());
}

fn invalid_answer(
    core: &EntryCore,
    hold: &mut GrantHold,
    error: &crate::answer::AnswerError,
) -> FailedAttempt {
    check_right_slot(core, error);
    hold.end(GrantEnd::Broken, 0);
    FailedAttempt::new(CallStage::AnswerMismatched, answer_lost(&error.to_string()))
}

fn answer_lost(detail: &str) -> CallProblem {
    CallProblem::ended(InterfaceReason::AnswerLost, RequestOutcome::Unknown, detail)
}

/// Maps an engine error to the stage of the failure, records the grant's end and releases the
/// grant.
fn failed_run(hold: &mut GrantHold, error: &RunError) -> FailedAttempt {
    let (stage, end, reason) = match error {
        RunError::NotSent { .. }
        | RunError::Timeout { stage: coltsfoothook_exchange::ExchangeStage::Connect } => {
            (CallStage::Connecting, GrantEnd::Unreachable, InterfaceReason::BackendFailed)
        }
        RunError::SlotMissing => {
            (CallStage::SlotMissing, GrantEnd::SlotMissing, InterfaceReason::BackendFailed)
        }
        RunError::Refused { status, .. } if rejects_request(*status) => {
            (CallStage::RequestRejected, GrantEnd::Failed, InterfaceReason::BackendFailed)
        }
        RunError::Refused { .. } => {
            (CallStage::ServerRefused, GrantEnd::NotRun, InterfaceReason::BackendFailed)
        }
        RunError::Failed { .. } => {
            (CallStage::ServerFailed, GrantEnd::Failed, InterfaceReason::BackendFailed)
        }
        RunError::Sent { .. } => {
            (CallStage::SentNoAnswer, GrantEnd::Broken, InterfaceReason::AnswerLost)
        }
        RunError::Timeout { stage: coltsfoothook_exchange::ExchangeStage::Head } => {
            (CallStage::SentTimeout, GrantEnd::Cancelled, InterfaceReason::DeadlineExceeded)
        }
        RunError::Timeout { .. } => {
            (CallStage::AnswerStalled, GrantEnd::Cancelled, InterfaceReason::DeadlineExceeded)
        }
        RunError::Broken { .. } => {
            (CallStage::InAnswer, GrantEnd::Broken, InterfaceReason::AnswerLost)
        }
        RunError::TooLarge { .. } => {
            (CallStage::AnswerCut, GrantEnd::Broken, InterfaceReason::AnswerLost)
        }
    };
    hold.end(end, 0);
    let problem = CallProblem::ended(reason, RequestOutcome::Unknown, error.to_string());
    FailedAttempt { released: Some(hold.give_back()), ..FailedAttempt::new(stage, problem) }
}

/// Returns whether a status rejects the request itself, so that other engines would reject it too.
/// 429, 409 and 503 describe the engine that answered, so another one may accept the request.
fn rejects_request(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::TOO_MANY_REQUESTS
        && status != StatusCode::CONFLICT
}
