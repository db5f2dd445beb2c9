//! Dispatches HTTP requests to the handler and turns its results into responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::check::{NAME_RULE, is_valid_name};
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};
use coltsfoothook_telemetry::event;
use dropshot::Body;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::handler::{OperatorAuth, OperatorHandler};
use crate::message::{
    DrainCall, DrainKind, LiftCall, PublishAnswer, PublishCall, PublishedAnswer, WriteAnswer,
    WrittenAnswer,
};
use crate::problem::{OperatorProblem, ProblemReason};
use crate::server::OperatorSettings;

/// The retry delay sent with temporary problems: an unavailable log, an unknown outcome, or a VM
/// that is not ready.
const RETRY_AFTER_MS: u64 = 2_000;
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// The maximum length of a request id in bytes.
const MAX_ID_BYTES: usize = 256;

/// The operators' HTTP interface, shared by all requests.
pub(crate) struct OperatorInterface {
    pub(crate) settings: OperatorSettings,
    pub(crate) handler: Arc<dyn OperatorHandler>,
    pub(crate) auth: Arc<dyn OperatorAuth>,
}

/// An operation of the operators' API with the parameters from its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorRoute<'a> {
    Manifest,
    Publish,
    Status,
    Drain(DrainKind, &'a str),
    Explain(&'a str),
    Lift,
    Metrics,
    Health,
}

impl<'a> OperatorRoute<'a> {
    /// Finds the operation for the decoded segments of a path.
    fn find(path: &'a [String]) -> Option<Self> {
        let segments: Vec<&str> = path.iter().map(String::as_str).collect();
        Some(match segments[..] {
            ["v1", "manifest"] => Self::Manifest,
            ["v1", "publish"] => Self::Publish,
            ["v1", "status"] => Self::Status,
            ["v1", "drain", "vms", name] => Self::Drain(DrainKind::Vm, name),
            ["v1", "drain", "servers", name] => Self::Drain(DrainKind::Server, name),
            ["v1", "explain", id] => Self::Explain(id),
            ["v1", "lift"] => Self::Lift,
            ["metrics"] => Self::Metrics,
            ["health"] => Self::Health,
            _ => return None,
        })
    }

    /// Returns the only method that the operation supports.
    fn method(self) -> Method {
        match self {
            Self::Publish | Self::Lift => Method::POST,
            Self::Drain(..) => Method::PUT,
            _ => Method::GET,
        }
    }

    /// Returns the operation's name in the event `operator_call`.
    fn name(self) -> &'static str {
        match self {
            Self::Manifest => "manifest",
            Self::Publish => "publish",
            Self::Status => "status",
            Self::Drain(DrainKind::Vm, _) => "drain_vm",
            Self::Drain(DrainKind::Server, _) => "drain_server",
            Self::Explain(_) => "explain",
            Self::Lift => "lift",
            Self::Metrics => "metrics",
            Self::Health => "health",
        }
    }
}

impl OperatorInterface {
    /// Answers a request. Failures become problem documents.
    pub(crate) async fn answer(&self, path: &[String], request: Request<Body>) -> Response<Body> {
        let result = self.dispatch(path, request).await;
        result.unwrap_or_else(|problem| problem.response())
    }

    async fn dispatch(
        &self,
        path: &[String],
        request: Request<Body>,
    ) -> Result<Response<Body>, OperatorProblem> {
        let route = OperatorRoute::find(path);
        let public = match route {
            Some(OperatorRoute::Health) => true,
            Some(OperatorRoute::Metrics) => self.settings.open_metrics,
            _ => false,
        };
        // The token is checked first, so that unauthenticated clients cannot discover paths.
        if !public {
            self.check_token(request.headers())?;
        }
        let Some(route) = route else {
            let detail = "the calls are listed in docs/OPERATORS.md";
            return Err(OperatorProblem::new(ProblemReason::UnknownPath, detail));
        };
        if request.method() != route.method() {
            let detail = format!("this path takes {}", route.method());
            return Err(OperatorProblem::new(ProblemReason::MethodNotAllowed, detail));
        }
        let result = self.run(route, request).await;
        if route.method() != Method::GET {
            let reason = result.as_ref().err().map(|problem| problem.reason.as_str());
            event!(OperatorCall, operation = route.name(), outcome = reason.unwrap_or("done"));
        }
        result
    }

    fn check_token(&self, headers: &HeaderMap) -> Result<(), OperatorProblem> {
        let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token = value.and_then(|value| value.strip_prefix("Bearer "));
        if token.is_some_and(|token| self.auth.is_operator(token.trim())) {
            return Ok(());
        }
        event!(OperatorRefused, given = token.is_some());
        let detail = "send `Authorization: Bearer` with an operator's token";
        Err(OperatorProblem::new(ProblemReason::Unauthenticated, detail))
    }

    async fn run(
        &self,
        route: OperatorRoute<'_>,
        request: Request<Body>,
    ) -> Result<Response<Body>, OperatorProblem> {
        match route {
            OperatorRoute::Manifest => self.manifest().await,
            OperatorRoute::Publish => self.publish(request).await,
            OperatorRoute::Status => json_response(StatusCode::OK, &self.handler.status().await),
            OperatorRoute::Drain(kind, name) => self.drain(kind, name, request).await,
            OperatorRoute::Explain(id) => self.explain(id).await,
            OperatorRoute::Lift => self.lift(request).await,
            OperatorRoute::Metrics => {
                Ok(text_response(StatusCode::OK, METRICS_CONTENT_TYPE, self.handler.metrics()))
            }
            OperatorRoute::Health => self.health(),
        }
    }

    fn health(&self) -> Result<Response<Body>, OperatorProblem> {
        let health = self.handler.health();
        let status = if health.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json_response(status, &health)
    }

    async fn manifest(&self) -> Result<Response<Body>, OperatorProblem> {
        let answer = self.handler.manifest().await.ok_or_else(not_ready)?;
        json_response(StatusCode::OK, &answer)
    }

    async fn publish(&self, request: Request<Body>) -> Result<Response<Body>, OperatorProblem> {
        let body = self.read_body(request).await?;
        // Parsing a manifest with tens of thousands of adapters here would block a runtime thread
        // that also serves streams.
        let parsed = tokio::task::spawn_blocking(move || parse_json::<PublishCall>(&body)).await;
        let call = parsed.map_err(|_| internal("the task that parses the body failed"))??;
        if !is_valid_name(&call.publish_id) {
            let detail = format!("publish_id: it is not allowed; allowed: {NAME_RULE}");
            return Err(OperatorProblem::new(ProblemReason::MalformedRequest, detail));
        }
        let published = publish_result(self.handler.publish(call).await)?;
        json_response(StatusCode::OK, &published)
    }

    async fn drain(
        &self,
        kind: DrainKind,
        name: &str,
        request: Request<Body>,
    ) -> Result<Response<Body>, OperatorProblem> {
        if !is_valid_name(name) {
            return Err(OperatorProblem::new(ProblemReason::MalformedRequest, NAME_RULE));
        }
        let call: DrainCall = parse_json(&self.read_body(request).await?)?;
        let detail = match kind {
            DrainKind::Vm => "GET /v1/status names the VMs",
            DrainKind::Server => "GET /v1/manifest names the backend servers",
        };
        written_response(self.handler.drain(kind, name, call.draining).await, detail)
    }

    async fn explain(&self, id: &str) -> Result<Response<Body>, OperatorProblem> {
        if id.len() > MAX_ID_BYTES {
            let detail = format!("an id has at most {MAX_ID_BYTES} bytes");
            return Err(OperatorProblem::new(ProblemReason::MalformedRequest, detail));
        }
        let mut answer = self.handler.explain(&RequestId::from(id)).await;
        answer.replies.retain(|reply| !reply.steps.is_empty());
        if answer.replies.is_empty() {
            let detail = "each VM remembers its last requests alone, and none after a restart";
            return Err(OperatorProblem::new(ProblemReason::UnknownRequest, detail));
        }
        json_response(StatusCode::OK, &answer)
    }

    async fn lift(&self, request: Request<Body>) -> Result<Response<Body>, OperatorProblem> {
        let call: LiftCall = parse_json(&self.read_body(request).await?)?;
        let Ok(fingerprint) = u64::from_str_radix(&call.fingerprint, 16) else {
            let detail = "fingerprint: it is not allowed; allowed: up to 16 hexadecimal digits";
            return Err(OperatorProblem::new(ProblemReason::MalformedRequest, detail));
        };
        let detail = "the request is neither suspect nor condemned; the event request_condemned \
                       names the fingerprint";
        written_response(self.handler.lift(RequestFingerprint(fingerprint)).await, detail)
    }

    async fn read_body(&self, request: Request<Body>) -> Result<Bytes, OperatorProblem> {
        let max_bytes = self.settings.body_bytes;
        let too_large = || {
            let detail = format!("a body has at most {max_bytes} bytes");
            OperatorProblem::new(ProblemReason::BodyTooLarge, detail)
        };
        let content_length =
            request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        let content_length = content_length.and_then(|value| value.parse::<usize>().ok());
        if content_length.is_some_and(|bytes| bytes > max_bytes) {
            return Err(too_large());
        }
        let timeout = Duration::from_millis(self.settings.body_timeout_ms);
        let body = Limited::new(request.into_body(), max_bytes).collect();
        match tokio::time::timeout(timeout, body).await {
            Err(_) => {
                let detail = format!("the body did not arrive within {} ms", timeout.as_millis());
                Err(OperatorProblem::new(ProblemReason::SlowSender, detail))
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(_)) => {
                let detail = "the body was truncated";
                Err(OperatorProblem::new(ProblemReason::MalformedRequest, detail))
            }
            Ok(Ok(body)) => Ok(body.to_bytes()),
        }
    }
}

fn publish_result(answer: PublishAnswer) -> Result<PublishedAnswer, OperatorProblem> {
    match answer {
        PublishAnswer::Accepted(version) => Ok(PublishedAnswer { version, repeated: false }),
        PublishAnswer::Repeated(version) => Ok(PublishedAnswer { version, repeated: true }),
        PublishAnswer::Stale { in_force } => {
            let detail = format!("version {in_force} is in force; build the change on it");
            let problem = OperatorProblem::new(ProblemReason::StaleBase, detail);
            Err(OperatorProblem { in_force: Some(in_force), ..problem })
        }
        PublishAnswer::Rejected(faults) => {
            let detail = format!("{} faults; nothing changed", faults.len());
            let problem = OperatorProblem::new(ProblemReason::Rejected, detail);
            Err(OperatorProblem { faults, ..problem })
        }
        PublishAnswer::Unknown => Err(append_unknown()),
        PublishAnswer::LogUnavailable => Err(log_unavailable()),
        PublishAnswer::NotReady => Err(not_ready()),
    }
}

/// Builds the response to a call that appends a record. `detail` is the detail of the problem
/// [`ProblemReason::UnknownName`].
fn written_response(answer: WriteAnswer, detail: &str) -> Result<Response<Body>, OperatorProblem> {
    match answer {
        WriteAnswer::Written => json_response(StatusCode::OK, &WrittenAnswer { written: true }),
        WriteAnswer::Unknown => Err(append_unknown()),
        WriteAnswer::LogUnavailable => Err(log_unavailable()),
        WriteAnswer::UnknownName => Err(OperatorProblem::new(ProblemReason::UnknownName, detail)),
    }
}

fn append_unknown() -> OperatorProblem {
    let detail = "the record may stand in the log; the same call again is safe";
    OperatorProblem::new(ProblemReason::AppendUnknown, detail).with_retry(RETRY_AFTER_MS)
}

fn log_unavailable() -> OperatorProblem {
    let detail = "the platform's log does not take the record; nothing changed";
    OperatorProblem::new(ProblemReason::LogUnavailable, detail).with_retry(RETRY_AFTER_MS)
}

fn not_ready() -> OperatorProblem {
    let detail = "this VM does not know the configuration in force; ask another one";
    OperatorProblem::new(ProblemReason::NotReady, detail).with_retry(RETRY_AFTER_MS)
}

fn internal(detail: &str) -> OperatorProblem {
    OperatorProblem::new(ProblemReason::Internal, detail)
}

/// Parses a JSON body. The problem's detail begins with the path of the offending key, if known.
fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, OperatorProblem> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        let detail = if matches!(path.as_str(), "." | "?") {
            error.inner().to_string()
        } else {
            format!("{path}: {}", error.inner())
        };
        OperatorProblem::new(ProblemReason::MalformedRequest, detail)
    })?;
    deserializer.end().map_err(|error| {
        OperatorProblem::new(ProblemReason::MalformedRequest, error.to_string())
    })?;
    Ok(parsed)
}

fn json_response(
    status: StatusCode,
    value: &impl Serialize,
) -> Result<Response<Body>, OperatorProblem> {
    let json = serde_json::to_string(value)
        .map_err(|_| internal("the response could not be serialized"))?;
    Ok(text_response(status, "application/json", json))
}

fn text_response(status: StatusCode, content_type: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
