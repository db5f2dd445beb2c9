//! Builds HTTP responses from the handler's answers, buffered or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Serialize;

use crate::handler::{AnswerBody, AnswerStream, CompletionAnswer, ServiceAnswer};
use crate::header::response_headers;
use crate::payload::{ResponseBody, TruncatedError, whole_body};
use crate::problem::{CallProblem, InterfaceReason, ProblemIds, problem_json, problem_response};

const EVENT_STREAM: &str = "text/event-stream";

/// How a caller learns that a streamed body is incomplete.
#[derive(Clone, Debug)]
enum TruncationSignal {
    /// A final server-sent event `error` with a problem document; no `[DONE]` follows.
    Event(ProblemIds),
    /// The connection is closed before the body's framing is complete.
    Close,
}

/// A streamed response body. Dropping it, as hyper does when the caller disconnects, drops the
/// handler's stream, which cancels the running request.
struct StreamedBody {
    stream: AnswerStream,
    signal: TruncationSignal,
    ended: bool,
}

impl http_body::Body for StreamedBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(next) = self.stream.as_mut().poll_next(context) else {
            return Poll::Pending;
        };
        match next {
            Some(Ok(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Err(problem)) => {
                self.ended = true;
                Poll::Ready(Some(truncation_frame(&problem, &self.signal)))
            }
            None => {
                self.ended = true;
                Poll::Ready(None)
            }
        }
    }
}

fn truncation_frame(
    problem: &CallProblem,
    signal: &TruncationSignal,
) -> Result<Frame<Bytes>, TruncatedError> {
    let reason = problem.row().name;
    match signal {
        TruncationSignal::Event(ids) => {
            let mut event = b"event: error\ndata: ".to_vec();
            event.extend(problem_json(problem, ids));
            event.extend(b"\n\n");
            Ok(Frame::data(event.into()))
        }
        TruncationSignal::Close => Err(TruncatedError { reason }),
    }
}

fn response_body(body: AnswerBody, signal: TruncationSignal) -> ResponseBody {
    match body {
        AnswerBody::Whole(bytes) => whole_body(bytes),
        AnswerBody::Stream(stream) => StreamedBody { stream, signal, ended: false }.boxed_unsync(),
    }
}

/// Builds the response to a completion. If the body fails, a server-sent event stream ends with an
/// error event and any other body with a closed connection.
pub(crate) fn completion_response(
    answer: CompletionAnswer,
    ids: ProblemIds,
) -> Response<ResponseBody> {
    let is_event_stream = answer.content_type.starts_with(EVENT_STREAM);
    let signal = if is_event_stream {
        TruncationSignal::Event(ids.clone())
    } else {
        TruncationSignal::Close
    };
    let Ok(content_type) = HeaderValue::from_str(&answer.content_type) else {
        let detail = "the backend server sent a malformed content type";
        return problem_response(&CallProblem::not_run(InterfaceReason::Internal, detail), &ids);
    };
    let mut headers = response_headers(&answer.headers);
    headers.insert(CONTENT_TYPE, content_type);
    if is_event_stream {
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    build_response(answer.status, headers, response_body(answer.body, signal))
}

/// Builds the response to a call of a plain service. If the body fails, the connection is closed.
pub(crate) fn service_response(answer: ServiceAnswer) -> Response<ResponseBody> {
    let headers = response_headers(&answer.headers);
    build_response(answer.status, headers, response_body(answer.body, TruncationSignal::Close))
}

/// Builds a response with a JSON document; the body is empty if `document` cannot be serialized.
pub(crate) fn json_response(
    status: StatusCode,
    document: &impl Serialize,
) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(document).unwrap_or_default();
    bytes_response(status, "application/json", bytes.into())
}

/// Builds a response with a complete body. An invalid content type is replaced by
/// `application/octet-stream`.
pub(crate) fn bytes_response(
    status: StatusCode,
    content_type: &str,
    bytes: Bytes,
) -> Response<ResponseBody> {
    let mut headers = HeaderMap::new();
    let content_type = HeaderValue::from_str(content_type);
    let fallback = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, content_type.unwrap_or(fallback));
    build_response(status, headers, whole_body(bytes))
}

fn build_response(
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
