//! Queued requests of one team.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::wire::AttemptId;

/// Position of a request in its queue: when it was first sent, then the order of arrival.
pub type Position = (Instant, u64);

/// First-in, first-out queues of a team: one for urgent requests, one for all others.
#[derive(Debug, Default)]
pub struct TeamQueue {
    urgent: BTreeMap<Position, AttemptId>,
    regular: BTreeMap<Position, AttemptId>,
}

impl TeamQueue {
    /// Adds a request at a position.
    pub fn insert(&mut self, urgent: bool, position: Position, attempt: AttemptId) {
        self.class_mut(urgent).insert(position, attempt);
    }

    /// Removes the request at a position, if there is one.
    pub fn remove(&mut self, urgent: bool, position: &Position) {
        self.class_mut(urgent).remove(position);
    }

    /// The oldest urgent request.
    #[must_use]
    pub fn front_urgent(&self) -> Option<AttemptId> {
        self.urgent.values().next().copied()
    }

    /// The team's next request: the oldest urgent one, or else the oldest.
    #[must_use]
    pub fn front(&self) -> Option<AttemptId> {
        let regular = || self.regular.values().next().copied();
        self.front_urgent().or_else(regular)
    }

    /// Number of urgent requests.
    #[must_use]
    pub fn urgent_len(&self) -> usize {
        self.urgent.len()
    }

    /// Number of requests, urgent ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.regular.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    const fn class_mut(&mut self, urgent: bool) -> &mut BTreeMap<Position, AttemptId> {
        if urgent {
            &mut self.urgent
        } else {
            &mut self.regular
        }
    }
}
