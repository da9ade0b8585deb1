//! Selects jobs at the front of a service.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::batch::JobId;
use crate::batch::candidate::Candidate;
use crate::batch::drawn::Drawn;
use crate::batch::merge::Merge;
use crate::batch::open_teams::OpenTeams;
use crate::batch::rank::Rank;
use crate::name::TeamName;

/// Iterates over the jobs of a service by rank. Among jobs of the same rank, one with the least
/// remaining work and one drawn by lot come in turn. The former alone would never serve large jobs
/// while more work arrives than the hosts can do. By lot, each job has the same chance, so each size
/// starts at least half as often as all.
pub struct Front<'a> {
    by_work: Merge<'a, Candidate>,
    by_draw: Merge<'a, Drawn>,
    taken: BTreeSet<JobId>,
    rank: Option<Rank>,
    // Whether the first job of each rank is drawn by lot.
    drawn_first: bool,
    // Whether the next job of the current rank is.
    by_lot: bool,
}

impl<'a> Front<'a> {
    /// Returns the front of a service's jobs; `drawn_first` if the next to start is drawn by lot.
    #[must_use]
    pub fn new(teams: &OpenTeams<'a>, drawn_first: bool) -> Self {
        Self {
            by_work: teams.by_work((Bound::Unbounded, Bound::Unbounded)),
            by_draw: teams.by_draw(),
            taken: BTreeSet::new(),
            rank: None,
            drawn_first,
            by_lot: drawn_first,
        }
    }

    /// Whether a job has been returned by [`Self::next`].
    #[must_use]
    pub fn has_taken(&self, id: &JobId) -> bool {
        self.taken.contains(id)
    }

    /// Leaves out the remaining jobs of a team.
    pub fn close(&mut self, team: &TeamName) {
        self.by_work.close(team);
        self.by_draw.close(team);
    }

    fn skip_taken(&mut self) {
        let taken = &self.taken;
        let is_taken = |id: &JobId| taken.contains(id);
        while self.by_work.peek().is_some_and(|job| is_taken(&job.id)) {
            self.by_work.next();
        }
        while self.by_draw.peek().is_some_and(|job| is_taken(&job.id)) {
            self.by_draw.next();
        }
    }
}

impl Iterator for Front<'_> {
    type Item = (Rank, JobId);

    fn next(&mut self) -> Option<Self::Item> {
        self.skip_taken();
        // Both hold the same jobs, so both are at the lowest rank that is left.
        let least = self.by_work.peek()?;
        let drawn = self.by_draw.peek()?;
        let rank = least.rank;
        if self.rank != Some(rank) {
            self.rank = Some(rank);
            self.by_lot = self.drawn_first;
        }
        let id = if self.by_lot { drawn.id } else { least.id };
        self.by_lot = !self.by_lot;
        self.taken.insert(id);
        Some((rank, id))
    }
}
