//! Which job's tasks come first.

use crate::batch::JobProgress;
use crate::batch::Queue;

/// Objective of a job whose queue is gone: times its chain, and milliseconds besides.
const DEFAULT_STRETCH: f64 = 2.0;
const DEFAULT_LATENCY_MS: u64 = 1_000;
/// A job is worth less after its objective and next to nothing after this many times it.
const LATE_FACTOR: u64 = 3;

/// Lateness of a job that is worth next to nothing.
const USELESS: u8 = 2;

/// Place of a job in its service's line; the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    over_share: bool,
    priority: u32,
    lateness: u8,
    remaining: u64,
    accepted: u64,
}

impl Rank {
    /// Place of a job at `unix` (in milliseconds): those within their team's share, then by the
    /// priority of its queue, then jobs that can still meet their objective, then those with the
    /// least work left.
    #[must_use]
    pub fn of(entry: &JobProgress, queue: Option<&Queue>, unix: u64) -> Self {
        let job = &entry.job;
        let stretch = queue.map_or(DEFAULT_STRETCH, |queue| queue.stretch);
        let latency = queue.map_or(DEFAULT_LATENCY_MS, |queue| queue.latency);
        let objective = scaled(job.critical_path(), stretch) + latency;
        let remaining = entry.remaining();
        let expected = unix.saturating_sub(job.accepted) + remaining.critical_path;
        let lateness = match expected {
            _ if job.is_lasting() || job.schedule.is_some() => 0,
            time if time <= objective => 0,
            time if time <= objective * LATE_FACTOR => 1,
            _ => USELESS,
        };
        Self {
            over_share: entry.over_share == Some(true),
            priority: queue.map_or(0, |queue| queue.priority),
            lateness,
            remaining: remaining.work,
            accepted: job.accepted,
        }
    }

    /// Whether the job is too late to be of use to its client.
    #[must_use]
    pub const fn is_useless(&self) -> bool {
        self.lateness == USELESS
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
