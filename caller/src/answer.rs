//! Writing answers, whole or as they come.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Serialize;

use crate::handler::{AnswerBody, AnswerStream, CompletionAnswer, ServiceAnswer};
use crate::header::backward_headers;
use crate::payload::{CutError, FaceBody, whole_body};
use crate::problem::{CallProblem, FaceReason, ProblemIds, problem_json, problem_response};

const EVENT_STREAM: &str = "text/event-stream";

/// How the end of a broken stream is told.
#[derive(Clone, Debug)]
enum CutSignal {
    /// A last server-sent event with a problem document, and no `[DONE]` after it.
    Event(ProblemIds),
    /// A broken connection.
    Break,
}

/// A body of an answer as it comes. Dropping it drops the handler's stream, which cancels what runs.
struct StreamedBody {
    stream: AnswerStream,
    signal: CutSignal,
    ended: bool,
}

impl http_body::Body for StreamedBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
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
                Poll::Ready(Some(cut_frame(&problem, &self.signal)))
            }
            None => {
                self.ended = true;
                Poll::Ready(None)
            }
        }
    }
}

fn cut_frame(problem: &CallProblem, signal: &CutSignal) -> Result<Frame<Bytes>, CutError> {
    let reason = problem.row().name;
    match signal {
        CutSignal::Event(ids) => {
            let mut event = b"event: error\ndata: ".to_vec();
            event.extend(problem_json(problem, ids));
            event.extend(b"\n\n");
            Ok(Frame::data(event.into()))
        }
        CutSignal::Break => Err(CutError { reason }),
    }
}

fn answer_body(body: AnswerBody, signal: CutSignal) -> FaceBody {
    match body {
        AnswerBody::Whole(bytes) => whole_body(bytes),
        AnswerBody::Stream(stream) => StreamedBody { stream, signal, ended: false }.boxed_unsync(),
    }
}

/// The response to a completion.
pub(crate) fn completion_response(answer: CompletionAnswer, ids: ProblemIds) -> Response<FaceBody> {
    let events = answer.content_type.starts_with(EVENT_STREAM);
    let signal = if events { CutSignal::Event(ids.clone()) } else { CutSignal::Break };
    let Ok(content_type) = HeaderValue::from_str(&answer.content_type) else {
        let detail = "the backend server's content type is malformed";
        return problem_response(&CallProblem::not_run(FaceReason::Internal, detail), &ids);
    };
    let mut headers = backward_headers(&answer.headers);
    headers.insert(CONTENT_TYPE, content_type);
    if events {
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    respond(answer.status, headers, answer_body(answer.body, signal))
}

/// The response of a plain service.
pub(crate) fn service_response(answer: ServiceAnswer) -> Response<FaceBody> {
    let headers = backward_headers(&answer.headers);
    respond(answer.status, headers, answer_body(answer.body, CutSignal::Break))
}

/// A response with a JSON document.
pub(crate) fn json_response(status: StatusCode, document: &impl Serialize) -> Response<FaceBody> {
    let bytes = serde_json::to_vec(document).unwrap_or_default();
    bytes_response(status, "application/json", bytes.into())
}

/// A response with a whole body of the given type.
pub(crate) fn bytes_response(status: StatusCode, kind: &str, bytes: Bytes) -> Response<FaceBody> {
    let mut headers = HeaderMap::new();
    let kind = HeaderValue::from_str(kind);
    let fallback = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, kind.unwrap_or(fallback));
    respond(status, headers, whole_body(bytes))
}

fn respond(status: StatusCode, headers: HeaderMap, body: FaceBody) -> Response<FaceBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
