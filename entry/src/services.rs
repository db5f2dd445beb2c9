//! Routes calls to the backend servers of plain services.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfoothook_caller::{AnswerBody, CallProblem, InterfaceReason, ServiceAnswer, ServiceCall};
use coltsfoothook_decision::attempt::{AttemptNext, AttemptState, CallStage};
use coltsfoothook_decision::id::{MICROS_PER_MILLI, ServerName, TimePoint};
use coltsfoothook_decision::message::StepKind;
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::retry::CallDeadline;
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_exchange::ExchangeStage;
use coltsfoothook_service::{ServiceCall as SentCall, ServiceError};
use coltsfoothook_telemetry::event;
use futures::StreamExt;
use http::StatusCode;

use crate::admit;
use crate::claims::{KeyedRequest, RunningKey};
use crate::core::{EntryCore, read};
use crate::gate::GatePass;
use crate::stated::{self, TakenPlace};

const RETRY_MS: u64 = 1_000;

/// A call from its arrival to the end of its answer. Dropping it counts and logs the call.
struct ServiceRun {
    core: Arc<EntryCore>,
    call: ServiceCall,
    started_at: TimePoint,
    repeatable: bool,
    deadline: CallDeadline,
    key: Option<RunningKey>,
    outcome: Option<RequestOutcome>,
    server: Option<ServerName>,
    /// Counts the call at that server.
    place: Option<TakenPlace>,
    _pass: GatePass,
}

impl ServiceRun {
    fn end(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
        if let Some(key) = &mut self.key {
            key.end(outcome);
        }
    }

    /// Records that the server answered to the end, or with a refusal.
    fn end_place(&mut self, end: PlaceEnd) {
        if let Some(mut place) = self.place.take() {
            place.end(end);
        }
    }

    fn fail(&mut self, problem: CallProblem) -> CallProblem {
        self.end(problem.outcome);
        problem
    }
}

impl Drop for ServiceRun {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(RequestOutcome::Unknown);
        let (class, tenant) = (self.call.class, self.call.tenant.as_str());
        self.core.metrics.set.count_request(tenant, class, outcome);
        let took_ms = self.core.clock.now().since(self.started_at) / MICROS_PER_MILLI;
        let detail = format!("outcome={}", outcome.as_str());
        let now = self.core.clock.now();
        self.core.traces.step(&self.call.request_id, now, StepKind::Ended, detail);
        event!(
            RequestDone,
            request_id = self.call.request_id,
            tenant = tenant,
            class = class.as_str(),
            service = self.call.service,
            vm = self.core.me.vm,
            server? = self.server,
            outcome = outcome.as_str(),
            took_ms = took_ms
        );
    }
}

/// Forwards a call to one of the service's backend servers, with retries where they are allowed.
pub(crate) async fn call_service(
    core: &Arc<EntryCore>,
    call: ServiceCall,
) -> Result<ServiceAnswer, CallProblem> {
    let pass = admit::admit(core, &call.tenant, call.class)?;
    let started_at = core.clock.now();
    let repeatable = check_service(core, &call)?;
    let deadline_ms = call.deadline_ms.unwrap_or_else(|| core.view().class(call.class).deadline_ms);
    let detail = format!("tenant={} service={}", call.tenant, call.service);
    core.traces.begin(&call.request_id, started_at, detail);
    let mut run = ServiceRun {
        core: Arc::clone(core),
        started_at,
        repeatable,
        deadline: CallDeadline::after(started_at, Some(deadline_ms)),
        key: None,
        outcome: None,
        server: None,
        place: None,
        call,
        _pass: pass,
    };
    if let Err(problem) = claim(&mut run).await {
        return Err(run.fail(problem));
    }
    try_until_done(run).await
}

/// Checks that the customer may call the service, and returns whether the call may be repeated.
fn check_service(core: &EntryCore, call: &ServiceCall) -> Result<bool, CallProblem> {
    let view = core.view();
    let Some(service) = view.manifest.service(call.service.as_str()) else {
        let detail = format!("there is no service {}", call.service);
        return Err(CallProblem::not_run(InterfaceReason::UnknownService, detail));
    };
    if service.tenants.binary_search(&call.tenant).is_err() {
        let detail = format!("{} may not call {}", call.tenant, call.service);
        return Err(CallProblem::refused(RefusalReason::NotAllowed, RETRY_MS, detail));
    }
    let method = call.method.as_str();
    let by_method = service.repeatable_methods.iter().any(|name| name == method);
    Ok(call.repeatable.unwrap_or(by_method))
}

async fn claim(run: &mut ServiceRun) -> Result<(), CallProblem> {
    let Some(key) = run.call.key.clone().filter(|_| !run.repeatable) else { return Ok(()) };
    let left = run.deadline.left_ms(run.core.clock.now());
    let request = KeyedRequest {
        tenant: &run.call.tenant,
        key: &key,
        fingerprint: run.call.fingerprint,
        first_try: run.call.first_try,
        within: left.map(Duration::from_millis),
    };
    run.key = Some(admit::claim(&run.core, &request).await?);
    Ok(())
}

async fn try_until_done(mut run: ServiceRun) -> Result<ServiceAnswer, CallProblem> {
    let core = Arc::clone(&run.core);
    let mut attempt = AttemptState::new(run.repeatable, run.deadline);
    let mut avoid: Vec<ServerName> = Vec::new();
    core.limits.first_try(&run.call.service, core.clock.now());
    loop {
        let server = match choose_server(&run, &avoid) {
            ServerChoice::Send(name, address, place) => {
                run.place = Some(place);
                (name, address)
            }
            ServerChoice::Closed(wait) => {
                let detail = "no backend server of the service wants a call now";
                let retry_ms = stated::retry_ms(wait, RETRY_MS);
                let problem = CallProblem::refused(RefusalReason::Overloaded, retry_ms, detail);
                return Err(run.fail(no_further_server(&attempt, problem)));
            }
            ServerChoice::None => {
                let detail = "no backend server offers the service";
                let problem = CallProblem::refused(RefusalReason::NoServer, RETRY_MS, detail);
                return Err(run.fail(no_further_server(&attempt, problem)));
            }
        };
        run.server = Some(server.0.clone());
        let sent = sent_call(&run);
        let error = match core.clients.services.call(server.1, sent).await {
            Ok(answer) => {
                stated::record(&core, &server.0, &answer.headers, answer.status.is_success());
                let refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
                if refused {
                    run.end_place(PlaceEnd::Refused);
                }
                // A repeatable call that a resting server refused goes to another one.
                if !refused || !run.repeatable || stated::wait(&core, &server.0).is_zero() {
                    return Ok(forward(run, answer));
                }
                let now = core.clock.now();
                let stage = CallStage::ServerFailed;
                let next = fail(&run, &mut attempt, stage, now);
                if let AttemptNext::End(_) = next {
                    return Ok(forward(run, answer));
                }
                core.metrics.retried(stage);
                log_retry(&run, &server.0, stage);
                avoid.push(server.0);
                continue;
            }
            Err(error) => error,
        };
        run.place = None;
        let (stage, reason) = stage_of(&error);
        let now = core.clock.now();
        let next = fail(&run, &mut attempt, stage, now);
        if let AttemptNext::End(outcome) = next {
            return Err(run.fail(CallProblem::ended(reason, outcome, error.to_string())));
        }
        core.metrics.retried(stage);
        log_retry(&run, &server.0, stage);
        avoid.push(server.0);
    }
}

/// Records a failed attempt, and takes a retry from the budget if one is allowed.
fn fail(
    run: &ServiceRun,
    attempt: &mut AttemptState,
    stage: CallStage,
    now: TimePoint,
) -> AttemptNext {
    let (limits, call) = (&run.core.limits, &run.call);
    attempt.fail(now, stage, limits.retry_settings(), || {
        limits.take_retry(&call.request_id, &call.service, stage.as_str(), now)
    })
}

/// Returns the problem of a call that is sent to no further server: `refusal`, unless an earlier server
/// may have run the call.
fn no_further_server(attempt: &AttemptState, refusal: CallProblem) -> CallProblem {
    match attempt.outcome(RequestOutcome::NotRun) {
        RequestOutcome::NotRun => refusal,
        outcome => CallProblem::ended(InterfaceReason::BackendFailed, outcome, refusal.detail),
    }
}

fn log_retry(run: &ServiceRun, server: &ServerName, stage: CallStage) {
    event!(
        RequestRetried,
        request_id = run.call.request_id,
        tenant = run.call.tenant,
        service = run.call.service,
        server = server,
        stage = stage.as_str()
    );
}

/// Where a call goes next.
enum ServerChoice {
    Send(ServerName, std::net::SocketAddr, TakenPlace),
    /// No server wants a call now; the first of them does after this time.
    Closed(Duration),
    /// There is no server.
    None,
}

/// Chooses the next server of the service in rotation, without draining ones and those that want no
/// call now. Prefers servers of this region and then servers that this call has not tried.
fn choose_server(run: &ServiceRun, avoid: &[ServerName]) -> ServerChoice {
    let core = &run.core;
    let view = core.view();
    let control = read(&core.control);
    let region = core.settings.region.as_str();
    let mut servers: Vec<_> = view
        .service_servers(run.call.service.as_str())
        .filter(|entry| !control.is_server_draining(entry.name.as_str()))
        .filter(|entry| !stated::is_leaving(core, &entry.name))
        .collect();
    if servers.iter().any(|entry| entry.region.as_str() == region) {
        servers.retain(|entry| entry.region.as_str() == region);
    }
    let first_open = servers.iter().map(|entry| stated::wait(core, &entry.name)).min();
    servers.retain(|entry| stated::wait(core, &entry.name).is_zero());
    if servers.iter().any(|entry| !avoid.contains(&entry.name)) {
        servers.retain(|entry| !avoid.contains(&entry.name));
    }
    if servers.is_empty() {
        return first_open.map_or(ServerChoice::None, ServerChoice::Closed);
    }
    let rotation = core.service_turns.fetch_add(1, Ordering::Relaxed) as usize;
    // Another call may take what is left of a server's limit in between.
    let mut turn = (0..servers.len()).map(|at| servers[(rotation + at) % servers.len()]);
    let taken = turn.find_map(|entry| {
        let place = stated::take_place(core, &entry.name)?;
        Some((entry, place))
    });
    match taken {
        Some((entry, place)) => ServerChoice::Send(entry.name.clone(), entry.address, place),
        None => ServerChoice::Closed(first_open.unwrap_or_default()),
    }
}

fn sent_call(run: &ServiceRun) -> SentCall {
    let left = run.deadline.left_ms(run.core.clock.now());
    let mut headers = run.call.headers.clone();
    if let Some(key) = &run.call.key
        && let Ok(value) = http::HeaderValue::from_str(key.as_str())
    {
        headers.insert("idempotency-key", value);
    }
    SentCall {
        method: run.call.method.clone(),
        path: run.call.path_and_query.clone(),
        headers,
        body: run.call.body.clone(),
        repeatable: run.repeatable,
        within: left.map(Duration::from_millis),
    }
}

/// Forwards the answer as a stream. The outcome is final only when the last part was read.
fn forward(mut run: ServiceRun, answer: coltsfoothook_service::ServiceAnswer) -> ServiceAnswer {
    let coltsfoothook_service::ServiceAnswer { status, headers, body } = answer;
    // The call ran, also if the service answered with an error; its outcome is unknown until the
    // end.
    run.end(RequestOutcome::Unknown);
    let chunks = futures::stream::unfold(Some((run, body)), move |state| async move {
        let (mut run, mut body) = state?;
        match body.next().await {
            Some(Ok(chunk)) => Some((Ok(chunk), Some((run, body)))),
            Some(Err(error)) => {
                let outcome = RequestOutcome::Unknown;
                let reason = InterfaceReason::AnswerLost;
                Some((Err(CallProblem::ended(reason, outcome, error.to_string())), None))
            }
            None => {
                run.end(answered(status));
                run.end_place(PlaceEnd::Answered);
                None
            }
        }
    });
    ServiceAnswer { status, headers, body: AnswerBody::Stream(chunks.boxed()) }
}

/// Returns the outcome of a call whose answer was read to its end.
fn answered(status: StatusCode) -> RequestOutcome {
    if status.is_server_error() { RequestOutcome::Failed } else { RequestOutcome::Done }
}

fn stage_of(error: &ServiceError) -> (CallStage, InterfaceReason) {
    match error {
        ServiceError::NotSent { .. } | ServiceError::Timeout { stage: ExchangeStage::Connect } => {
            (CallStage::Connecting, InterfaceReason::BackendFailed)
        }
        ServiceError::Sent { .. } => (CallStage::SentNoAnswer, InterfaceReason::AnswerLost),
        ServiceError::Timeout { .. } => (CallStage::SentTimeout, InterfaceReason::DeadlineExceeded),
        _ => (CallStage::InAnswer, InterfaceReason::AnswerLost),
    }
}
