//! An answer whose body is read piece by piece.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyStream;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use crate::client::error_chain;
use crate::error::{ExchangeError, ExchangeStage};
use crate::pool::{ConnectionPool, OpenConnection};

/// The head of an answer and its body to come.
#[derive(Debug)]
pub struct ExchangeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// The body of an answer, a stream of its pieces.
///
/// Its connection is kept for another exchange once the end was read. Dropping it before closes the
/// connection, by which the server learns that nobody reads on.
pub struct AnswerBody {
    body: BodyStream<Incoming>,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    address: SocketAddr,
    connection: Option<OpenConnection>,
    pool: ConnectionPool,
    ended: bool,
}

impl AnswerBody {
    pub(crate) fn new(
        body: Incoming,
        limit: Duration,
        address: SocketAddr,
        connection: OpenConnection,
        pool: ConnectionPool,
    ) -> Self {
        Self {
            body: BodyStream::new(body),
            limit,
            timer: Box::pin(tokio::time::sleep(limit)),
            address,
            connection: Some(connection),
            pool,
            ended: false,
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::TooLarge`] beyond `limit` bytes, else what cut the answer.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, ExchangeError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next().await {
            let piece = piece?;
            if whole.len() + piece.len() > limit {
                return Err(ExchangeError::TooLarge { limit });
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn end(&mut self) {
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.pool.put(self.address, connection);
        }
    }

    fn fail(&mut self, error: ExchangeError) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        self.ended = true;
        self.connection = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, ExchangeError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if self.ended {
                return Poll::Ready(None);
            }
            match self.body.poll_next_unpin(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let deadline = Instant::now() + self.limit;
                    self.timer.as_mut().reset(deadline);
                    // Trailers carry nothing that is used here.
                    if let Ok(piece) = frame.into_data() {
                        return Poll::Ready(Some(Ok(piece)));
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    let cause = error_chain(&error);
                    return self.fail(ExchangeError::Broken { cause });
                }
                Poll::Ready(None) => {
                    self.end();
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

impl std::fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerBody").field("address", &self.address).finish_non_exhaustive()
    }
}
