//! A job's place if the next one is drawn by lot.

use crate::batch::JobId;
use crate::batch::candidate::Candidate;
use crate::batch::rank::Rank;

/// A candidate's place among those of its rank if the next one is drawn by lot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Drawn {
    /// Its precedence over other jobs.
    pub rank: Rank,
    draw: u64,
    /// The job.
    pub id: JobId,
}

impl From<&Candidate> for Drawn {
    fn from(candidate: &Candidate) -> Self {
        Self {
            rank: candidate.rank,
            draw: candidate.id.draw(),
            id: candidate.id,
        }
    }
}
