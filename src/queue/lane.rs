//! The waiting requests of one team.

use std::collections::VecDeque;

use crate::wire::AttemptId;

/// First in, first out within a team, urgent requests apart. Entries that have left the queue
/// stay until they reach the front.
#[derive(Debug, Default)]
pub struct Lane {
    urgent: VecDeque<AttemptId>,
    regular: VecDeque<AttemptId>,
}

impl Lane {
    /// Adds a request at the end.
    pub fn push(&mut self, attempt: AttemptId, urgent: bool) {
        self.part(urgent).push_back(attempt);
    }

    /// Drops entries for which `gone` holds from the front and returns the first that is left.
    pub fn front(&mut self, urgent: bool, gone: impl Fn(&AttemptId) -> bool) -> Option<AttemptId> {
        let part = self.part(urgent);
        while part.front().is_some_and(&gone) {
            part.pop_front();
        }
        part.front().copied()
    }

    fn part(&mut self, urgent: bool) -> &mut VecDeque<AttemptId> {
        if urgent {
            &mut self.urgent
        } else {
            &mut self.regular
        }
    }
}
