//! Problem documents (RFC 9457) for operators, and the table of their reasons.

use bytes::Bytes;
use coltsfoothook_decision::check::ManifestFault;
use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_decision::outcome::RequestOutcome;
use coltsfoothook_decision::value;
use dropshot::Body;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};

const PROBLEM_TYPE: &str = "application/problem+json";
const TYPE_PREFIX: &str = "urn:coltsfoothook:problem:";
const MS_PER_SECOND: u64 = 1_000;
/// The maximum number of faults in a document; the offline check of the command-line client lists
/// them all.
const MAX_DOCUMENT_FAULTS: usize = 200;

value! {
    /// The reason why a call failed.
    #[derive(Copy, Eq)]
    pub enum ProblemReason {
        /// The token is missing or is not an operator's token.
        Unauthenticated,
        /// A parameter in the path, or the body, is invalid.
        MalformedRequest,
        /// The body exceeds `OperatorSettings::body_bytes`.
        BodyTooLarge,
        /// The body did not arrive within `OperatorSettings::body_timeout_ms`.
        SlowSender,
        /// No operation has this path.
        UnknownPath,
        /// The path exists but does not support this method.
        MethodNotAllowed,
        /// The change builds on a version that is no longer in force.
        StaleBase,
        /// The change has faults, listed in the document.
        Rejected,
        /// The platform's log did not accept the record; nothing changed.
        LogUnavailable,
        /// The log did not confirm the append, and the record was not read back in time.
        AppendUnknown,
        /// No VM or backend server has this name, or no request with this fingerprint is suspect or
        /// condemned.
        UnknownName,
        /// No VM that answered has steps of the request recorded.
        UnknownRequest,
        /// This VM does not know the configuration in force.
        NotReady,
        /// An internal error of this VM.
        Internal,
    }
}

/// The table's entry for a reason.
struct ProblemRow {
    name: &'static str,
    status: StatusCode,
    title: &'static str,
    outcome: RequestOutcome,
}

impl ProblemReason {
    /// Returns the name in the fields `reason` and `type` of problem documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        self.row().name
    }

    fn row(self) -> ProblemRow {
        use StatusCode as S;
        let not_run = |name, status, title| ProblemRow {
            name,
            status,
            title,
            outcome: RequestOutcome::NotRun,
        };
        match self {
            Self::Unauthenticated => {
                not_run("unauthenticated", S::UNAUTHORIZED, "No valid operator's token")
            }
            Self::MalformedRequest => {
                not_run("malformed_request", S::BAD_REQUEST, "Malformed request")
            }
            Self::BodyTooLarge => not_run("body_too_large", S::PAYLOAD_TOO_LARGE, "Body too large"),
            Self::SlowSender => not_run("slow_sender", S::REQUEST_TIMEOUT, "Body came too slowly"),
            Self::UnknownPath => not_run("unknown_path", S::NOT_FOUND, "Nothing at this path"),
            Self::MethodNotAllowed => {
                not_run("method_not_allowed", S::METHOD_NOT_ALLOWED, "Method not allowed")
            }
            Self::StaleBase => not_run("stale_base", S::CONFLICT, "Another publication came first"),
            Self::Rejected => not_run("rejected", S::UNPROCESSABLE_ENTITY, "The change has faults"),
            Self::LogUnavailable => {
                not_run("log_unavailable", S::SERVICE_UNAVAILABLE, "Log unavailable")
            }
            Self::AppendUnknown => ProblemRow {
                name: "append_unknown",
                status: S::GATEWAY_TIMEOUT,
                title: "The log's answer was lost",
                outcome: RequestOutcome::Unknown,
            },
            Self::UnknownName => not_run("unknown_name", S::NOT_FOUND, "Nothing of this name"),
            Self::UnknownRequest => {
                not_run("unknown_request", S::NOT_FOUND, "No VM remembers the request")
            }
            Self::NotReady => not_run("not_ready", S::SERVICE_UNAVAILABLE, "VM is not ready"),
            Self::Internal => ProblemRow {
                name: "internal",
                status: S::INTERNAL_SERVER_ERROR,
                title: "Internal fault",
                outcome: RequestOutcome::Unknown,
            },
        }
    }
}

/// A failure to report to an operator as a problem document.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorProblem {
    /// Selects name, status, title and outcome in the document.
    pub reason: ProblemReason,
    /// The particulars of this failure, for people.
    pub detail: String,
    /// How long to wait before a retry, in milliseconds; `None` if no delay is sent.
    pub retry_after_ms: Option<u64>,
    /// The version in force; set for [`ProblemReason::StaleBase`] only.
    pub in_force: Option<ConfigVersion>,
    /// The faults of the change; set for [`ProblemReason::Rejected`] only.
    pub faults: Vec<ManifestFault>,
}

impl OperatorProblem {
    /// Creates a problem without a retry delay, version or faults.
    #[must_use]
    pub fn new(reason: ProblemReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after_ms: None,
            in_force: None,
            faults: Vec::new(),
        }
    }

    /// Sets how long to wait before a retry, in milliseconds.
    #[must_use]
    pub fn with_retry(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the problem document, with the first 200 faults at most.
    #[must_use]
    pub fn document(&self) -> ProblemDocument {
        let row = self.reason.row();
        ProblemDocument {
            kind: format!("{TYPE_PREFIX}{}", row.name),
            title: row.title.to_owned(),
            status: row.status.as_u16(),
            detail: self.detail.clone(),
            outcome: row.outcome,
            reason: row.name.to_owned(),
            retry_after_ms: self.retry_after_ms,
            in_force: self.in_force,
            fault_count: self.faults.len(),
            faults: self.faults.iter().take(MAX_DOCUMENT_FAULTS).cloned().collect(),
        }
    }

    /// Builds the response that carries the document, with `Retry-After` rounded up to seconds.
    pub(crate) fn response(&self) -> Response<Body> {
        let status = self.reason.row().status;
        let json = serde_json::to_vec(&self.document()).unwrap_or_default();
        let mut response = Response::new(Body::from(Bytes::from(json)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        if let Some(millis) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(MS_PER_SECOND)));
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

value! {
    /// The JSON of a problem document.
    pub struct ProblemDocument {
        /// `urn:coltsfoothook:problem:` followed by the reason's name.
        #[serde(rename = "type")]
        pub kind: String,
        /// A short description of the reason, for people.
        pub title: String,
        /// The status of the response.
        pub status: u16,
        /// The particulars of this failure, for people.
        pub detail: String,
        /// The outcome of the call: `not_run` if nothing changed, `unknown` if something may have.
        pub outcome: RequestOutcome,
        /// The reason's name, for programs.
        pub reason: String,
        /// How long to wait before a retry, in milliseconds; absent where none is advised.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// The version in force; present for the reason `stale_base` only.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub in_force: Option<ConfigVersion>,
        /// The total number of faults of a rejected change, 0 for other reasons.
        #[serde(default)]
        pub fault_count: usize,
        /// The first of these faults, 200 at most.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub faults: Vec<ManifestFault>,
    }
}
