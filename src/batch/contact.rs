//! Times of a process's last exchanges with the election.

use std::cell::Cell;
use std::time::Instant;

/// Times of the last exchanges with the election, taken when each request was sent.
#[derive(Debug)]
pub(super) struct Contact {
    asked: Cell<Instant>,
    confirmed: Cell<Instant>,
}

impl Contact {
    /// Contact of a process that joins the election at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            asked: Cell::new(now),
            confirmed: Cell::new(now),
        }
    }

    /// Records a request that has ended, with an answer or without.
    pub fn record_request(&self, asked: Instant) {
        self.asked.set(asked);
    }

    /// Records that the election, asked at `asked`, named this process as the owner.
    pub fn record_confirmation(&self, asked: Instant) {
        self.confirmed.set(asked);
    }

    /// When the election was last asked, with an answer or without.
    pub fn asked(&self) -> Instant {
        self.asked.get()
    }

    /// When the election was last asked and named this process as the owner.
    pub fn confirmed(&self) -> Instant {
        self.confirmed.get()
    }
}
