//! The order in which jobs are served.

use crate::batch::JobProgress;
use crate::batch::Lateness;
use crate::batch::Objective;
use crate::batch::Queue;

/// Position of a job among those of its service; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    over_share: bool,
    priority: u32,
    lateness: Lateness,
    remaining: u64,
    accepted: u64,
}

impl Rank {
    /// Returns the rank of a job at `unix` (in milliseconds). Jobs within their team's share come
    /// first, then those of a queue with a lower priority number, then those that can still meet
    /// their objective, then those with the least work left, then the oldest.
    #[must_use]
    pub fn of(job_progress: &JobProgress, queue: Option<&Queue>, unix: u64) -> Self {
        let job = &job_progress.job;
        let remaining = job_progress.remaining();
        let objective = Objective::of(job, queue);
        let end = unix
            .max(job.accepted)
            .saturating_add(remaining.critical_path);
        Self {
            over_share: job_progress.over_share == Some(true),
            priority: queue.map_or(0, |queue| queue.priority),
            lateness: objective.lateness(end),
            remaining: remaining.work,
            accepted: job.accepted,
        }
    }

    /// Whether the job is expected to end too late to be of use to its client.
    #[must_use]
    pub fn is_too_late(&self) -> bool {
        self.lateness == Lateness::TooLate
    }
}
