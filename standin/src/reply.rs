//! Helpers to build answers and to read requests.

use bytes::Bytes;
use futures::Stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Delay before each piece of an answer that is cut, so that earlier pieces are sent before the
/// cut.
pub(crate) const CUT_DELAY: std::time::Duration = std::time::Duration::from_millis(5);

/// Error that closes the connection without an answer; from a body it truncates the answer.
#[derive(Debug, Snafu)]
#[snafu(display("connection cut by a fault or by a lost run"))]
pub(crate) struct ConnectionCut;

/// The body of an answer.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, ConnectionCut>;
/// An answer.
pub(crate) type Reply = Response<ReplyBody>;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
}

/// Makes a JSON answer with a status.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    buffered(status, "application/json", text)
}

/// Makes a JSON answer with status 200.
pub(crate) fn ok(value: &impl Serialize) -> Reply {
    json(StatusCode::OK, value)
}

/// An error answer, in the format of the OpenAI-compatible interface.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: String,
    retry_after_ms: Option<u64>,
}

/// Makes a refusal with a code for programs and a message for humans.
pub(crate) fn refusal(status: StatusCode, code: &'static str, message: &str) -> Refusal {
    Refusal { status, code, message: message.to_owned(), retry_after_ms: None }
}

/// Makes the refusal for an unknown path.
pub(crate) fn no_endpoint() -> Refusal {
    refusal(StatusCode::NOT_FOUND, "no_endpoint", "no such endpoint")
}

/// Makes the refusal for an exceeded rate, with the time to wait before a retry.
pub(crate) fn throttled(retry_after_ms: u64) -> Refusal {
    let refusal = refusal(StatusCode::TOO_MANY_REQUESTS, "throttled", "rate exceeded");
    Refusal { retry_after_ms: Some(retry_after_ms), ..refusal }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        let kind = match refusal.status.is_client_error() {
            true => "invalid_request_error",
            false => "server_error",
        };
        let detail = ErrorDetail { message: &refusal.message, r#type: kind, code: refusal.code };
        let mut reply = json(refusal.status, &ErrorBody { error: detail });
        if let Some(wait_ms) = refusal.retry_after_ms {
            // Fractional seconds: whole ones would delay writers for longer than needed.
            let seconds = format!("{:.3}", wait_ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        reply
    }
}

/// Makes an answer whose body is sent with its length.
pub(crate) fn buffered(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let body = Full::from(body).map_err(|never| match never {}).boxed_unsync();
    with_body(status, content_type, body)
}

/// Makes an answer with status 200 whose body is streamed.
pub(crate) fn streamed(
    content_type: &'static str,
    pieces: impl Stream<Item = Result<Bytes, ConnectionCut>> + Send + 'static,
) -> Reply {
    let frames = futures::StreamExt::map(pieces, |piece| piece.map(Frame::data));
    with_body(StatusCode::OK, content_type, BodyExt::boxed_unsync(StreamBody::new(frames)))
}

fn with_body(status: StatusCode, content_type: &'static str, body: ReplyBody) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Reads the body of a request; refuses it if it is longer than `limit` bytes or incomplete.
pub(crate) async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "body too large or cut")),
    }
}

/// Reads a JSON body of at most `limit` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Result<T, Refusal> {
    parse_json(&read_body(request, limit).await?)
}

/// Parses a JSON body.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|cause| refusal(StatusCode::BAD_REQUEST, "bad_json", &cause.to_string()))
}

/// Returns a number from the query, or `default` if it is absent.
pub(crate) fn query_number(
    request: &Request<Incoming>,
    name: &str,
    default: u64,
) -> Result<u64, Refusal> {
    let query = request.uri().query().unwrap_or_default();
    let found =
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    let Some((_, text)) = found else {
        return Ok(default);
    };
    let message = format!("{name} must be a whole number");
    text.parse().map_err(|_| refusal(StatusCode::BAD_REQUEST, "bad_query", &message))
}

/// Returns a header as text, empty if it is absent or not text.
pub(crate) fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Splits a path into its segments, without empty ones.
pub(crate) fn segments(path: &str) -> Vec<&str> {
    path.split('/').filter(|segment| !segment.is_empty()).collect()
}

/// Converts the result of an endpoint to an answer.
pub(crate) fn into_reply(result: Result<Reply, Refusal>) -> Reply {
    result.unwrap_or_else(Reply::from)
}

/// Makes an answer that is cut after `start`.
pub(crate) fn truncated(start: &'static [u8]) -> Reply {
    let pieces = [Ok(Bytes::from_static(start)), Err(ConnectionCut)];
    // The delay lets the first piece be sent before the cut.
    let pieces = futures::StreamExt::then(futures::stream::iter(pieces), |piece| async move {
        tokio::time::sleep(CUT_DELAY).await;
        piece
    });
    streamed("application/json", pieces)
}
