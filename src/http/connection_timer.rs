//! Time limits of an HTTP connection.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

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
#[derive(Debug)]
pub struct ConnectionTimer {
    phase: Cell<Phase>,
}

impl ConnectionTimer {
    /// Starts the timer of a connection that was just accepted.
    #[must_use]
    pub fn start(now: Instant) -> Self {
        Self {
            phase: Cell::new(Phase::Idle(now + Duration::from_millis(IDLE_TIMEOUT_MS))),
        }
    }

    /// Records that bytes were received.
    pub fn record_read(&self, now: Instant) {
        if let Phase::Idle(_) = self.phase.get() {
            let until = now + Duration::from_millis(HEADER_TIMEOUT_MS);
            self.phase.set(Phase::Header(until));
        }
    }

    /// Records that bytes were sent.
    pub fn record_write(&self, now: Instant) {
        if let Phase::Idle(_) = self.phase.get() {
            self.record_reply(now);
        }
    }

    /// Records that a request was passed to the handler.
    pub fn record_request(&self) {
        self.phase.set(Phase::Handler);
    }

    /// Records that the handler has replied.
    pub fn record_reply(&self, now: Instant) {
        let until = now + Duration::from_millis(IDLE_TIMEOUT_MS);
        self.phase.set(Phase::Idle(until));
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
