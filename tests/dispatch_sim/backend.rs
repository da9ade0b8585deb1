//! A backend server in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use mimosastep::gate::CancelResult;
use mimosastep::wire::AttemptId;

/// A task that runs.
#[derive(Debug)]
pub struct Task {
    /// Gate that sent it.
    pub gate: usize,
    /// When its lease lapses.
    pub lease: Instant,
    /// Whether it fails at its end.
    pub fails: bool,
}

/// Keeps the contract with gates: an attempt starts once at most, and never after a refusal.
#[derive(Debug, Default)]
pub struct Backend {
    /// Slots.
    pub slots: usize,
    /// Fails everything at once.
    pub fail_all: bool,
    /// Starts tasks that never end.
    pub hang: bool,
    /// Takes no connection.
    pub down: bool,
    /// Forgets which attempts it promised to refuse; breaks the contract.
    pub forgetful: bool,
    /// What runs.
    pub running: BTreeMap<AttemptId, Task>,
    seen: BTreeSet<AttemptId>,
    refused: BTreeSet<AttemptId>,
}

impl Backend {
    /// A backend server in order, unless it is forgetful.
    pub fn open(slots: usize, forgetful: bool) -> Self {
        Self {
            slots,
            forgetful,
            ..Self::default()
        }
    }

    /// Starts an attempt, or refuses it.
    pub fn start(&mut self, attempt: AttemptId, task: Task) -> bool {
        let refused = self.seen.contains(&attempt) && !self.forgetful;
        if refused || self.running.len() >= self.slots {
            return false;
        }
        self.seen.insert(attempt);
        self.running.insert(attempt, task);
        true
    }

    /// Ends an attempt, or promises to refuse it.
    pub fn cancel(&mut self, attempt: AttemptId) -> CancelResult {
        if self.running.remove(&attempt).is_some() {
            return CancelResult::Stopped;
        }
        if self.seen.insert(attempt) {
            self.refused.insert(attempt);
        }
        match self.refused.contains(&attempt) {
            true => CancelResult::Refused,
            false => CancelResult::Stopped,
        }
    }
}
