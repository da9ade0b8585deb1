//! The waiting requests of one team.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::wire::AttemptId;

/// Place of a request in its lane: when it first asked, and the order of arrival.
pub type Place = (Instant, u64);

/// First in, first out within a team, urgent requests apart.
#[derive(Debug, Default)]
pub struct Lane {
    urgent: BTreeMap<Place, AttemptId>,
    regular: BTreeMap<Place, AttemptId>,
}

impl Lane {
    /// Adds a request.
    pub fn insert(&mut self, urgent: bool, place: Place, attempt: AttemptId) {
        self.part_mut(urgent).insert(place, attempt);
    }

    /// Takes a request out.
    pub fn remove(&mut self, urgent: bool, place: &Place) {
        self.part_mut(urgent).remove(place);
    }

    /// The urgent request that has waited longest.
    #[must_use]
    pub fn front_urgent(&self) -> Option<AttemptId> {
        self.urgent.values().next().copied()
    }

    /// The request of the team's own that goes first: an urgent one if there is any.
    #[must_use]
    pub fn front(&self) -> Option<AttemptId> {
        let regular = || self.regular.values().next().copied();
        self.front_urgent().or_else(regular)
    }

    /// Urgent requests that wait.
    #[must_use]
    pub fn urgent_len(&self) -> usize {
        self.urgent.len()
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.regular.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    const fn part_mut(&mut self, urgent: bool) -> &mut BTreeMap<Place, AttemptId> {
        if urgent {
            &mut self.urgent
        } else {
            &mut self.regular
        }
    }
}
