//! A stream that records its activity.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::http::connection_timer::ConnectionTimer;

/// Forwards all calls and records when bytes are received or sent.
pub struct MonitoredStream<S> {
    stream: S,
    timer: Rc<ConnectionTimer>,
}

impl<S> MonitoredStream<S> {
    /// Wraps a stream whose activity goes to `timer`.
    pub const fn new(stream: S, timer: Rc<ConnectionTimer>) -> Self {
        Self { stream, timer }
    }
}

impl<S: Read + Unpin> Read for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.timer.record_read(Instant::now());
        Poll::Ready(read)
    }
}

impl<S: Write + Unpin> Write for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.timer.record_write(Instant::now());
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
