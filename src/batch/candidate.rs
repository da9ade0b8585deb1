//! A job that competes for capacity.

use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::rank::Rank;

/// A job that has tasks to start, and what decides its position among those of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Its precedence over other jobs.
    pub rank: Rank,
    remaining: u64,
    accepted: u64,
    /// The job.
    pub id: JobId,
}

impl Candidate {
    /// Returns the candidate for a job of this rank.
    #[must_use]
    pub fn of(job_progress: &JobProgress, rank: Rank) -> Self {
        Self {
            rank,
            remaining: job_progress.remaining().work,
            accepted: job_progress.job.accepted,
            id: job_progress.job.id,
        }
    }
}
