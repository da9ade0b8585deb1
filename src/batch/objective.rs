//! Latency objective of a job.

use crate::batch::Job;
use crate::batch::Queue;

/// Objective of a job whose queue no longer exists: this many times its longest chain of steps,
/// plus `DEFAULT_LATENCY_MS`.
const DEFAULT_STRETCH: f64 = 2.0;
const DEFAULT_LATENCY_MS: u64 = 1_000;
/// Number of times its objective after which the end of a job is of no use to its client.
const LATE_FACTOR: u64 = 3;

/// Whether a job ends in time for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// Within its objective.
    InTime,
    /// After its objective, but still of some use.
    Late,
    /// Too late to be of use.
    TooLate,
}

impl Lateness {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::InTime => "in-time",
            Self::Late => "late",
            Self::TooLate => "too-late",
        }
    }
}

/// Latency objective of a job: until when it has to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// End of the time in which it is in time, in Unix milliseconds; `None` if it has no objective.
    deadline: Option<u64>,
    /// End of the time in which it is still of use, in Unix milliseconds.
    expiry: u64,
}

impl Objective {
    /// Returns the objective of a job in its queue. Long-running jobs and jobs with a schedule have
    /// none.
    #[must_use]
    pub fn of(job: &Job, queue: Option<&Queue>) -> Self {
        if job.is_long_running() || job.schedule.is_some() {
            return Self {
                deadline: None,
                expiry: u64::MAX,
            };
        }
        let stretch = queue.map_or(DEFAULT_STRETCH, |queue| queue.stretch);
        let latency = queue.map_or(DEFAULT_LATENCY_MS, |queue| queue.latency);
        let allowed = scaled(job.critical_path(), stretch).saturating_add(latency);
        Self {
            deadline: Some(job.accepted.saturating_add(allowed)),
            expiry: job
                .accepted
                .saturating_add(allowed.saturating_mul(LATE_FACTOR)),
        }
    }

    /// End of the time in which the job is in time, in Unix milliseconds; `None` if it has no
    /// objective.
    #[must_use]
    pub const fn deadline(&self) -> Option<u64> {
        self.deadline
    }

    /// Lateness of a job that ends at `end` (in Unix milliseconds).
    #[must_use]
    pub fn lateness(&self, end: u64) -> Lateness {
        match self.deadline {
            Some(_) if end > self.expiry => Lateness::TooLate,
            Some(deadline) if end > deadline => Lateness::Late,
            _ => Lateness::InTime,
        }
    }

    /// Returns the last moment from `end` on that has the lateness of `end`, both in Unix
    /// milliseconds; `None` if all have.
    #[must_use]
    pub fn bound_after(&self, end: u64) -> Option<u64> {
        match self.lateness(end) {
            Lateness::InTime => self.deadline,
            Lateness::Late => Some(self.expiry),
            Lateness::TooLate => None,
        }
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
