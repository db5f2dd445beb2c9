//! Jobs: accepted once they are read back from the log and run by one VM at a time. A run may be
//! repeated after a crash; the first result in the log is kept.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_caller::{
    AnswerBody, CallProblem, CompletionCall, CompletionKind, InterfaceReason, JobCall, JobResult,
    JobState, JobStatus, parse_completion,
};
use coltsfoothook_decision::id::{CustomerName, JobId, RequestFingerprint};
use coltsfoothook_decision::invariant::InvariantLog;
use coltsfoothook_decision::job::{
    JobAction, JobEnd, JobFold, JobRow, JobRunner, JobSettings, JobVerdict,
};
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::record::{JobEntry, JobRecord};
use coltsfoothook_telemetry::event;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::clock::wall_ms;
use crate::core::EntryCore;
use crate::held::lock;
use crate::serve::complete;

/// Timeout of the append of a record that a caller waits for, and a second time of reading it back.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of appends that no caller waits for.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time between two plans of the job runner; a record of the stream triggers one earlier.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two plans, so that many records cause few plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay returned when the log, or the configuration in force, does not permit the call.
const LOG_RETRY_MS: u64 = 2_000;
/// Retry delay returned when the limit of stored jobs is reached.
const FULL_RETRY_MS: u64 = 30_000;
/// Retry delay returned for the result of an unfinished job.
const UNFINISHED_RETRY_MS: u64 = 1_000;
const RESULT_CONTENT_TYPE: &str = "application/json";

/// The parts of a completion call that a job's record stores as its body.
#[derive(Serialize, Deserialize)]
struct JobBody {
    chat: bool,
    fingerprint: RequestFingerprint,
    body: Map<String, Value>,
}

struct JobTask {
    tenant: CustomerName,
    job: JobId,
    abort: CancellationToken,
}

/// The fold of the job stream and the jobs that run on this VM.
pub(crate) struct JobScheduler {
    fold: Mutex<JobFold>,
    runner: Mutex<JobRunner>,
    tasks: Mutex<Vec<JobTask>>,
    changed: Notify,
}

impl JobScheduler {
    pub(crate) fn new() -> Self {
        Self {
            fold: Mutex::default(),
            runner: Mutex::new(JobRunner::new(JobSettings::default())),
            tasks: Mutex::default(),
            changed: Notify::new(),
        }
    }

    pub(crate) fn next(&self) -> u64 {
        lock(&self.fold).next()
    }

    /// Continues at `first`, the first retained offset. Jobs do not depend on each other, so the
    /// fold needs no snapshot of those that retention has removed.
    pub(crate) fn retained_from(&self, first: u64) {
        if first > 0 {
            lock(&self.fold).skip(first - 1);
        }
    }

    /// Goes back to an offset; see [`JobFold::rewind`].
    pub(crate) fn rewind(&self, offset: u64) {
        lock(&self.fold).rewind(offset);
    }

    pub(crate) fn skip(&self, offset: u64) {
        lock(&self.fold).skip(offset);
    }

    pub(crate) fn fold(&self, core: &EntryCore, offset: u64, record: JobRecord) {
        let resolution = lock(&self.fold).fold(core.clock.now(), offset, record);
        if let Some(resolution) = resolution {
            lock(&self.runner).note(&resolution);
            match resolution.verdict {
                JobVerdict::Accepted => {
                    event!(JobAccepted, job = resolution.job, tenant = resolution.tenant);
                }
                JobVerdict::Finished => {
                    event!(JobFinished, job = resolution.job, tenant = resolution.tenant);
                }
                _ => {}
            }
        }
        self.changed.notify_waiters();
    }

    /// Records that the stream has been read to its end.
    pub(crate) fn caught_up(&self) {
        let mut fold = lock(&self.fold);
        if !fold.is_caught_up() {
            fold.set_caught_up();
        }
    }

    pub(crate) fn merge_invariants(&self, all: &mut InvariantLog) {
        all.merge(lock(&self.fold).invariants());
    }

    /// Returns the numbers of waiting, running and ended jobs.
    pub(crate) fn counts(&self) -> (u64, u64, u64) {
        let fold = lock(&self.fold);
        let ended = fold.rows().iter().filter(|row| row.end().is_some()).count();
        let unfinished = fold.rows().iter().filter(|row| row.end().is_none());
        let running = unfinished.filter(|row| !row.starts().is_empty()).count();
        let waiting = fold.rows().len() - ended - running;
        (waiting as u64, running as u64, ended as u64)
    }
}

/// Accepts a job; returns once its record has been read back from the log.
pub(crate) async fn submit(core: &Arc<EntryCore>, call: JobCall) -> Result<JobStatus, CallProblem> {
    let job = call.job.clone().unwrap_or_else(|| JobId(call.call.request_id.0.clone()));
    let tenant = call.call.tenant.clone();
    let entry = job_entry(core, job.clone(), call)?;
    if let Some(status) = known_job(core, &tenant, &job, &entry)? {
        return Ok(status);
    }
    let has_room = lock(&core.jobs.runner).has_room(&lock(&core.jobs.fold));
    if !has_room {
        let detail = "the limit of stored jobs is reached";
        return Err(CallProblem::refused(RefusalReason::Overloaded, FULL_RETRY_MS, detail));
    }
    let record = JobRecord::Submitted(entry.clone());
    append(core, &record).await?;
    await_row(core, &tenant, &job, |row| row.entry().is_some()).await?;
    let status = known_job(core, &tenant, &job, &entry)?;
    status.ok_or_else(|| outcome_unknown("the job has not been read back from the log yet"))
}

/// Builds a job's record. The adapter version is fixed here, so a later change of the default
/// version does not affect the job.
fn job_entry(core: &EntryCore, job: JobId, call: JobCall) -> Result<JobEntry, CallProblem> {
    let CompletionCall { tenant, model, class, kind, body, deadline_ms, fingerprint, .. } =
        call.call;
    let view = core.view();
    let version = model.version.as_ref().map(|version| version.as_str());
    let found = view.adapter_version(model.adapter.as_str(), version);
    let Some((entry, adapter)) = found else {
        let detail = format!("there is no adapter {} with that version", model.adapter);
        return Err(CallProblem::refused(RefusalReason::UnknownAdapter, LOG_RETRY_MS, detail));
    };
    if !entry.allows(tenant.as_str()) {
        let detail = format!("{tenant} may not use {}", model.adapter);
        return Err(CallProblem::refused(RefusalReason::NotAllowed, LOG_RETRY_MS, detail));
    }
    let mut body = body;
    body.insert("model".to_owned(), Value::from(adapter.to_string()));
    body.insert("stream".to_owned(), Value::from(false));
    let stored = JobBody { chat: kind == CompletionKind::Chat, fingerprint, body };
    let body = serde_json::to_string(&stored).expect("a body has text keys");
    let due_ms = deadline_ms.map(|left| wall_ms().saturating_add(left));
    Ok(JobEntry { job, tenant, adapter, class, due_ms, body, rewritten: 0 })
}

/// Returns the state of a job that is already known, or an error if its id belongs to another job.
fn known_job(
    core: &EntryCore,
    tenant: &CustomerName,
    job: &JobId,
    submitted: &JobEntry,
) -> Result<Option<JobStatus>, CallProblem> {
    let fold = lock(&core.jobs.fold);
    let Some(row) = fold.row(tenant.as_str(), job.as_str()) else { return Ok(None) };
    let differs =
        |entry: &JobEntry| entry.body != submitted.body || entry.adapter != submitted.adapter;
    if row.entry().is_some_and(differs) {
        let detail = format!("job {job} was submitted with another body");
        return Err(CallProblem::refused(RefusalReason::KeyReused, 0, detail));
    }
    Ok(Some(status_of(row)))
}

fn status_of(row: &JobRow) -> JobStatus {
    let outcome = row.end().map(|end| end.outcome);
    let state = match outcome {
        Some(RequestOutcome::NotRun) => JobState::Cancelled,
        Some(_) => JobState::Finished,
        None if row.starts().is_empty() => JobState::Queued,
        None => JobState::Running,
    };
    JobStatus { id: row.job().into(), state, outcome }
}

async fn append(core: &EntryCore, record: &JobRecord) -> Result<(), CallProblem> {
    let data = serde_json::to_string(record).expect("records have text keys");
    match core.writers.jobs.append(data, ACCEPT_TIMEOUT).await {
        Ok(()) => Ok(()),
        Err(crate::write::WriteError::NotAppended { cause }) => {
            let reason = RefusalReason::LogUnavailable;
            Err(CallProblem::refused(reason, LOG_RETRY_MS, cause))
        }
        Err(crate::write::WriteError::Unconfirmed { cause }) => Err(outcome_unknown(&cause)),
    }
}

fn outcome_unknown(detail: &str) -> CallProblem {
    let detail = format!("{detail}; submit it again under the same id");
    CallProblem::ended(InterfaceReason::AnswerLost, RequestOutcome::Unknown, detail)
        .with_retry(LOG_RETRY_MS)
}

/// Waits until a job's row satisfies `wanted`; fails after [`ACCEPT_TIMEOUT`].
async fn await_row(
    core: &EntryCore,
    tenant: &CustomerName,
    job: &JobId,
    wanted: impl Fn(&JobRow) -> bool,
) -> Result<(), CallProblem> {
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    loop {
        let changed = core.jobs.changed.notified();
        let satisfied =
            lock(&core.jobs.fold).row(tenant.as_str(), job.as_str()).is_some_and(&wanted);
        if satisfied {
            return Ok(());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if timeout(left, changed).await.is_err() {
            return Err(outcome_unknown("the record was not read back in time"));
        }
    }
}

/// Returns a job's state.
pub(crate) fn status(
    core: &EntryCore,
    tenant: &CustomerName,
    job: &JobId,
) -> Result<JobStatus, CallProblem> {
    check_caught_up(core)?;
    let fold = lock(&core.jobs.fold);
    fold.row(tenant.as_str(), job.as_str()).map(status_of).ok_or_else(|| unknown_job(core, job))
}

/// Refuses until the job stream has been read to its end. Before that this VM does not know all
/// jobs, nor which result of a job is the first.
fn check_caught_up(core: &EntryCore) -> Result<(), CallProblem> {
    if lock(&core.jobs.fold).is_caught_up() {
        return Ok(());
    }
    let detail = "the jobs have not been read from the log yet";
    Err(CallProblem::refused(RefusalReason::NotReady, LOG_RETRY_MS, detail))
}

fn unknown_job(core: &EntryCore, job: &JobId) -> CallProblem {
    if !core.health.readable(core.clock.now()) {
        let detail = "the log cannot be read, so the job may exist";
        return CallProblem::refused(RefusalReason::LogUnavailable, LOG_RETRY_MS, detail);
    }
    CallProblem::not_run(InterfaceReason::UnknownJob, format!("there is no job {job}"))
}

/// Returns a job's result, or an error while there is none or if the job failed.
pub(crate) fn result(
    core: &EntryCore,
    tenant: &CustomerName,
    job: &JobId,
) -> Result<JobResult, CallProblem> {
    check_caught_up(core)?;
    let fold = lock(&core.jobs.fold);
    let row = fold.row(tenant.as_str(), job.as_str()).ok_or_else(|| unknown_job(core, job))?;
    match row.end() {
        None => Err(CallProblem::ended(
            InterfaceReason::JobUnfinished,
            RequestOutcome::Unknown,
            format!("job {job} has no result yet"),
        )
        .with_retry(UNFINISHED_RETRY_MS)),
        Some(end) if end.outcome == RequestOutcome::Done => {
            let body = Bytes::from(end.result.clone());
            Ok(JobResult { content_type: RESULT_CONTENT_TYPE.to_owned(), body })
        }
        Some(end) => {
            Err(CallProblem::ended(InterfaceReason::BackendFailed, end.outcome, end.result.clone()))
        }
    }
}

/// Cancels a job; a result that precedes the cancellation in the log is kept.
pub(crate) async fn cancel(
    core: &EntryCore,
    tenant: &CustomerName,
    job: &JobId,
) -> Result<JobStatus, CallProblem> {
    let current = status(core, tenant, job)?;
    if current.outcome.is_none() {
        let record = JobRecord::Cancelled { job: job.clone(), tenant: tenant.clone() };
        append(core, &record).await?;
        await_row(core, tenant, job, |row| row.end().is_some()).await?;
    }
    status(core, tenant, job)
}

/// Plans jobs and performs the resulting actions until the process ends.
pub(crate) async fn run_jobs(core: Arc<EntryCore>) {
    while !core.closing.is_cancelled() {
        sleep(MIN_PLAN_INTERVAL).await;
        let _ = timeout(MAX_PLAN_INTERVAL, core.jobs.changed.notified()).await;
        if !core.health.readable(core.clock.now()) || core.ready().is_err() {
            continue;
        }
        let actions = {
            let members = lock(&core.members);
            let mut runner = lock(&core.jobs.runner);
            let mut fold = lock(&core.jobs.fold);
            runner.plan(core.clock.now(), &mut fold, &members)
        };
        for action in actions {
            perform(&core, action);
        }
    }
}

fn perform(core: &Arc<EntryCore>, action: JobAction) {
    match action {
        JobAction::Append(record) => {
            let core = Arc::clone(core);
            tokio::spawn(async move {
                let data = serde_json::to_string(&record).expect("records have text keys");
                let _ = core.writers.jobs.append(data, RECORD_TIMEOUT).await;
            });
        }
        JobAction::Run(entry) => {
            let abort = core.closing.child_token();
            let task = JobTask {
                tenant: entry.tenant.clone(),
                job: entry.job.clone(),
                abort: abort.clone(),
            };
            lock(&core.jobs.tasks).push(task);
            tokio::spawn(run_job(Arc::clone(core), entry, abort));
        }
        JobAction::Abort { tenant, job } => {
            let tasks = lock(&core.jobs.tasks);
            let task = tasks.iter().find(|task| task.tenant == tenant && task.job == job);
            if let Some(task) = task {
                task.abort.cancel();
            }
        }
    }
}

async fn run_job(core: Arc<EntryCore>, entry: JobEntry, abort: CancellationToken) {
    let end = tokio::select! {
        end = complete_job(&core, &entry) => end,
        () = abort.cancelled() => not_run("the run was stopped"),
    };
    let (tenant, job) = (entry.tenant.as_str(), entry.job.as_str());
    lock(&core.jobs.tasks)
        .retain(|task| task.tenant.as_str() != tenant || task.job.as_str() != job);
    lock(&core.jobs.runner).finish(tenant, job, end);
}

fn not_run(detail: &str) -> JobEnd {
    JobEnd { outcome: RequestOutcome::NotRun, result: detail.to_owned() }
}

/// Runs a job's completion. An error that may not recur in another run ends the run as `NotRun`, so
/// that the job runs again and does not fail because of an outage.
async fn complete_job(core: &Arc<EntryCore>, entry: &JobEntry) -> JobEnd {
    let Some(call) = job_call(core, entry) else {
        let result = "the job's record cannot be read".to_owned();
        return JobEnd { outcome: RequestOutcome::Failed, result };
    };
    match complete(core, call).await {
        Ok(answer) => match answer.body {
            AnswerBody::Whole(body) => JobEnd {
                outcome: RequestOutcome::Done,
                result: String::from_utf8_lossy(&body).into_owned(),
            },
            AnswerBody::Stream(_) => not_run("the answer came as a stream"),
        },
        Err(problem) if problem.outcome == RequestOutcome::Failed => {
            JobEnd { outcome: RequestOutcome::Failed, result: problem.detail }
        }
        Err(problem) if is_final(&problem) => {
            JobEnd { outcome: RequestOutcome::Failed, result: problem.detail }
        }
        Err(problem) => not_run(&problem.detail),
    }
}

/// Returns whether `problem` is a refusal that another run would get again.
fn is_final(problem: &CallProblem) -> bool {
    use coltsfoothook_caller::ProblemReason::Refused;
    matches!(
        problem.reason,
        Refused(
            RefusalReason::UnknownAdapter | RefusalReason::NotAllowed | RefusalReason::Condemned
        )
    )
}

fn job_call(core: &EntryCore, entry: &JobEntry) -> Option<CompletionCall> {
    let stored: JobBody = serde_json::from_str(&entry.body).ok()?;
    let kind = if stored.chat { CompletionKind::Chat } else { CompletionKind::Completions };
    let body = serde_json::to_vec(&stored.body).ok()?;
    let parsed = parse_completion(kind, &body, &core.settings.caller_settings()).ok()?;
    Some(CompletionCall {
        kind,
        tenant: entry.tenant.clone(),
        request_id: core.next_request_id(),
        caller_id: None,
        model: parsed.model,
        class: entry.class,
        deadline_ms: None,
        repeatable: true,
        first_try: false,
        key: None,
        stream: false,
        max_tokens: parsed.max_tokens,
        prompt_tokens: parsed.prompt_tokens,
        prefix: parsed.prefix,
        parts: parsed.parts,
        fingerprint: stored.fingerprint,
        body: parsed.fields,
    })
}
