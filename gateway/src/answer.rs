//! Answers to callers.

use bytes::Bytes;
use coltsfoothook_platform::mark_answer;
use futures::stream::Stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;

/// The body of an answer.
pub(crate) type AnswerStream = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer that cannot go on. The connection to the caller is cut, so that what it got does not look
/// whole.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(crate) struct BrokenAnswer;

/// An answer with a whole body.
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

/// An answer whose pieces are passed on as they come.
pub(crate) fn streamed_answer(
    status: StatusCode,
    headers: HeaderMap,
    pieces: impl Stream<Item = Result<Frame<Bytes>, BrokenAnswer>> + Send + 'static,
) -> Response<AnswerStream> {
    let mut answer = Response::new(StreamBody::new(pieces).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// An answer of this system itself. `retry_s` tells the caller when to come back, in seconds.
pub(crate) fn own_answer(
    status: StatusCode,
    id: &str,
    retry_s: Option<f64>,
) -> Response<AnswerStream> {
    let mut headers = HeaderMap::new();
    if !id.is_empty() {
        mark_answer(&mut headers, id);
    }
    let retry = retry_s.and_then(|seconds| HeaderValue::from_str(&format!("{seconds:.2}")).ok());
    if let Some(value) = retry {
        headers.insert(header::RETRY_AFTER, value);
    }
    whole_answer(status, headers, Bytes::new())
}
