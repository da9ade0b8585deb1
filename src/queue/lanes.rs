//! The waiting requests of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use crate::name::TeamName;
use crate::net::LinkId;
use crate::queue::Waiting;
use crate::queue::lane::Lane;
use crate::queue::lane::Place;
use crate::wire::AttemptId;

#[derive(Debug)]
struct Entry {
    place: Place,
    waiting: Waiting,
}

/// Waiting requests in one lane a team; every operation costs the logarithm of their number.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<TeamName, Lane>,
    entries: HashMap<AttemptId, Entry>,
    deadlines: BTreeSet<(Instant, AttemptId)>,
    links: BTreeSet<(LinkId, AttemptId)>,
    pushed: u64,
}

impl Queue {
    /// Adds a request; one that waits already keeps its place.
    pub fn push(&mut self, waiting: Waiting) {
        if self.entries.contains_key(&waiting.attempt) {
            return;
        }
        self.pushed += 1;
        let place = (waiting.since, self.pushed);
        let lane = self.lanes.entry(waiting.team.clone()).or_default();
        lane.insert(waiting.urgent, place, waiting.attempt);
        self.deadlines.insert((waiting.deadline, waiting.attempt));
        self.links.insert((waiting.link, waiting.attempt));
        self.entries
            .insert(waiting.attempt, Entry { place, waiting });
    }

    /// Takes a request out.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<Waiting> {
        let Entry { place, waiting } = self.entries.remove(attempt)?;
        if let Some(lane) = self.lanes.get_mut(&waiting.team) {
            lane.remove(waiting.urgent, &place);
            if lane.is_empty() {
                self.lanes.remove(&waiting.team);
            }
        }
        self.deadlines.remove(&(waiting.deadline, *attempt));
        self.links.remove(&(waiting.link, *attempt));
        Some(waiting)
    }

    /// Takes out everything.
    pub fn remove_all(&mut self) -> Vec<Waiting> {
        let all = std::mem::take(self).entries.into_values();
        all.map(|entry| entry.waiting).collect()
    }

    /// Takes out every request whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Waiting> {
        let deadlines = self.deadlines.iter();
        let expired: Vec<AttemptId> = deadlines
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, attempt)| *attempt)
            .collect();
        self.remove_each(&expired)
    }

    /// Takes out every request of a link.
    pub fn remove_link(&mut self, link: LinkId) -> Vec<Waiting> {
        let first = AttemptId::MIN;
        let of_link: Vec<AttemptId> = self
            .links
            .range((link, first)..)
            .take_while(|(of, _)| *of == link)
            .map(|(_, attempt)| *attempt)
            .collect();
        self.remove_each(&of_link)
    }

    /// The request that should start next. `rank` gives a team's occupied slots divided by its
    /// weight, or none if the team may not start such a request; the least goes first, urgent
    /// requests before all others. An urgent request that may not go before others may still go
    /// among them.
    pub fn next(&self, rank: impl Fn(&TeamName, bool) -> Option<f64>) -> Option<&Waiting> {
        let attempt = self
            .first(true, &rank)
            .or_else(|| self.first(false, &rank))?;
        self.entries.get(&attempt).map(|entry| &entry.waiting)
    }

    /// Teams that have requests waiting, and how many.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, usize)> {
        self.lanes.iter().map(|(team, lane)| (team, lane.len()))
    }

    /// Requests of a team that wait.
    #[must_use]
    pub fn len_of(&self, team: &TeamName) -> usize {
        self.lanes.get(team).map_or(0, Lane::len)
    }

    /// Urgent requests that wait.
    #[must_use]
    pub fn urgent_len(&self) -> usize {
        self.lanes.values().map(Lane::urgent_len).sum()
    }

    /// Whether a request waits.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.contains_key(attempt)
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn first(
        &self,
        urgent: bool,
        rank: &impl Fn(&TeamName, bool) -> Option<f64>,
    ) -> Option<AttemptId> {
        self.lanes
            .iter()
            .filter_map(|(team, lane)| {
                let attempt = if urgent {
                    lane.front_urgent()?
                } else {
                    lane.front()?
                };
                Some((rank(team, urgent)?, attempt))
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, attempt)| attempt)
    }

    fn remove_each(&mut self, attempts: &[AttemptId]) -> Vec<Waiting> {
        attempts
            .iter()
            .filter_map(|attempt| self.remove(attempt))
            .collect()
    }
}
