//! A TCP stream with buffers of its own.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::AsyncBufRead;
use futures_util::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Size of the buffers of most connections.
pub const SMALL_BUFFER_BYTES: usize = 8 << 10;
/// Size of the buffers of connections with long responses: a busy event loop needs fewer iterations
/// to read them.
pub const LARGE_BUFFER_BYTES: usize = 64 << 10;

/// A stream that hands out what is in its buffer and clears no memory before it reads.
pub struct BufferedStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
}

impl BufferedStream {
    /// Wraps an open connection, with buffers of `size` bytes.
    #[must_use]
    pub fn new(stream: TcpStream, size: usize) -> Self {
        Self {
            inner: Box::pin(AsyncStream::with_capacity(size, stream)),
        }
    }
}

impl Read for BufferedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = ready!(self.inner.as_mut().poll_fill_buf(cx))?;
        let count = filled.len().min(buf.remaining());
        buf.put_slice(&filled[..count]);
        self.inner.as_mut().consume(count);
        Poll::Ready(Ok(()))
    }
}

impl Write for BufferedStream {
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
