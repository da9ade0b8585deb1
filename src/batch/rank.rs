//! Precedence of jobs.

use crate::batch::JobProgress;
use crate::batch::Lateness;
use crate::batch::Objective;
use crate::batch::Queue;

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
    pub fn of(
        job_progress: &JobProgress,
        queue: Option<&Queue>,
        objective: &Objective,
        unix: u64,
    ) -> Self {
        Self {
            over_share: job_progress.over_share == Some(true),
            priority: queue.map_or(0, |queue| queue.priority),
            lateness: objective.lateness(earliest_end(job_progress, unix)),
            stage: Stage::of(job_progress, objective),
        }
    }

    /// Returns when the rank of a job at `unix` changes by the time alone; both in Unix
    /// milliseconds. `None` if it doesn't.
    #[must_use]
    pub fn expiry(job_progress: &JobProgress, objective: &Objective, unix: u64) -> Option<u64> {
        let bound = objective.bound_after(earliest_end(job_progress, unix))?;
        let critical_path = job_progress.remaining().critical_path;
        let expiry = bound.saturating_sub(critical_path).saturating_add(1);
        // Not so where a time is beyond the largest number.
        (expiry > unix).then_some(expiry)
    }

    /// Whether the job is expected to end too late to be of use to its client.
    #[must_use]
    pub fn is_too_late(&self) -> bool {
        self.lateness == Lateness::TooLate
    }
}

/// Returns when a job ends if all its tasks start as early as they can; in Unix milliseconds.
fn earliest_end(job_progress: &JobProgress, unix: u64) -> u64 {
    let critical_path = job_progress.remaining().critical_path;
    let from = unix.max(job_progress.job.accepted);
    from.saturating_add(critical_path)
}
