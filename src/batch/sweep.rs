//! Selects jobs behind the front of a service.

use std::collections::VecDeque;

use crate::batch::candidate::Candidate;
use crate::batch::front::Front;
use crate::batch::merge::Merge;
use crate::batch::open_teams::OpenTeams;
use crate::batch::round::Round;
use crate::name::TeamName;

/// Goes through the jobs of a service that are left in a round, except those that were taken at the
/// front. Placements share the round, so that all jobs are examined in the end, however many there
/// are.
pub struct Sweep<'a> {
    // The jobs that are left, one item for each range of the round.
    parts: VecDeque<Merge<'a, Candidate>>,
    // The job that is being examined.
    current: Option<Candidate>,
    round: Round,
}

impl<'a> Sweep<'a> {
    /// Returns a sweep that goes on with `round`.
    #[must_use]
    pub fn new(teams: &OpenTeams<'a>, round: Round) -> Self {
        let ranges = round.ranges().into_iter();
        Self {
            parts: ranges.map(|range| teams.by_work(range)).collect(),
            current: None,
            round,
        }
    }

    /// Goes on to the next job that was not taken at `front`; `None` if none is left in the round.
    pub fn advance(&mut self, front: &Front<'_>) -> Option<Candidate> {
        self.current = None;
        while let Some(part) = self.parts.front_mut() {
            self.current = part.find(|job| !front.has_taken(&job.id));
            if self.current.is_some() {
                break;
            }
            self.parts.pop_front();
        }
        self.current
    }

    /// Notes that the job that [`Self::advance`] returned, if it did, has been examined.
    pub fn pass(&mut self) {
        if let Some(job) = self.current.take() {
            self.round.pass(job);
        }
    }

    /// Leaves out the remaining jobs of a team.
    pub fn close(&mut self, team: &TeamName) {
        for part in &mut self.parts {
            part.close(team);
        }
    }

    /// Returns the round with which the next placement goes on.
    #[must_use]
    pub const fn round(&self) -> Round {
        self.round
    }
}
