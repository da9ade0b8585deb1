//! Times of a process's last exchanges with the election.

use std::cell::Cell;
use std::time::Instant;

use crate::batch::Fence;

/// A confirmation that this process is the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Confirmation {
    /// When the request was sent that the election answered with it.
    pub asked: Instant,
    /// Number of the last change of the group. It rises with each change, also with those that leave
    /// the owner as it is.
    pub generation: Fence,
}

/// Times of the last exchanges with the election, taken when each request was sent.
#[derive(Debug)]
pub(super) struct Contact {
    asked: Cell<Instant>,
    confirmation: Cell<Confirmation>,
}

impl Contact {
    /// Contact of a process that joins the election at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            asked: Cell::new(now),
            confirmation: Cell::new(Confirmation {
                asked: now,
                generation: 0,
            }),
        }
    }

    /// Records a request that has ended, with an answer or without.
    pub fn record_request(&self, asked: Instant) {
        self.asked.set(asked);
    }

    /// Records that the election named this process as the owner.
    pub fn record_confirmation(&self, confirmation: Confirmation) {
        self.confirmation.set(confirmation);
    }

    /// When the election was last asked, with an answer or without.
    pub fn asked(&self) -> Instant {
        self.asked.get()
    }

    /// The last confirmation of this process as the owner.
    pub fn confirmation(&self) -> Confirmation {
        self.confirmation.get()
    }
}
