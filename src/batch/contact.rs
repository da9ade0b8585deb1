//! When the election last heard from this process, and this process from it.

use std::cell::Cell;
use std::time::Instant;

/// A process's last exchanges with the election.
#[derive(Debug)]
pub(super) struct Contact {
    asked: Cell<Instant>,
    confirmed: Cell<Instant>,
}

impl Contact {
    /// A process that begins to take part.
    pub fn new(now: Instant) -> Self {
        Self {
            asked: Cell::new(now),
            confirmed: Cell::new(now),
        }
    }

    /// Notes that the election was asked for the owner, and answered or not.
    pub fn ask(&self, asked: Instant) {
        self.asked.set(asked);
    }

    /// Notes that the election, asked at `asked`, named this process.
    pub fn confirm(&self, asked: Instant) {
        self.confirmed.set(asked);
    }

    /// When the election was last asked.
    pub fn asked(&self) -> Instant {
        self.asked.get()
    }

    /// When it was last asked and named this process.
    pub fn confirmed(&self) -> Instant {
        self.confirmed.get()
    }
}
