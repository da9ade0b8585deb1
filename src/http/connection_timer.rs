//! Time limits of an HTTP connection.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use crate::intake::Permit;
use crate::intake::Stage;

/// Time limit for the request line and headers, counted from their first byte.
const HEADER_TIMEOUT_MS: u64 = 5_000;
/// Time limit for an idle connection, and for a reply that the caller does not read.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// What a connection waits for, with the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first byte of the next request, or the caller reading its reply.
    Idle(Instant),
    /// The rest of the headers.
    Header(Instant),
    /// The handler, which enforces its own deadlines.
    Handler,
}

/// Tracks the phase of one connection.
pub struct ConnectionTimer {
    phase: Cell<Phase>,
    permit: Permit,
}

impl ConnectionTimer {
    /// Starts the timer of a connection that was just accepted.
    #[must_use]
    pub fn start(now: Instant, permit: Permit) -> Self {
        Self {
            permit,
            phase: Cell::new(Phase::Idle(now + Duration::from_millis(IDLE_TIMEOUT_MS))),
        }
    }

    /// Records that bytes were received.
    pub fn record_read(&self, now: Instant) {
        if let Phase::Idle(_) = self.phase.get() {
            let until = now + Duration::from_millis(HEADER_TIMEOUT_MS);
            self.phase.set(Phase::Header(until));
            self.permit.enter(Stage::Receiving, now);
        }
    }

    /// Records that bytes were sent.
    pub fn record_write(&self, now: Instant) {
        if let Phase::Idle(_) = self.phase.get() {
            let until = now + Duration::from_millis(IDLE_TIMEOUT_MS);
            self.phase.set(Phase::Idle(until));
        }
    }

    /// Records that a request was passed to the handler.
    pub fn record_request(&self) {
        self.phase.set(Phase::Handler);
    }

    /// Records that the request has arrived in full.
    pub fn record_body_end(&self, now: Instant) {
        if matches!(self.phase.get(), Phase::Handler) {
            self.permit.enter(Stage::Serving, now);
        }
    }

    /// Counts memory for the body of its request; returns whether there is place for it.
    #[must_use]
    pub fn grow(&self, bytes: usize, now: Instant) -> bool {
        self.permit.grow(bytes, now)
    }

    /// Waits until the connection has to make place for others.
    pub async fn cut(&self) {
        self.permit.cut().await;
    }

    /// Records that the handler has replied.
    pub fn record_reply(&self, now: Instant) {
        let until = now + Duration::from_millis(IDLE_TIMEOUT_MS);
        self.phase.set(Phase::Idle(until));
        self.permit.enter(Stage::Idle, now);
    }

    /// When to close the connection unless its phase changes; `None` while the handler runs.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match self.phase.get() {
            Phase::Idle(until) | Phase::Header(until) => Some(until),
            Phase::Handler => None,
        }
    }
}
