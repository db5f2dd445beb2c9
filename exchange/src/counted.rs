//! A TCP stream that counts the bytes accepted by the kernel.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of bytes written to a connection, shared between its stream and its user.
///
/// An error from hyper after a request was handed to it does not show whether any byte was written,
/// nor whether more will be. [`WrittenCount::seal`] determines both: nothing is written after it,
/// and if the count equals the one before the request, the request did not run. The lock is held
/// during each write, so no write is in progress when `seal` returns.
#[derive(Clone, Debug, Default)]
pub(crate) struct WrittenCount(Arc<Mutex<WriteState>>);

#[derive(Debug, Default)]
struct WriteState {
    count: u64,
    sealed: bool,
}

impl WrittenCount {
    /// Returns the number of bytes written so far.
    pub(crate) fn get(&self) -> u64 {
        self.lock().count
    }

    /// Makes all further writes fail and returns the final number of bytes written.
    pub(crate) fn seal(&self) -> u64 {
        let mut state = self.lock();
        state.sealed = true;
        state.count
    }

    fn record_write(
        &self,
        poll_write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.sealed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = poll_write();
        if let Poll::Ready(Ok(count)) = result {
            state.count += count as u64;
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, WriteState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A [`TcpStream`] that records its writes in a [`WrittenCount`].
pub(crate) struct CountedStream {
    stream: TcpStream,
    written: WrittenCount,
}

impl CountedStream {
    /// Wraps `stream`; its writes are added to `written`.
    pub(crate) fn new(stream: TcpStream, written: WrittenCount) -> Self {
        Self { stream, written }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, written } = &mut *self;
        written.record_write(|| Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, written } = &mut *self;
        written.record_write(|| Pin::new(stream).poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    use super::*;

    #[tokio::test]
    async fn sealed_stream() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let written = WrittenCount::default();
        let mut counted = CountedStream::new(stream, written.clone());
        counted.write_all(b"four").await.unwrap();
        assert_eq!((written.get(), written.seal()), (4, 4));
        counted.write_all(b"more").await.unwrap_err();
        assert_eq!(written.get(), 4);
    }
}
