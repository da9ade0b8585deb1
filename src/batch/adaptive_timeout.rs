//! How long to wait for an answer of the store.

use std::time::Duration;

/// Shortest wait, in milliseconds.
const LEAST_MS: u64 = 600;
/// Longest wait, in milliseconds.
const MOST_MS: u64 = 2_500;
/// Times the usual answer after which an answer counts as lost.
const FACTOR: u64 = 4;

/// Learns how long answers take, so that a lost one is noticed soon and a slow one is awaited.
#[derive(Debug, Default)]
pub struct AdaptiveTimeout {
    usual: u64,
    missed: u32,
}

impl AdaptiveTimeout {
    /// How long to wait for the next answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let wait = (self.usual * FACTOR).max(LEAST_MS) << self.missed;
        Duration::from_millis(wait.min(MOST_MS))
    }

    /// An answer came after that time.
    pub fn record_answer(&mut self, took: Duration) {
        let took = u64::try_from(took.as_millis()).unwrap_or(MOST_MS);
        // Rises at once and falls slowly, as the store turns slow from one call to the next.
        self.usual = took.max((self.usual * 7 + took) / 8);
        self.missed = 0;
    }

    /// No answer came.
    pub const fn record_timeout(&mut self) {
        if self.missed < 2 {
            self.missed += 1;
        }
    }
}
