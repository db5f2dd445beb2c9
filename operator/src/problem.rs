//! Problem documents (RFC 9457) for operators, and the one table of reasons.

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
const MILLIS_PER_SECOND: u64 = 1_000;
/// The most faults in a document; the program that publishes finds all of them offline.
const MOST_FAULTS: usize = 200;

value! {
    /// Why a call failed.
    #[derive(Copy, Eq)]
    pub enum ProblemReason {
        /// The token is missing or not an operator's.
        Unauthenticated,
        /// The path, the headers or the body break the rules of the API.
        MalformedRequest,
        /// The body is larger than the bound.
        BodyTooLarge,
        /// The body did not arrive in time.
        SlowSender,
        /// There is nothing at this path.
        UnknownPath,
        /// The path does not take this method.
        MethodNotAllowed,
        /// The change builds on a version that is not in force any more.
        StaleBase,
        /// The change has faults.
        Rejected,
        /// The platform's log does not take the record.
        LogUnavailable,
        /// The log's answer was lost and the record was not found in time.
        AppendUnknown,
        /// There is no VM or backend server of this name, or no such condemnation.
        UnknownName,
        /// No VM remembers the request.
        UnknownRequest,
        /// This VM does not know the configuration in force.
        NotReady,
        /// A fault of this VM.
        Internal,
    }
}

/// What the table says of a reason.
struct ProblemRow {
    name: &'static str,
    status: StatusCode,
    title: &'static str,
    outcome: RequestOutcome,
}

impl ProblemReason {
    /// The reason's name in problem documents.
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

/// A failure to be told to an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorProblem {
    /// Why.
    pub reason: ProblemReason,
    /// The particulars, for a human.
    pub detail: String,
    /// When trying again may help, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The version in force, for a stale base.
    pub in_force: Option<ConfigVersion>,
    /// The faults of a change that was rejected.
    pub faults: Vec<ManifestFault>,
}

impl OperatorProblem {
    /// A problem without further particulars.
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

    /// The same problem with a time to come back.
    #[must_use]
    pub fn with_retry(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// The document that tells the problem.
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
            faults: self.faults.iter().take(MOST_FAULTS).cloned().collect(),
        }
    }

    /// The response that tells the problem.
    pub(crate) fn response(&self) -> Response<Body> {
        let status = self.reason.row().status;
        let json = serde_json::to_vec(&self.document()).unwrap_or_default();
        let mut response = Response::new(Body::from(Bytes::from(json)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        if let Some(millis) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(MILLIS_PER_SECOND)));
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

value! {
    /// A problem document as it is sent.
    pub struct ProblemDocument {
        /// A URN that ends in the reason.
        #[serde(rename = "type")]
        pub kind: String,
        /// A short description of the reason.
        pub title: String,
        /// The HTTP status.
        pub status: u16,
        /// The particulars.
        pub detail: String,
        /// What became of the call: `not_run` means that nothing changed, `unknown` that something
        /// may have.
        pub outcome: RequestOutcome,
        /// The reason's name.
        pub reason: String,
        /// When trying again may help.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// The version in force, for a stale base.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub in_force: Option<ConfigVersion>,
        /// How many faults a rejected change has.
        #[serde(default)]
        pub fault_count: usize,
        /// The first of these faults.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub faults: Vec<ManifestFault>,
    }
}
