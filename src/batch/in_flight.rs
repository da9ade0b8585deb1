//! Count of the orders that wait for an answer.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time after which an order without an answer is overdue, in milliseconds.
pub const OVERDUE_MS: u64 = 250;

/// Number of overdue orders that count as one.
const OVERDUE_DIVISOR: usize = 4;

/// Counts orders that wait for an answer. Overdue ones count for less, so that executors that don't
/// answer don't block orders to others.
#[derive(Debug, Default)]
pub struct InFlight {
    // Times at which orders were sent that are not overdue, oldest first.
    sent: VecDeque<Instant>,
    overdue: usize,
}

impl InFlight {
    /// Notes that an order was sent at `now`.
    pub fn push(&mut self, now: Instant) {
        self.sent.push_back(now);
    }

    /// Notes that the order sent at `sent` was answered or given up.
    pub fn complete(&mut self, sent: Instant) {
        let at = self.sent.binary_search(&sent);
        match at {
            Ok(at) => {
                self.sent.remove(at);
            }
            Err(_) => self.overdue = self.overdue.saturating_sub(1),
        }
    }

    /// Counts as overdue the orders that have waited too long; returns whether there were any.
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

    /// Returns the number of orders, with several overdue ones counted as one.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sent.len() + self.overdue / OVERDUE_DIVISOR
    }
}
