//! The time that a host gets no work.

use std::time::Duration;
use std::time::Instant;

/// First time without work, in milliseconds.
const FIRST_MS: u64 = 1_000;
/// Longest time without work, in milliseconds.
const LIMIT_MS: u64 = 60_000;

/// An ejection; each failed trial doubles the time to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// When the host may be tried with one request.
    pub trial: Instant,
    trials: u32,
}

impl Ejection {
    /// Begins an ejection.
    #[must_use]
    pub fn begin(now: Instant) -> Self {
        Self {
            trial: now + delay(0),
            trials: 0,
        }
    }

    /// Puts the next trial off after a failed one.
    pub fn put_off(&mut self, now: Instant) {
        self.trials += 1;
        self.trial = now + delay(self.trials);
    }
}

fn delay(trials: u32) -> Duration {
    let millis = FIRST_MS.saturating_mul(2u64.saturating_pow(trials));
    Duration::from_millis(millis.min(LIMIT_MS))
}
