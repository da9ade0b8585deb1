//! Precedence of jobs, and the order in which the jobs of a service are served.

use std::collections::BTreeSet;

use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::Lateness;
use crate::batch::Objective;
use crate::batch::Queue;
use crate::name::ServiceName;

/// How far a job is. One that has begun comes before those that wait: a job that stops halfway
/// holds capacity and is late all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Its tasks are long-running: they have no end to wait for, and maintenance waits for them.
    LongRunning,
    /// It has begun, and is to end by its objective.
    Begun,
    /// It has not begun, or has no objective that would limit its precedence.
    Waiting,
}

impl Stage {
    fn of(job_progress: &JobProgress, objective: &Objective) -> Self {
        if job_progress.job.is_long_running() {
            return Self::LongRunning;
        }
        if job_progress.has_begun() && objective.deadline().is_some() {
            return Self::Begun;
        }
        Self::Waiting
    }
}

/// Precedence of a job; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    over_share: bool,
    priority: u32,
    lateness: Lateness,
    stage: Stage,
}

impl Rank {
    /// Returns the rank of a job at `unix` (in milliseconds). Jobs within their team's share come
    /// first, then those of a queue with a lower priority number, then those that can still meet
    /// their objective, then those that have begun.
    #[must_use]
    pub fn of(job_progress: &JobProgress, queue: Option<&Queue>, unix: u64) -> Self {
        let job = &job_progress.job;
        let objective = Objective::of(job, queue);
        let critical_path = job_progress.remaining().critical_path;
        let end = unix.max(job.accepted).saturating_add(critical_path);
        Self {
            over_share: job_progress.over_share == Some(true),
            priority: queue.map_or(0, |queue| queue.priority),
            lateness: objective.lateness(end),
            stage: Stage::of(job_progress, &objective),
        }
    }

    /// Whether the job is expected to end too late to be of use to its client.
    #[must_use]
    pub fn is_too_late(&self) -> bool {
        self.lateness == Lateness::TooLate
    }
}

/// A job that has tasks to start, and what decides its position among those of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    rank: Rank,
    remaining: u64,
    accepted: u64,
    id: JobId,
}

impl Candidate {
    /// Returns the candidate for a job of `queue` at `unix` (in milliseconds).
    #[must_use]
    pub fn of(job_progress: &JobProgress, queue: Option<&Queue>, unix: u64) -> Self {
        Self {
            rank: Rank::of(job_progress, queue, unix),
            remaining: job_progress.remaining().work,
            accepted: job_progress.job.accepted,
            id: job_progress.job.id,
        }
    }
}

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
    /// large jobs while more work arrives than the hosts can do; by lot, each job has the same
    /// chance, whatever its size.
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
