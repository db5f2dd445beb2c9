//! A response whose body is streamed.

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::{HeaderMap, Method, StatusCode, header};
use http_body_util::BodyStream;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use crate::client::error_chain;
use crate::counted::WrittenCount;
use crate::error::{ExchangeError, ExchangeStage};
use crate::pool::{ConnectionPool, OpenConnection};

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length, in advance. A response that cannot have a body counts here.
    #[default]
    Length,
    /// By an empty last chunk.
    Chunks,
    /// Not at all: the body ends with its connection. A sender that ended early closes it alike, so that
    /// only the content can show whether the body is complete.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of the response to a request with this method, by its status and headers.
    pub(crate) fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let bodiless = *method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if bodiless || headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// A response head with its body, which is still to be read.
#[derive(Debug)]
pub struct ExchangeResponse {
    /// The status code, of any class; the client does not turn error statuses into errors.
    pub status: StatusCode,
    /// The headers as received.
    pub headers: HeaderMap,
    /// Whether it came on a connection that was opened for the request.
    pub fresh: bool,
    /// How it states where its body ends.
    pub framing: BodyFraming,
    /// The body, to be read to its end for the connection to be reused.
    pub body: ResponseBody,
}

/// A response body as a stream of data chunks.
///
/// Each chunk must arrive within [`crate::ExchangeRequest::chunk_timeout`]. Reading to the end
/// returns the connection to the pool; dropping the body earlier closes the connection, so that the
/// server sees the cancellation.
pub struct ResponseBody {
    body: BodyStream<Incoming>,
    chunk_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    address: SocketAddr,
    connection: Option<OpenConnection>,
    pool: ConnectionPool,
    finished: bool,
    /// Set for a success that ends with its connection.
    end_check: Option<EndCheck>,
    /// Chunks that were read ahead and are returned first.
    put_back: VecDeque<Result<Bytes, ExchangeError>>,
}

/// Whether the end of a connection can be the end of the answer, which states no other one.
pub(crate) struct EndCheck {
    /// Whether a byte of the body was received; the sender may otherwise have stopped right after the head.
    has_bytes: bool,
    written: WrittenCount,
    /// How many bytes are written once the request is written whole.
    request_end: u64,
}

impl EndCheck {
    pub(crate) fn new(written: WrittenCount, request_end: u64) -> Self {
        Self { has_bytes: false, written, request_end }
    }

    /// Returns why the answer is not complete, if it is not.
    fn fault(&self) -> Option<&'static str> {
        if !self.has_bytes {
            return Some("the connection ended with the head of the answer");
        }
        // A server that closes while the request is still written resets the connection, but the end is read first.
        let is_written = self.written.get() >= self.request_end;
        (!is_written).then_some("the connection ended before the request was written")
    }
}

impl ResponseBody {
    pub(crate) fn new(
        body: Incoming,
        chunk_timeout: Duration,
        address: SocketAddr,
        connection: OpenConnection,
        pool: ConnectionPool,
        end_check: Option<EndCheck>,
    ) -> Self {
        Self {
            body: BodyStream::new(body),
            chunk_timeout,
            timer: Box::pin(tokio::time::sleep(chunk_timeout)),
            address,
            connection: Some(connection),
            pool,
            finished: false,
            end_check,
            put_back: VecDeque::new(),
        }
    }

    /// Takes back chunks that were read ahead, and the error that ended them, if any. They are read again first.
    pub fn put_back(&mut self, chunks: Vec<Result<Bytes, ExchangeError>>) {
        self.put_back.extend(chunks);
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::TooLarge`] if it is longer than `limit` bytes, and
    /// [`ExchangeError::BodyFailed`] or [`ExchangeError::TimedOut`] if it did not arrive in full. The
    /// connection is closed in each case.
    pub async fn collect(self, limit: usize) -> Result<Bytes, ExchangeError> {
        self.collect_if(limit, |_| true).await
    }

    /// Reads the body to its end as [`Self::collect`] does, while `may_hold` allows the bytes of each
    /// further chunk; it counts as too large once that does not.
    ///
    /// # Errors
    ///
    /// As [`Self::collect`].
    pub async fn collect_if(
        mut self,
        limit: usize,
        mut may_hold: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, ExchangeError> {
        let mut collected = BytesMut::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk?;
            if collected.len() + chunk.len() > limit {
                return Err(ExchangeError::TooLarge { limit });
            }
            if !may_hold(chunk.len()) {
                return Err(ExchangeError::TooLarge { limit: collected.len() });
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }

    /// Reads the body to its end as [`Self::collect_if`] does, within `limit_time` in all. The timeout
    /// of each chunk alone does not end a body that arrives byte by byte.
    ///
    /// # Errors
    ///
    /// As [`Self::collect`]; [`ExchangeError::TimedOut`] also if `limit_time` is over.
    pub async fn collect_within(
        self,
        limit: usize,
        limit_time: Duration,
        may_hold: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, ExchangeError> {
        let late = ExchangeError::TimedOut { stage: ExchangeStage::Body };
        let whole = self.collect_if(limit, may_hold);
        tokio::time::timeout(limit_time, whole).await.unwrap_or(Err(late))
    }

    fn finish(&mut self) {
        self.finished = true;
        if let Some(connection) = self.connection.take() {
            self.pool.put(self.address, connection);
        }
    }

    fn fail(&mut self, error: ExchangeError) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        self.finished = true;
        self.connection = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Stream for ResponseBody {
    type Item = Result<Bytes, ExchangeError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(chunk) = self.put_back.pop_front() {
            return Poll::Ready(Some(chunk));
        }
        loop {
            if self.finished {
                return Poll::Ready(None);
            }
            match self.body.poll_next_unpin(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let deadline = Instant::now() + self.chunk_timeout;
                    self.timer.as_mut().reset(deadline);
                    // Trailers are discarded.
                    if let Ok(chunk) = frame.into_data() {
                        if let Some(check) = &mut self.end_check {
                            check.has_bytes |= !chunk.is_empty();
                        }
                        return Poll::Ready(Some(Ok(chunk)));
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    let cause = error_chain(&error);
                    return self.fail(ExchangeError::BodyFailed { cause });
                }
                Poll::Ready(None) => {
                    let fault = self.end_check.as_ref().and_then(EndCheck::fault);
                    if let Some(cause) = fault.map(str::to_owned) {
                        return self.fail(ExchangeError::BodyFailed { cause });
                    }
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    return match self.timer.as_mut().poll(cx) {
                        Poll::Ready(()) => {
                            self.fail(ExchangeError::TimedOut { stage: ExchangeStage::Body })
                        }
                        Poll::Pending => Poll::Pending,
                    };
                }
            }
        }
    }
}

impl std::fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerBody").field("address", &self.address).finish_non_exhaustive()
    }
}
