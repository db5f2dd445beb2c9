//! A TCP stream that counts what the kernel took.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes written to a connection so far, shared with its user.
///
/// An error after a request was handed to the HTTP library does not say whether any byte went out.
/// If the count stands where it stood before, none did, and the request certainly did not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct WrittenCount(Arc<AtomicU64>);

impl WrittenCount {
    /// The bytes so far.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = result {
            self.0.fetch_add(*count as u64, Ordering::AcqRel);
        }
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
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.written.add(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.written.add(&result);
        result
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
