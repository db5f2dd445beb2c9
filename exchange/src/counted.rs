//! A TCP stream that counts what the kernel took.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes written to a connection so far, shared with its user, who can also stop all writing.
///
/// An error after a request was handed to the HTTP library does not say whether any byte went out,
/// nor whether the library will still write some. [`WrittenCount::seal`] answers both: nothing is
/// written after it, and if the count stands where it stood before, the request did not run. The
/// lock is held over each write, so that no write is under way when the seal returns.
#[derive(Clone, Debug, Default)]
pub(crate) struct WrittenCount(Arc<Mutex<WriteState>>);

#[derive(Debug, Default)]
struct WriteState {
    count: u64,
    sealed: bool,
}

impl WrittenCount {
    /// The bytes so far.
    pub(crate) fn get(&self) -> u64 {
        self.lock().count
    }

    /// Forbids further writes and tells the bytes written in all.
    pub(crate) fn seal(&self) -> u64 {
        let mut state = self.lock();
        state.sealed = true;
        state.count
    }

    fn write(&self, poll: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.sealed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = poll();
        if let Poll::Ready(Ok(count)) = result {
            state.count += count as u64;
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, WriteState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stream.
pub(crate) struct CountedStream {
    stream: TcpStream,
    written: WrittenCount,
}

impl CountedStream {
    /// Counts what is written to `stream` from now on.
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
        written.write(|| Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, written } = &mut *self;
        written.write(|| Pin::new(stream).poll_write_vectored(cx, slices))
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
