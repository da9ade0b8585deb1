//! Decides which confirmations by the election count for a term.

use std::time::Instant;

use crate::batch::Fence;
use crate::batch::contact::Confirmation;

/// How long the term of an owner is known to go on.
///
/// The election names the present owner. It doesn't tell whether another process was the owner
/// between two of its answers, so after a change of the group an answer counts only once the log
/// has accepted a record of this term: the log accepts none after a later owner's first one.
#[derive(Debug)]
pub struct Tenure {
    generation: Fence,
    checking: Option<Fence>,
    confirmed: Instant,
}

impl Tenure {
    /// Tenure of an owner that was elected with the number `fence`, as it learnt from a request sent
    /// at `asked`.
    #[must_use]
    pub const fn new(fence: Fence, asked: Instant) -> Self {
        Self {
            generation: fence,
            checking: None,
            confirmed: asked,
        }
    }

    /// Notes the election's last confirmation. Returns the number of the group's last change if a
    /// record has to be appended before the confirmation counts.
    pub fn observe(&mut self, confirmation: Confirmation) -> Option<Fence> {
        if confirmation.generation == self.generation {
            self.confirmed = self.confirmed.max(confirmation.asked);
            return None;
        }
        if confirmation.generation < self.generation || self.checking.is_some() {
            return None;
        }
        self.checking = Some(confirmation.generation);
        self.checking
    }

    /// Notes that the record that [`Self::observe`] asked for is in the log.
    pub fn complete_check(&mut self) {
        self.generation = self.checking.take().unwrap_or(self.generation);
    }

    /// When the last request was sent whose answer showed that no other process is or was the owner.
    #[must_use]
    pub const fn confirmed(&self) -> Instant {
        self.confirmed
    }
}
