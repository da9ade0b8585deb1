//! A hybrid logical clock.

use std::cell::Cell;

use crate::observe::HlcTimestamp;

/// How far ahead of the own clock a peer's stamp may be and still count, in milliseconds; a
/// process whose clock is wrong by more must not move the others'.
const AHEAD_MS: u64 = 60_000;

/// Gives stamps that follow both the wall clock and the order of messages. Reads no clock.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Cell<HlcTimestamp>,
}

impl HybridClock {
    /// A stamp for something that happens at `now`, in Unix milliseconds; later than every stamp
    /// given or merged before.
    pub fn tick(&self, now: u64) -> HlcTimestamp {
        self.last
            .set(self.last.get().next().max(HlcTimestamp::at(now)));
        self.last.get()
    }

    /// Takes in a peer's stamp: later stamps of this clock come after it. Tells whether it counts.
    pub fn merge(&self, peer: HlcTimestamp, now: u64) -> bool {
        let counts = peer.millis() <= now.saturating_add(AHEAD_MS);
        if counts {
            self.last.set(self.last.get().max(peer));
        }
        counts
    }

    /// The last stamp given or merged.
    #[must_use]
    pub const fn last(&self) -> HlcTimestamp {
        self.last.get()
    }
}
