//! Adaptive timeout for answers of the log.

use std::time::Duration;

/// Minimum timeout, in milliseconds.
const MIN_MS: u64 = 600;
/// Maximum timeout, in milliseconds.
const MAX_MS: u64 = 2_500;
/// Multiple of the recent peak of the answer times after which an answer counts as lost.
const FACTOR: u64 = 4;

/// A timeout that follows the observed answer times, so that a lost answer is noticed soon and a
/// slow one is still awaited. Each of up to two successive timeouts doubles it.
#[derive(Debug, Default)]
pub struct AdaptiveTimeout {
    // Highest recent answer time; falls slowly.
    peak_ms: u64,
    timeouts: u32,
}

impl AdaptiveTimeout {
    /// Timeout for the next request; bounded below and above.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let wait = (self.peak_ms * FACTOR).max(MIN_MS) << self.timeouts;
        Duration::from_millis(wait.min(MAX_MS))
    }

    /// Records that an answer arrived after that time.
    pub fn record_answer(&mut self, elapsed: Duration) {
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(MAX_MS);
        // Rises at once and falls slowly, because the log can become slow between two requests.
        self.peak_ms = elapsed.max((self.peak_ms * 7 + elapsed) / 8);
        self.timeouts = 0;
    }

    /// Records that no answer arrived in time.
    pub const fn record_timeout(&mut self) {
        if self.timeouts < 2 {
            self.timeouts += 1;
        }
    }
}
