//! Body of a client's request.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::http::BodyError;
use crate::http::connection_timer::ConnectionTimer;
use crate::http::pacer::Pacer;
use crate::http::pacer::Turn;

/// Memory that counts for each byte of a body: the buffer in which it is collected doubles as it
/// grows.
const BYTES_PER_BYTE: usize = 2;

/// Body of a client's request. What arrives of it counts against the memory for clients until the
/// request is answered.
pub struct ClientBody {
    incoming: Incoming,
    timer: Rc<ConnectionTimer>,
    pacer: Rc<Pacer>,
    // The step to wait for before more is read.
    turn: Option<Turn>,
}

impl ClientBody {
    /// Wraps the body of a request of a connection.
    pub(super) fn new(incoming: Incoming, timer: Rc<ConnectionTimer>, pacer: Rc<Pacer>) -> Self {
        let body = Self {
            incoming,
            timer,
            pacer,
            turn: None,
        };
        body.note_end();
        body
    }

    fn note_end(&self) {
        if self.incoming.is_end_stream() {
            self.timer.record_body_end(Instant::now());
        }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(turn) = &mut self.turn {
            let _ = ready!(Pin::new(turn).poll(cx));
            self.turn = None;
        }
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        let Some(frame) = frame else {
            self.timer.record_body_end(Instant::now());
            return Poll::Ready(None);
        };
        let frame = frame.map_err(|err| BodyError::Incomplete(err.to_string()))?;
        let size = frame.data_ref().map_or(0, Bytes::len);
        let size = size.saturating_mul(BYTES_PER_BYTE);
        if !self.timer.grow(size, Instant::now()) {
            return Poll::Ready(Some(Err(BodyError::Busy)));
        }
        self.note_end();
        if !self.incoming.is_end_stream() {
            self.turn = self.pacer.ask();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
