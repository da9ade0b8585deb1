//! How long a connection may do nothing.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// Longest that a request's line and headers may take from their first byte on, in milliseconds.
const HEADER_MS: u64 = 5_000;
/// Longest that a connection may be idle, or a reply be stuck, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// What a connection waits for, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first byte of the next request, or the caller to read its reply.
    Idle(Instant),
    /// The rest of the headers.
    Header(Instant),
    /// The handler, which has deadlines of its own.
    Handler,
}

/// The phases of one connection.
#[derive(Debug)]
pub struct Activity {
    phase: Cell<Phase>,
}

impl Activity {
    /// A connection that has just been accepted.
    #[must_use]
    pub fn begin(now: Instant) -> Self {
        Self {
            phase: Cell::new(Phase::Idle(now + Duration::from_millis(IDLE_MS))),
        }
    }

    /// Bytes came in.
    pub fn note_read(&self, now: Instant) {
        if let Phase::Idle(_) = self.phase.get() {
            let until = now + Duration::from_millis(HEADER_MS);
            self.phase.set(Phase::Header(until));
        }
    }

    /// Bytes went out.
    pub fn note_write(&self, now: Instant) {
        if let Phase::Idle(_) = self.phase.get() {
            self.note_answered(now);
        }
    }

    /// The handler has a request.
    pub fn note_request(&self) {
        self.phase.set(Phase::Handler);
    }

    /// The handler has answered.
    pub fn note_answered(&self, now: Instant) {
        let until = now + Duration::from_millis(IDLE_MS);
        self.phase.set(Phase::Idle(until));
    }

    /// When the connection is to be closed, as of now.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match self.phase.get() {
            Phase::Idle(until) | Phase::Header(until) => Some(until),
            Phase::Handler => None,
        }
    }
}
