//! Builds the answers that callers receive.

use bytes::Bytes;
use coltsfoothook_platform::set_request_id;
use futures::stream::Stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;

use crate::buffer::HeldBody;

/// The body of an answer: whole, or streamed as it arrives from a server.
pub(crate) type AnswerStream = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// The error that ends a streamed body early. The HTTP library then cuts the connection, so that the caller
/// does not take a partial answer for a complete one.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer ended before it was complete"))]
pub(crate) struct BrokenAnswer;

/// Returns an answer whose body is in memory.
pub(crate) fn whole_answer(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<AnswerStream> {
    let mut answer = Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Returns an answer whose body is held for its caller.
pub(crate) fn held_answer(
    status: StatusCode,
    headers: HeaderMap,
    body: HeldBody,
) -> Response<AnswerStream> {
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Returns an answer whose body is sent frame by frame as `frames` yields it.
pub(crate) fn streamed_answer(
    status: StatusCode,
    headers: HeaderMap,
    frames: impl Stream<Item = Result<Frame<Bytes>, BrokenAnswer>> + Send + 'static,
) -> Response<AnswerStream> {
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Returns an answer of the gateway itself, without a body. `id` is the request's id, or empty if there is none;
/// `retry_s` becomes the `Retry-After` header, in seconds.
pub(crate) fn own_answer(
    status: StatusCode,
    id: &str,
    retry_s: Option<f64>,
) -> Response<AnswerStream> {
    let mut headers = HeaderMap::new();
    if !id.is_empty() {
        set_request_id(&mut headers, id);
    }
    let retry = retry_s.and_then(|seconds| HeaderValue::from_str(&format!("{seconds:.2}")).ok());
    if let Some(value) = retry {
        headers.insert(header::RETRY_AFTER, value);
    }
    whole_answer(status, headers, Bytes::new())
}
