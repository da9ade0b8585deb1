//! The order in which the jobs of a service are served.

use std::collections::BTreeSet;

use crate::batch::JobId;
use crate::batch::candidate::Candidate;
use crate::batch::rank::Rank;
use crate::name::ServiceName;

/// Position of a job among those of all services; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    rank: Rank,
    place: usize,
    /// The job.
    pub id: JobId,
}

/// Services whose next job to start is drawn by lot.
#[derive(Debug, Default)]
pub struct Turns(BTreeSet<ServiceName>);

impl Turns {
    /// Notes that a job of a service has started.
    pub fn advance(&mut self, service: &ServiceName) {
        if !self.0.remove(service) {
            self.0.insert(service.clone());
        }
    }

    /// Returns the positions of the jobs of a service. Among jobs of the same rank, one with the
    /// least remaining work and one drawn by lot come in turn. The former alone would never serve
    /// large jobs while more work arrives than the hosts can do. By lot, each job has the same
    /// chance, so each size starts at least half as often as all.
    #[must_use]
    pub fn positions(&self, service: &ServiceName, mut jobs: Vec<Candidate>) -> Vec<Position> {
        jobs.sort_unstable();
        let drawn_first = self.0.contains(service);
        let ranks = jobs.chunk_by(|one, next| one.rank == next.rank);
        ranks
            .flat_map(|jobs| alternate(jobs, drawn_first))
            .collect()
    }
}

/// Returns the positions of jobs of one rank that are sorted by their remaining work.
fn alternate(jobs: &[Candidate], drawn_first: bool) -> Vec<Position> {
    let mut drawn: Vec<usize> = (0..jobs.len()).collect();
    drawn.sort_by_cached_key(|&at| jobs[at].id.draw());
    let mut least = 0..jobs.len();
    let mut drawn = drawn.into_iter();
    let mut taken = vec![false; jobs.len()];
    let mut by_lot = drawn_first;
    let mut positions = Vec::with_capacity(jobs.len());
    while positions.len() < jobs.len() {
        let free = |at: &usize| !taken[*at];
        let next = if by_lot {
            drawn.find(free)
        } else {
            least.find(free)
        };
        by_lot = !by_lot;
        let Some(at) = next else {
            continue;
        };
        taken[at] = true;
        positions.push(Position {
            rank: jobs[at].rank,
            place: positions.len(),
            id: jobs[at].id,
        });
    }
    positions
}
