//! Selects jobs behind the front of a service.

use std::iter::Peekable;

use crate::batch::candidate::Candidate;
use crate::batch::front::Front;
use crate::batch::round::Round;
use crate::batch::service_backlog::ServiceBacklog;

/// Goes through the jobs of a service that are left in a round, except those that were taken at the
/// front. Placements share the round, so that all jobs are examined in the end, however many there
/// are.
pub struct Sweep<'a> {
    jobs: Peekable<Box<dyn Iterator<Item = &'a Candidate> + 'a>>,
    round: Round,
}

impl<'a> Sweep<'a> {
    /// Returns a sweep that goes on with `round`.
    #[must_use]
    pub fn new(backlog: &'a ServiceBacklog, round: Round) -> Self {
        let ranges = round.ranges().into_iter();
        let jobs = ranges.flat_map(|range| backlog.within(range));
        let jobs: Box<dyn Iterator<Item = &Candidate>> = Box::new(jobs);
        Self {
            jobs: jobs.peekable(),
            round,
        }
    }

    /// Returns the next job that was not taken at `front`; `None` if none is left in the round.
    pub fn next(&mut self, front: &Front<'_>) -> Option<Candidate> {
        while self.jobs.next_if(|job| front.has_taken(&job.id)).is_some() {}
        self.jobs.peek().copied().copied()
    }

    /// Notes that the job that [`Self::next`] returned has been examined.
    pub fn pass(&mut self) {
        if let Some(&job) = self.jobs.next() {
            self.round.pass(job);
        }
    }

    /// Returns the round with which the next placement goes on.
    #[must_use]
    pub const fn round(&self) -> Round {
        self.round
    }
}
