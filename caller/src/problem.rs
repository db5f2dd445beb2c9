//! Problem documents (RFC 9457) and the table of their reasons, which docs/CALLERS.md repeats.

use bytes::Bytes;
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::value;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::payload::{ResponseBody, whole_body};

/// The content type of problem documents.
const PROBLEM_TYPE: &str = "application/problem+json";
/// The prefix of a problem's `type`; the name of the reason follows.
const TYPE_PREFIX: &str = "urn:coltsfoothook:problem:";
const MS_PER_SECOND: u64 = 1_000;

value! {
    /// Reasons for failures other than a [`RefusalReason`].
    #[derive(Copy, Eq)]
    pub enum InterfaceReason {
        /// The path, a header or the body is invalid.
        MalformedRequest,
        /// The body exceeds `CallerSettings::body_bytes`.
        BodyTooLarge,
        /// A header, or the path with its query, exceeds its limit.
        HeaderTooLarge,
        /// The body did not arrive within `CallerSettings::body_timeout_ms`.
        SlowSender,
        /// The credential is missing or unknown.
        Unauthenticated,
        /// No operation has this path.
        UnknownPath,
        /// The path exists but does not support this method.
        MethodNotAllowed,
        /// The configuration in force has no such service.
        UnknownService,
        /// The customer has no job with this id.
        UnknownJob,
        /// The job has no result yet.
        JobUnfinished,
        /// The backend server answered with an error.
        BackendFailed,
        /// The connection to the backend server failed before the answer was complete.
        AnswerLost,
        /// The deadline passed while the request was running.
        DeadlineExceeded,
        /// An internal error of this VM.
        Internal,
    }
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemReason {
    /// This attempt was refused before it ran.
    Refused(RefusalReason),
    /// Any other failure, before or after the request began to run.
    Interface(InterfaceReason),
}

/// The table's entry for a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProblemRow {
    /// The name in the fields `reason` and `type` of problem documents.
    pub name: &'static str,
    /// The status of the response, also repeated in the document.
    pub status: StatusCode,
    /// A short description of the reason for people.
    pub title: &'static str,
    /// Whether resending the unchanged request may succeed. If not, no retry delay is sent.
    pub retryable: bool,
}

/// A failure to report to the caller as a problem document.
#[derive(Clone, Debug, PartialEq)]
pub struct CallProblem {
    /// Selects the row of the table.
    pub reason: ProblemReason,
    /// Whether the request ran; "unknown" where it may have.
    pub outcome: RequestOutcome,
    /// The particulars of this failure, for people.
    pub detail: String,
    /// How long to wait before a retry, in milliseconds; `None` if no delay is sent.
    pub retry_after_ms: Option<u64>,
}

impl CallProblem {
    /// Creates a refusal of an attempt that did not run.
    ///
    /// Where an earlier attempt with the same key may have run, the outcome is "unknown"; a handler
    /// that knows the outcome overwrites the field. A caller that receives "not run" resends the
    /// request with a new key, so a wrong "not run" would make it run twice.
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

    /// Creates a problem found before the request ran, with the outcome "not run".
    #[must_use]
    pub fn not_run(reason: InterfaceReason, detail: impl Into<String>) -> Self {
        Self::ended(reason, RequestOutcome::NotRun, detail)
    }

    /// Creates a problem with the given outcome, for a request that may have run.
    #[must_use]
    pub fn ended(
        reason: InterfaceReason,
        outcome: RequestOutcome,
        detail: impl Into<String>,
    ) -> Self {
        let reason = ProblemReason::Interface(reason);
        Self { reason, outcome, detail: detail.into(), retry_after_ms: None }
    }

    /// Sets how long to wait before a retry, in milliseconds.
    #[must_use]
    pub fn with_retry(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the table's row for this problem's reason.
    #[must_use]
    pub fn row(&self) -> ProblemRow {
        problem_row(self.reason)
    }
}

/// Returns a reason's row of the table.
#[must_use]
pub fn problem_row(reason: ProblemReason) -> ProblemRow {
    match reason {
        ProblemReason::Refused(reason) => refusal_row(reason),
        ProblemReason::Interface(reason) => interface_row(reason),
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

fn interface_row(reason: InterfaceReason) -> ProblemRow {
    use InterfaceReason as R;
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

fn row(name: &'static str, status: StatusCode, title: &'static str, retryable: bool) -> ProblemRow {
    ProblemRow { name, status, title, retryable }
}

/// The ids of a request that a problem document repeats, for callers and operators to refer to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProblemIds {
    pub(crate) request_id: String,
    pub(crate) caller_id: Option<String>,
}

/// The JSON of a problem document.
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

/// Serializes a problem document on one line, as the data of a server-sent event requires.
pub(crate) fn problem_json(problem: &CallProblem, ids: &ProblemIds) -> Vec<u8> {
    let row = problem.row();
    let document = ProblemDocument {
        kind: format!("{TYPE_PREFIX}{}", row.name),
        title: row.title,
        status: row.status.as_u16(),
        detail: &problem.detail,
        outcome: problem.outcome,
        reason: row.name,
        retry_after_ms: problem.retry_after_ms.filter(|_| row.retryable),
        request_id: &ids.request_id,
        caller_request_id: ids.caller_id.as_deref(),
    };
    serde_json::to_vec(&document).unwrap_or_default()
}

/// Builds the response that carries a problem document, with `Retry-After` rounded up to seconds.
pub(crate) fn problem_response(problem: &CallProblem, ids: &ProblemIds) -> Response<ResponseBody> {
    let row = problem.row();
    let json = problem_json(problem, ids);
    let mut response = Response::new(whole_body(Bytes::from(json)));
    *response.status_mut() = row.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(millis) = problem.retry_after_ms.filter(|_| row.retryable) {
        headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(MS_PER_SECOND)));
    }
    if row.status == StatusCode::UNAUTHORIZED {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}
