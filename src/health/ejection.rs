//! Ejection of a host, with exponential backoff between trials.

use std::time::Duration;
use std::time::Instant;

/// Delay until the first trial, in milliseconds.
const FIRST_DELAY_MS: u64 = 1_000;
/// Maximum delay until the next trial, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;

/// An ejection; each failed trial doubles the delay until the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// When the host may get one trial request.
    pub trial_at: Instant,
    failed_trials: u32,
}

impl Ejection {
    /// Starts an ejection.
    #[must_use]
    pub fn begin(now: Instant) -> Self {
        Self {
            trial_at: now + delay(0),
            failed_trials: 0,
        }
    }

    /// Schedules the next trial after a failed one.
    pub fn postpone(&mut self, now: Instant) {
        self.failed_trials += 1;
        self.trial_at = now + delay(self.failed_trials);
    }
}

fn delay(failed_trials: u32) -> Duration {
    let millis = FIRST_DELAY_MS.saturating_mul(2u64.saturating_pow(failed_trials));
    Duration::from_millis(millis.min(MAX_DELAY_MS))
}
