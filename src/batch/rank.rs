//! The order in which jobs are served.

use crate::batch::JobProgress;
use crate::batch::Queue;

/// Objective of a job whose queue no longer exists: this many times its longest chain of steps,
/// plus `DEFAULT_LATENCY_MS`.
const DEFAULT_STRETCH: f64 = 2.0;
const DEFAULT_LATENCY_MS: u64 = 1_000;
/// A job that misses its objective is served after those that can meet theirs, and last once it
/// takes this many times the objective: by then it is too late to be of use to its client.
const LATE_FACTOR: u64 = 3;

/// Lateness of a job that is too late to be of use.
const TOO_LATE: u8 = 2;

/// Position of a job among those of its service; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    over_share: bool,
    priority: u32,
    lateness: u8,
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
        let stretch = queue.map_or(DEFAULT_STRETCH, |queue| queue.stretch);
        let latency = queue.map_or(DEFAULT_LATENCY_MS, |queue| queue.latency);
        let objective = scaled(job.critical_path(), stretch) + latency;
        let remaining = job_progress.remaining();
        let expected = unix.saturating_sub(job.accepted) + remaining.critical_path;
        let lateness = match expected {
            _ if job.is_long_running() || job.schedule.is_some() => 0,
            time if time <= objective => 0,
            time if time <= objective * LATE_FACTOR => 1,
            _ => TOO_LATE,
        };
        Self {
            over_share: job_progress.over_share == Some(true),
            priority: queue.map_or(0, |queue| queue.priority),
            lateness,
            remaining: remaining.work,
            accepted: job.accepted,
        }
    }

    /// Whether the job is expected to end too late to be of use to its client.
    #[must_use]
    pub const fn is_too_late(&self) -> bool {
        self.lateness == TOO_LATE
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn scaled(time: u64, factor: f64) -> u64 {
    (time as f64 * factor.max(0.0)) as u64
}
