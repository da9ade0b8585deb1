//! Progress through the jobs of a service behind its front.

use crate::batch::candidate::Candidate;

/// How far placements have come with the jobs behind the front of a service's backlog. Each
/// placement goes on where the last one stopped, so that all jobs are examined in the end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sweep {
    /// The last job that was examined; `None` if the next is the first of all.
    pub cursor: Option<Candidate>,
    /// Number of jobs that are left to examine.
    pub left: usize,
}
