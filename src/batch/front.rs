//! Selects jobs at the front of a service.

use std::collections::BTreeSet;
use std::iter::Peekable;

use crate::batch::JobId;
use crate::batch::candidate::Candidate;
use crate::batch::drawn::Drawn;
use crate::batch::rank::Rank;
use crate::batch::service_backlog::ServiceBacklog;

/// Iterates over the jobs of a service by rank. Among jobs of the same rank, one with the least
/// remaining work and one drawn by lot come in turn. The former alone would never serve large jobs
/// while more work arrives than the hosts can do. By lot, each job has the same chance, so each size
/// starts at least half as often as all.
pub struct Front<'a> {
    by_work: Peekable<Box<dyn Iterator<Item = &'a Candidate> + 'a>>,
    by_draw: Peekable<Box<dyn Iterator<Item = &'a Drawn> + 'a>>,
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
    pub fn new(backlog: &'a ServiceBacklog, drawn_first: bool) -> Self {
        let by_work: Box<dyn Iterator<Item = &Candidate>> = Box::new(backlog.by_work());
        let by_draw: Box<dyn Iterator<Item = &Drawn>> = Box::new(backlog.by_draw());
        Self {
            by_work: by_work.peekable(),
            by_draw: by_draw.peekable(),
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

    fn skip_taken(&mut self) {
        let taken = &self.taken;
        while self
            .by_work
            .next_if(|job| taken.contains(&job.id))
            .is_some()
        {}
        while self
            .by_draw
            .next_if(|job| taken.contains(&job.id))
            .is_some()
        {}
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
