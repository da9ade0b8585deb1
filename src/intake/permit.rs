//! A connection's place among those of its listener.

use std::time::Instant;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

use crate::intake::Intakes;
use crate::intake::Stage;

/// The place of one connection; given back when dropped.
pub struct Permit {
    intakes: Intakes,
    id: u64,
    cut: Shared<oneshot::Receiver<()>>,
}

impl Permit {
    pub(super) fn new(intakes: Intakes, id: u64, cut: oneshot::Receiver<()>) -> Self {
        Self {
            intakes,
            id,
            cut: cut.shared(),
        }
    }

    /// Notes that the connection enters a stage.
    pub fn enter(&self, stage: Stage, now: Instant) {
        self.intakes.enter(self.id, stage, now);
    }

    /// Counts memory for its request; returns whether there is place for it.
    #[must_use]
    pub fn grow(&self, bytes: usize, now: Instant) -> bool {
        self.intakes.grow(self.id, bytes, now)
    }

    /// Waits until the connection has to make place for others.
    pub async fn cut(&self) {
        let _ = self.cut.clone().await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.intakes.leave(self.id);
    }
}
