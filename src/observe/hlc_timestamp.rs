//! Timestamp of a hybrid logical clock.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Low bits that hold the counter; the milliseconds are above them.
const COUNTER_BITS: u32 = 16;

/// Unix milliseconds and a counter that orders events within one millisecond.
///
/// Displayed as `millis.counter`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcTimestamp(u64);

impl HlcTimestamp {
    /// First timestamp of a millisecond, in Unix time.
    #[must_use]
    pub const fn at(millis: u64) -> Self {
        Self(millis << COUNTER_BITS)
    }

    /// Next timestamp; a counter overflow carries into the milliseconds.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Unix time in milliseconds.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

impl fmt::Display for HlcTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counter = self.0 & ((1 << COUNTER_BITS) - 1);
        write!(f, "{}.{counter}", self.millis())
    }
}
