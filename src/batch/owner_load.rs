//! Measures how loaded an owner is.

use std::time::Duration;
use std::time::Instant;

use crate::batch::Effort;
use crate::batch::LoadSummary;
use crate::batch::OwnerTask;

/// Time that a summary covers.
const INTERVAL: Duration = Duration::from_secs(1);

/// Sums up an owner's load. Reads no clock.
#[derive(Debug, Clone)]
pub struct OwnerLoad {
    began: Instant,
    // Effort at `began`.
    effort: Effort,
    lag: Duration,
    messages: u64,
    most_messages: u64,
    spent: [Duration; OwnerTask::ALL.len()],
}

impl OwnerLoad {
    /// Creates the load of an owner whose first interval begins at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            effort: Effort::default(),
            lag: Duration::ZERO,
            messages: 0,
            most_messages: 0,
            spent: [Duration::ZERO; OwnerTask::ALL.len()],
        }
    }

    /// Notes a round in which `messages` messages were handled, of which one waited for as long as
    /// `lag` since it was sent and none for longer.
    pub fn note_round(&mut self, messages: u64, lag: Duration) {
        self.messages += messages;
        self.most_messages = self.most_messages.max(messages);
        self.lag = self.lag.max(lag);
    }

    /// Notes time spent on a task.
    pub fn note_spent(&mut self, task: OwnerTask, spent: Duration) {
        self.spent[task.index()] += spent;
    }

    /// Returns the summary of an interval that has ended by `now`, and begins the next. `effort` is
    /// that since the beginning of the term.
    pub fn summarize(&mut self, now: Instant, effort: Effort) -> Option<LoadSummary> {
        let span = now.saturating_duration_since(self.began);
        if span < INTERVAL {
            return None;
        }
        let summary = LoadSummary {
            span,
            lag: self.lag,
            messages: self.messages,
            most_messages: self.most_messages,
            spent: self.spent,
            effort: effort.since(&self.effort),
        };
        *self = Self {
            effort,
            ..Self::new(now)
        };
        Some(summary)
    }
}
