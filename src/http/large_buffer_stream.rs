//! A TCP stream with large buffers.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::AsyncRead;
use futures_util::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Maximum number of bytes read in one iteration of the event loop.
const BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of bytes copied in one poll.
const CHUNK_BYTES: usize = 8 << 10;

/// A stream for few connections with long responses: a busy event loop needs fewer iterations to
/// read them.
pub struct LargeBufferStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
}

impl LargeBufferStream {
    /// Wraps an open connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            inner: Box::pin(AsyncStream::with_capacity(BUFFER_BYTES, stream)),
        }
    }
}

impl Read for LargeBufferStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK_BYTES];
        let size = buf.remaining().min(CHUNK_BYTES);
        let inner = self.inner.as_mut();
        let count = ready!(AsyncRead::poll_read(inner, cx, &mut chunk[..size]))?;
        buf.put_slice(&chunk[..count]);
        Poll::Ready(Ok(()))
    }
}

impl Write for LargeBufferStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(self.inner.as_mut(), cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(self.inner.as_mut(), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_close(self.inner.as_mut(), cx)
    }
}
