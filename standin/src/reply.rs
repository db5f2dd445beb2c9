//! Answers of the stand-ins, and what they read from requests.

use bytes::Bytes;
use futures::Stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Before each piece of an answer that is to be cut.
pub(crate) const CUT_PAUSE: std::time::Duration = std::time::Duration::from_millis(5);

/// Ends the connection at once; from a body it cuts the answer in the middle.
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

/// JSON with a status.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    whole(status, "application/json", text)
}

/// JSON with status 200.
pub(crate) fn ok(value: &impl Serialize) -> Reply {
    json(StatusCode::OK, value)
}

/// An answer that says "no". The shape is that of errors in the OpenAI-compatible interface.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: String,
    retry_after_ms: Option<u64>,
}

/// A refusal with a code that programs read and a message that people read.
pub(crate) fn refusal(status: StatusCode, code: &'static str, message: &str) -> Refusal {
    Refusal { status, code, message: message.to_owned(), retry_after_ms: None }
}

/// "Not found" for a path that no endpoint has.
pub(crate) fn no_endpoint() -> Refusal {
    refusal(StatusCode::NOT_FOUND, "no_endpoint", "no such endpoint")
}

/// "Busy" with a time to come back.
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
            // Seconds with decimals: whole ones would hold writers back for longer than needed.
            let seconds = format!("{:.3}", wait_ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        reply
    }
}

/// A whole body.
pub(crate) fn whole(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let body = Full::from(body).map_err(|never| match never {}).boxed_unsync();
    with_body(status, content_type, body)
}

/// A body that comes piece by piece.
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

/// Reads the whole body of a request.
pub(crate) async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "body too large or cut")),
    }
}

/// Reads a JSON body.
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

/// A number from the query, or `default` where it is left out.
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

/// A header as text; empty where it is left out.
pub(crate) fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// The segments of a path.
pub(crate) fn segments(path: &str) -> Vec<&str> {
    path.split('/').filter(|segment| !segment.is_empty()).collect()
}

/// Joins the two ways in which an endpoint may end early.
pub(crate) fn either(result: Result<Reply, Refusal>) -> Reply {
    result.unwrap_or_else(Reply::from)
}

/// An answer that breaks off after `begun`.
pub(crate) fn cut_amid(begun: &'static [u8]) -> Reply {
    let pieces = [Ok(Bytes::from_static(begun)), Err(ConnectionCut)];
    // The pause between the pieces lets the first go out before the cut.
    let pieces = futures::StreamExt::then(futures::stream::iter(pieces), |piece| async move {
        tokio::time::sleep(CUT_PAUSE).await;
        piece
    });
    streamed("application/json", pieces)
}
