//! Queued requests of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use crate::name::TeamName;
use crate::net::LinkId;
use crate::queue::QueuedRequest;
use crate::queue::team_queue::Position;
use crate::queue::team_queue::TeamQueue;
use crate::wire::AttemptId;

#[derive(Debug)]
struct Entry {
    position: Position,
    request: QueuedRequest,
}

/// Queued requests, by team. Insertion and removal take time logarithmic in their number.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    entries: HashMap<AttemptId, Entry>,
    deadlines: BTreeSet<(Instant, AttemptId)>,
    links: BTreeSet<(LinkId, AttemptId)>,
    /// Number of requests pushed so far; orders those first sent at the same time.
    sequence: u64,
}

impl ServiceQueue {
    /// Adds a request; one that is already queued keeps its position.
    pub fn push(&mut self, request: QueuedRequest) {
        if self.entries.contains_key(&request.attempt) {
            return;
        }
        self.sequence += 1;
        let position = (request.since, self.sequence);
        let team_queue = self.teams.entry(request.team.clone()).or_default();
        team_queue.insert(request.urgent, position, request.attempt);
        self.deadlines.insert((request.deadline, request.attempt));
        self.links.insert((request.link, request.attempt));
        self.entries
            .insert(request.attempt, Entry { position, request });
    }

    /// Removes a request.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<QueuedRequest> {
        let Entry { position, request } = self.entries.remove(attempt)?;
        if let Some(team_queue) = self.teams.get_mut(&request.team) {
            team_queue.remove(request.urgent, &position);
            if team_queue.is_empty() {
                self.teams.remove(&request.team);
            }
        }
        self.deadlines.remove(&(request.deadline, *attempt));
        self.links.remove(&(request.link, *attempt));
        Some(request)
    }

    /// Removes all requests.
    pub fn remove_all(&mut self) -> Vec<QueuedRequest> {
        let all = std::mem::take(self).entries.into_values();
        all.map(|entry| entry.request).collect()
    }

    /// Removes the requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let deadlines = self.deadlines.iter();
        let expired: Vec<AttemptId> = deadlines
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, attempt)| *attempt)
            .collect();
        self.remove_each(&expired)
    }

    /// Removes the requests of a link.
    pub fn remove_link(&mut self, link: LinkId) -> Vec<QueuedRequest> {
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
    /// weight, or none if the team may not start a request of that urgency; the team with the
    /// lowest rank goes first. Urgent requests go ahead of all others; those that `rank` doesn't
    /// allow to are ranked among the others.
    pub fn next(&self, rank: impl Fn(&TeamName, bool) -> Option<f64>) -> Option<&QueuedRequest> {
        let attempt = self
            .first(true, &rank)
            .or_else(|| self.first(false, &rank))?;
        self.entries.get(&attempt).map(|entry| &entry.request)
    }

    /// Teams with queued requests, with their number.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, usize)> {
        self.teams
            .iter()
            .map(|(team, team_queue)| (team, team_queue.len()))
    }

    /// Number of queued requests of a team.
    #[must_use]
    pub fn len_of(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Number of queued urgent requests.
    #[must_use]
    pub fn urgent_len(&self) -> usize {
        self.teams.values().map(TeamQueue::urgent_len).sum()
    }

    /// Whether an attempt is queued.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.contains_key(attempt)
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn first(
        &self,
        urgent: bool,
        rank: &impl Fn(&TeamName, bool) -> Option<f64>,
    ) -> Option<AttemptId> {
        self.teams
            .iter()
            .filter_map(|(team, team_queue)| {
                let attempt = if urgent {
                    team_queue.front_urgent()?
                } else {
                    team_queue.front()?
                };
                Some((rank(team, urgent)?, attempt))
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, attempt)| attempt)
    }

    fn remove_each(&mut self, attempts: &[AttemptId]) -> Vec<QueuedRequest> {
        attempts
            .iter()
            .filter_map(|attempt| self.remove(attempt))
            .collect()
    }
}
