//! A simulated backend server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use mimosastep::gate::CancelResult;
use mimosastep::wire::AttemptId;

/// A running task.
#[derive(Debug)]
pub struct Task {
    /// Index of the gate that sent it.
    pub gate: usize,
    /// When its lease expires.
    pub lease_end: Instant,
    /// Whether it answers with an error.
    pub fails: bool,
}

/// A simulated backend server.
///
/// It keeps the contract with gates: an attempt starts at most once, and never after it was
/// refused.
#[derive(Debug, Default)]
pub struct Backend {
    /// Tasks that can run at the same time.
    pub slots: usize,
    /// Answers every task with an error immediately.
    pub fail_all: bool,
    /// Tasks that start do not complete.
    pub hang: bool,
    /// Accepts no connections.
    pub down: bool,
    /// Does not remember refused attempts, which violates the contract.
    pub forgets_refusals: bool,
    /// Running tasks.
    pub running: BTreeMap<AttemptId, Task>,
    seen: BTreeSet<AttemptId>,
    refused: BTreeSet<AttemptId>,
}

impl Backend {
    /// Returns a backend server without faults, except for `forgets_refusals`.
    pub fn new(slots: usize, forgets_refusals: bool) -> Self {
        Self {
            slots,
            forgets_refusals,
            ..Self::default()
        }
    }

    /// Starts an attempt and returns true, or refuses it.
    pub fn start(&mut self, attempt: AttemptId, task: Task) -> bool {
        let refused = self.seen.contains(&attempt) && !self.forgets_refusals;
        if refused || self.running.len() >= self.slots {
            return false;
        }
        self.seen.insert(attempt);
        self.running.insert(attempt, task);
        true
    }

    /// Stops an attempt if it runs; otherwise marks it so that it is refused when it arrives.
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
