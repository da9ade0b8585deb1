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

    /// The request that has waited longest.
    #[must_use]
    pub fn front(&self, urgent: bool) -> Option<AttemptId> {
        self.part(urgent).values().next().copied()
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

    const fn part(&self, urgent: bool) -> &BTreeMap<Place, AttemptId> {
        if urgent { &self.urgent } else { &self.regular }
    }

    const fn part_mut(&mut self, urgent: bool) -> &mut BTreeMap<Place, AttemptId> {
        if urgent {
            &mut self.urgent
        } else {
            &mut self.regular
        }
    }
}
