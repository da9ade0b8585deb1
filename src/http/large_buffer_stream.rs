//! A connection with large buffers.

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

/// Bytes that one turn of the event loop reads at most.
const BUFFER: usize = 64 << 10;
/// Bytes that are handed on at once.
const PIECE: usize = 8 << 10;

/// A stream for few connections with long answers: a busy event loop reads them in few turns.
pub struct LargeBufferStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
}

impl LargeBufferStream {
    /// A stream over an open connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            inner: Box::pin(AsyncStream::with_capacity(BUFFER, stream)),
        }
    }
}

impl Read for LargeBufferStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut piece = [0; PIECE];
        let size = buf.remaining().min(PIECE);
        let inner = self.inner.as_mut();
        let count = ready!(AsyncRead::poll_read(inner, cx, &mut piece[..size]))?;
        buf.put_slice(&piece[..count]);
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
