//! Problem documents (RFC 9457) and the one table of reasons; docs/CALLERS.md shows it to callers.

use bytes::Bytes;
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::value;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::payload::{FaceBody, whole_body};

/// The content type of problem documents.
const PROBLEM_TYPE: &str = "application/problem+json";
/// What the `type` of a problem begins with; the reason follows.
const TYPE_PREFIX: &str = "urn:coltsfoothook:problem:";
const MILLIS_PER_SECOND: u64 = 1_000;

value! {
    /// Reasons that arise at the callers' face, beside those of [`RefusalReason`].
    #[derive(Copy, Eq)]
    pub enum FaceReason {
        /// The request breaks the rules of the API.
        MalformedRequest,
        /// The body is larger than the bound.
        BodyTooLarge,
        /// A header or the path is longer than the bound.
        HeaderTooLarge,
        /// The body did not arrive in time.
        SlowSender,
        /// The credential is missing or unknown.
        Unauthenticated,
        /// There is nothing at this path.
        UnknownPath,
        /// The path does not take this method.
        MethodNotAllowed,
        /// The service is not in the configuration in force.
        UnknownService,
        /// The tenant has no such job.
        UnknownJob,
        /// The job has no result yet.
        JobUnfinished,
        /// The backend server answered with an error.
        BackendFailed,
        /// The connection to the backend server broke and the answer is lost.
        AnswerLost,
        /// The deadline passed while the request ran.
        DeadlineExceeded,
        /// A fault of this VM.
        Internal,
    }
}

/// Why a call has no proper answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemReason {
    /// It was refused before it ran.
    Refused(RefusalReason),
    /// Something else.
    Face(FaceReason),
}

/// What the table says of a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProblemRow {
    /// The reason's name in problem documents.
    pub name: &'static str,
    /// The HTTP status.
    pub status: StatusCode,
    /// A short description.
    pub title: &'static str,
    /// Whether sending the same again may help.
    pub again: bool,
}

/// A problem to tell the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallProblem {
    /// Why.
    pub reason: ProblemReason,
    /// What became of the request.
    pub outcome: RequestOutcome,
    /// What a person should know beyond the reason.
    pub detail: String,
    /// When sending again may help, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl CallProblem {
    /// A refusal before this attempt ran.
    ///
    /// Where another attempt under the same key may have run, the outcome is "unknown" unless the
    /// handler knows better: a caller that is told "not run" takes a new key and sends it again.
    #[must_use]
    pub fn refused(reason: RefusalReason, retry_after_ms: u64, detail: impl Into<String>) -> Self {
        let outcome = match reason {
            RefusalReason::AlreadyClaimed | RefusalReason::KeyExpired => RequestOutcome::Unknown,
            _ => RequestOutcome::NotRun,
        };
        Self {
            reason: ProblemReason::Refused(reason),
            outcome,
            detail: detail.into(),
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// A problem of the request itself, found before anything ran.
    #[must_use]
    pub fn not_run(reason: FaceReason, detail: impl Into<String>) -> Self {
        Self::ended(reason, RequestOutcome::NotRun, detail)
    }

    /// A problem after the request may have run.
    #[must_use]
    pub fn ended(reason: FaceReason, outcome: RequestOutcome, detail: impl Into<String>) -> Self {
        let reason = ProblemReason::Face(reason);
        Self { reason, outcome, detail: detail.into(), retry_after_ms: None }
    }

    /// The same problem with a time to come back.
    #[must_use]
    pub fn with_retry(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// The row of the table for this problem.
    #[must_use]
    pub fn row(&self) -> ProblemRow {
        problem_row(self.reason)
    }
}

/// The table: name, status, title and whether sending again may help.
#[must_use]
pub fn problem_row(reason: ProblemReason) -> ProblemRow {
    match reason {
        ProblemReason::Refused(reason) => refusal_row(reason),
        ProblemReason::Face(reason) => face_row(reason),
    }
}

fn refusal_row(reason: RefusalReason) -> ProblemRow {
    use RefusalReason as R;
    use StatusCode as S;
    let name = reason.as_str();
    match reason {
        R::Overloaded => row(name, S::SERVICE_UNAVAILABLE, "Overloaded", true),
        R::TenantLimit => row(name, S::TOO_MANY_REQUESTS, "Tenant's limit reached", true),
        R::DeadlinePassed => row(name, S::GATEWAY_TIMEOUT, "Deadline passed", true),
        R::NotReady => row(name, S::SERVICE_UNAVAILABLE, "Not ready", true),
        R::UnknownAdapter => row(name, S::NOT_FOUND, "Unknown adapter", false),
        R::NotAllowed => row(name, S::FORBIDDEN, "Not allowed", false),
        R::LoadFailed => row(name, S::SERVICE_UNAVAILABLE, "Adapter not loaded", true),
        R::NoServer => row(name, S::SERVICE_UNAVAILABLE, "No backend server", true),
        R::Condemned => row(name, S::UNPROCESSABLE_ENTITY, "Request condemned", false),
        R::NotOwner => row(name, S::SERVICE_UNAVAILABLE, "Owner changed", true),
        R::OwnerUnreachable => row(name, S::SERVICE_UNAVAILABLE, "Owner unreachable", true),
        R::AlreadyClaimed => row(name, S::CONFLICT, "Already claimed", false),
        R::LogUnavailable => row(name, S::SERVICE_UNAVAILABLE, "Log unavailable", true),
        R::KeyReused => row(name, S::UNPROCESSABLE_ENTITY, "Idempotency key reused", false),
        R::KeyExpired => row(name, S::GONE, "Idempotency key expired", false),
        R::Cancelled => row(name, S::CONFLICT, "Cancelled", false),
        R::Leaving => row(name, S::SERVICE_UNAVAILABLE, "VM is leaving", true),
        R::RetryBudget => row(name, S::SERVICE_UNAVAILABLE, "Retries exhausted", true),
    }
}

fn face_row(reason: FaceReason) -> ProblemRow {
    use FaceReason as R;
    use StatusCode as S;
    match reason {
        R::MalformedRequest => row("malformed_request", S::BAD_REQUEST, "Malformed request", false),
        R::BodyTooLarge => row("body_too_large", S::PAYLOAD_TOO_LARGE, "Body too large", false),
        R::HeaderTooLarge => {
            row("header_too_large", S::REQUEST_HEADER_FIELDS_TOO_LARGE, "Header too large", false)
        }
        R::SlowSender => row("slow_sender", S::REQUEST_TIMEOUT, "Body came too slowly", true),
        R::Unauthenticated => row("unauthenticated", S::UNAUTHORIZED, "No valid credential", false),
        R::UnknownPath => row("unknown_path", S::NOT_FOUND, "Nothing at this path", false),
        R::MethodNotAllowed => {
            row("method_not_allowed", S::METHOD_NOT_ALLOWED, "Method not allowed", false)
        }
        R::UnknownService => row("unknown_service", S::NOT_FOUND, "Unknown service", false),
        R::UnknownJob => row("unknown_job", S::NOT_FOUND, "Unknown job", false),
        R::JobUnfinished => row("job_unfinished", S::CONFLICT, "Job has no result yet", true),
        R::BackendFailed => row("backend_failed", S::BAD_GATEWAY, "Backend server failed", false),
        R::AnswerLost => row("answer_lost", S::BAD_GATEWAY, "Answer lost", false),
        R::DeadlineExceeded => {
            row("deadline_exceeded", S::GATEWAY_TIMEOUT, "Deadline exceeded", false)
        }
        R::Internal => row("internal", S::INTERNAL_SERVER_ERROR, "Internal fault", false),
    }
}

fn row(name: &'static str, status: StatusCode, title: &'static str, again: bool) -> ProblemRow {
    ProblemRow { name, status, title, again }
}

/// Ids by which caller and operator speak of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProblemIds {
    pub(crate) request_id: String,
    pub(crate) caller_id: Option<String>,
}

/// A problem document as sent.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: RequestOutcome,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    caller_request_id: Option<&'a str>,
}

/// Writes the document's JSON, on one line as a server-sent event needs it.
pub(crate) fn problem_json(problem: &CallProblem, ids: &ProblemIds) -> Vec<u8> {
    let row = problem.row();
    let document = ProblemDocument {
        kind: format!("{TYPE_PREFIX}{}", row.name),
        title: row.title,
        status: row.status.as_u16(),
        detail: &problem.detail,
        outcome: problem.outcome,
        reason: row.name,
        retry_after_ms: problem.retry_after_ms.filter(|_| row.again),
        request_id: &ids.request_id,
        caller_request_id: ids.caller_id.as_deref(),
    };
    serde_json::to_vec(&document).unwrap_or_default()
}

/// The response that tells a problem.
pub(crate) fn problem_response(problem: &CallProblem, ids: &ProblemIds) -> Response<FaceBody> {
    let row = problem.row();
    let json = problem_json(problem, ids);
    let mut response = Response::new(whole_body(Bytes::from(json)));
    *response.status_mut() = row.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(millis) = problem.retry_after_ms.filter(|_| row.again) {
        headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(MILLIS_PER_SECOND)));
    }
    if row.status == StatusCode::UNAUTHORIZED {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}
