//! The waiting requests of one service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Instant;

use crate::name::TeamName;
use crate::net::LinkId;
use crate::queue::Waiting;
use crate::queue::lane::Lane;
use crate::wire::AttemptId;

/// Waiting requests in one lane a team.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<TeamName, Lane>,
    waiting: HashMap<AttemptId, Waiting>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let lane = self.lanes.entry(waiting.team.clone()).or_default();
        lane.push(waiting.attempt, waiting.urgent);
        self.waiting.insert(waiting.attempt, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<Waiting> {
        self.waiting.remove(attempt)
    }

    /// Takes out every request for which `gone` holds.
    pub fn remove_where(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let attempts: Vec<AttemptId> = self
            .waiting
            .values()
            .filter(|waiting| gone(waiting))
            .map(|waiting| waiting.attempt)
            .collect();
        attempts
            .iter()
            .filter_map(|attempt| self.waiting.remove(attempt))
            .collect()
    }

    /// Takes out every request whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Waiting> {
        self.remove_where(|waiting| waiting.deadline <= now)
    }

    /// Takes out every request of a link.
    pub fn remove_link(&mut self, link: LinkId) -> Vec<Waiting> {
        self.remove_where(|waiting| waiting.link == link)
    }

    /// The request that should start next. `usage` gives a team's running slots divided by its
    /// weight, or none if the team may not start any; the least usage goes first, urgent requests
    /// before all others.
    pub fn next(&mut self, usage: impl Fn(&TeamName) -> Option<f64>) -> Option<&Waiting> {
        let attempt = self
            .first(true, &usage)
            .or_else(|| self.first(false, &usage))?;
        self.waiting.get(&attempt)
    }

    /// Whether a request waits.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.waiting.contains_key(attempt)
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn first(
        &mut self,
        urgent: bool,
        usage: &impl Fn(&TeamName) -> Option<f64>,
    ) -> Option<AttemptId> {
        let waiting = &self.waiting;
        self.lanes
            .iter_mut()
            .filter_map(|(team, lane)| {
                let attempt = lane.front(urgent, |attempt| !waiting.contains_key(attempt))?;
                Some((usage(team)?, attempt))
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, attempt)| attempt)
    }
}
