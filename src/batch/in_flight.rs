//! Orders that are on their way.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time after which an order without an answer no longer counts, in milliseconds.
pub const OVERDUE_MS: u64 = 250;

/// Number of overdue orders that count as one on its way.
const OVERDUE_DIVISOR: usize = 4;

/// Counts orders that are on their way. Those to executors that don't answer count little after a
/// while, so that they don't hold up the others.
#[derive(Debug, Default)]
pub struct InFlight {
    // When those were sent that are not overdue, in order.
    sent: VecDeque<Instant>,
    overdue: usize,
}

impl InFlight {
    /// An order was sent.
    pub fn push(&mut self, now: Instant) {
        self.sent.push_back(now);
    }

    /// An order that was sent at that time was answered, or given up.
    pub fn complete(&mut self, sent: Instant) {
        let at = self.sent.binary_search(&sent);
        match at {
            Ok(at) => {
                self.sent.remove(at);
            }
            Err(_) => self.overdue = self.overdue.saturating_sub(1),
        }
    }

    /// Looks for what has become overdue; returns whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.sent.len();
        let limit = Duration::from_millis(OVERDUE_MS);
        while self.sent.front().is_some_and(|&sent| sent + limit <= now) {
            self.sent.pop_front();
        }
        let found = before - self.sent.len();
        self.overdue += found;
        found > 0
    }

    /// Number of the orders that count.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sent.len() + self.overdue / OVERDUE_DIVISOR
    }

    /// Whether none counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
