//! A hybrid logical clock.

use std::cell::Cell;

use crate::observe::HlcTimestamp;

/// Largest lead of a peer's timestamp over the local clock that is accepted, in milliseconds: a
/// process with a wrong clock must not advance the clocks of others any further.
const MAX_SKEW_MS: u64 = 60_000;

/// Issues timestamps that follow the wall clock and preserve the order of messages. The caller
/// passes the wall-clock time.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Cell<HlcTimestamp>,
}

impl HybridClock {
    /// Timestamp of a local event at `now`, in Unix milliseconds; later than every timestamp
    /// issued or merged before.
    pub fn tick(&self, now: u64) -> HlcTimestamp {
        self.last
            .set(self.last.get().next().max(HlcTimestamp::at(now)));
        self.last.get()
    }

    /// Advances the clock past a peer's timestamp, unless that is too far ahead of `now` (Unix
    /// milliseconds). Returns whether the timestamp was accepted.
    pub fn merge(&self, peer: HlcTimestamp, now: u64) -> bool {
        let accepted = peer.millis() <= now.saturating_add(MAX_SKEW_MS);
        if accepted {
            self.last.set(self.last.get().max(peer));
        }
        accepted
    }

    /// Latest timestamp issued or merged.
    #[must_use]
    pub const fn last(&self) -> HlcTimestamp {
        self.last.get()
    }
}
