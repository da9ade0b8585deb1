//! Progress of a round through the jobs of a service.

use std::ops::Bound;

use crate::batch::candidate::Candidate;

/// The part of a round that is left. A round goes through all jobs of a service: from the one after
/// which it began to the last, and on from the first until it is back. It takes several placements,
/// each of which goes on where the last one stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Round {
    // The last job that was examined; `None` if the next is the first of all.
    cursor: Option<Candidate>,
    // The job with which the round ends; `None` if that is the last of all.
    end: Option<Candidate>,
    // Whether only jobs up to `end` are left.
    wrapped: bool,
}

impl Default for Round {
    fn default() -> Self {
        Self {
            cursor: None,
            end: None,
            wrapped: true,
        }
    }
}

impl Round {
    /// Returns a round through all jobs that goes on where this one has come to.
    #[must_use]
    pub const fn restarted(&self) -> Self {
        Self {
            cursor: self.cursor,
            end: self.cursor,
            wrapped: self.cursor.is_none(),
        }
    }

    /// Notes that `candidate`, the next job of the round, has been examined.
    pub fn pass(&mut self, candidate: Candidate) {
        self.cursor = Some(candidate);
        self.wrapped |= self.end.is_some_and(|end| candidate <= end);
    }

    /// Returns the ranges of the jobs that are left, in their order.
    #[must_use]
    pub fn ranges(&self) -> Vec<(Bound<Candidate>, Bound<Candidate>)> {
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let to = self.end.map_or(Bound::Unbounded, Bound::Included);
        if self.wrapped {
            vec![(from, to)]
        } else {
            vec![(from, Bound::Unbounded), (Bound::Unbounded, to)]
        }
    }
}
