//! Position of a job among those of all services.

use crate::batch::JobId;
use crate::batch::rank::Rank;

/// Position of a job among those of all services; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Its precedence over other jobs.
    pub rank: Rank,
    /// Number of jobs of the same rank and service that come before it.
    pub place: usize,
    /// The job.
    pub id: JobId,
}
