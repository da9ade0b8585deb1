//! A reading of an executor's clock, and what a later one tells.

use std::time::Duration;
use std::time::Instant;

/// Rate of the slowest clock that an executor may have, in percent of this process's. None is
/// faster than this process's.
pub const MIN_CLOCK_PERCENT: u64 = 98;

/// Whether two readings are of one clock, which begins anew when its process starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// The process is the one that gave the first reading.
    Same,
    /// Its clock is behind: it has restarted since the first reading.
    Restarted,
    /// Both are possible.
    Unknown,
}

/// A reading of an executor's clock.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// What it showed, in milliseconds.
    pub clock: u64,
    /// When the order was sent whose answer stated it.
    pub sent: Instant,
    /// When that answer was received.
    pub received: Instant,
}

impl ClockReading {
    /// Returns a time that the clock has reached by `now`, in milliseconds, whatever its rate.
    #[must_use]
    pub fn reached(&self, now: Instant) -> u64 {
        let passed = millis(now.saturating_duration_since(self.received));
        self.clock
            .saturating_add(passed.saturating_mul(MIN_CLOCK_PERCENT) / 100)
    }

    /// Compares it with a later reading. A process that started after this one can't show more than
    /// the time that has passed since.
    #[must_use]
    pub fn continuity(&self, later: &Self) -> Continuity {
        if later.clock < self.reached(later.sent) {
            return Continuity::Restarted;
        }
        let passed = later.received.saturating_duration_since(self.sent);
        if later.clock > millis(passed) {
            return Continuity::Same;
        }
        Continuity::Unknown
    }

    /// Whether its answer took longer than `limit` to arrive.
    #[must_use]
    pub fn is_late(&self, limit: Duration) -> bool {
        self.received >= self.sent + limit
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
