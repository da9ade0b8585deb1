//! State of a run on its executor, as far as the owner knows it.

use std::time::Duration;
use std::time::Instant;

use crate::batch::Job;
use crate::batch::Resources;
use crate::batch::Running;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::name::TeamName;

/// Time without progress after which a run counts as stalled, in addition to half of its estimate,
/// in milliseconds.
const STALL_MS: u64 = 2_000;

/// Phase of a run, as far as the owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The order to start the run has not been answered yet.
    Starting,
    /// The run was known to be running from this time on.
    Running(Instant),
    /// An order to start or stop the run failed at this time, so it is unknown whether it runs.
    Unconfirmed(Instant),
    /// The order to stop the run has not been answered yet.
    Stopping,
    /// The order to stop the run was answered at this time; it may still be ending.
    Stopped(Instant),
}

/// A run, its progress and the resources that it takes.
#[derive(Debug, Clone)]
pub struct RunState {
    /// Set by the answers to orders and by the executor's reports.
    pub phase: Phase,
    /// Resources charged to its executor.
    pub reserved: Resources,
    /// Resources charged to its team.
    pub demand: Resources,
    /// Team of its job, if any.
    pub team: Option<TeamName>,
    /// When the order to start it was sent, or when it was first reported.
    pub started: Instant,
    /// Share of its work that is done, in percent; a long-running task is ready at 100.
    pub percent: u64,
    /// When that share last changed.
    pub progress_at: Instant,
    /// Measured over the last half second: for a serving task its tail latency, in milliseconds;
    /// for any other the CPU in use, in thousandths of a core.
    pub measured: u64,
    /// Target for the tail latency of a serving task, in milliseconds.
    pub target: Option<u64>,
    /// It gets only CPU that others leave unused.
    pub best_effort: bool,
    /// Speed at which it works, in percent of full speed.
    pub pace: u64,
    /// An order to set its pace has not been answered yet.
    pub pace_pending: bool,
    /// Rough duration of its work, in milliseconds.
    pub estimate: u64,
    /// It runs until it is stopped.
    pub long_running: bool,
}

impl RunState {
    /// Creates the state for a run of a task of `job`.
    #[must_use]
    pub fn of(job: &Job, task: &TaskId, phase: Phase, started: Instant) -> Self {
        let step = job.steps.get(task.step as usize);
        Self {
            phase,
            reserved: step.map(Step::reserved).unwrap_or_default(),
            demand: step.map(|step| step.demand).unwrap_or_default(),
            team: job.team.clone(),
            started,
            percent: 0,
            progress_at: started,
            measured: 0,
            target: step.and_then(|step| step.target),
            best_effort: step.is_some_and(|step| step.best_effort),
            pace: 100,
            pace_pending: false,
            estimate: step.map_or(0, |step| step.estimate),
            long_running: step.is_some_and(|step| step.long_running),
        }
    }

    /// Creates the state for a run of a job that this owner does not know.
    #[must_use]
    pub fn of_unknown_job(started: Instant) -> Self {
        Self {
            phase: Phase::Running(started),
            reserved: Resources::default(),
            demand: Resources::default(),
            team: None,
            started,
            percent: 0,
            progress_at: started,
            measured: 0,
            target: None,
            best_effort: false,
            pace: 100,
            pace_pending: false,
            estimate: 0,
            long_running: false,
        }
    }

    /// Applies the report of its executor.
    pub const fn update(&mut self, now: Instant, run: &Running) {
        if run.percent != self.percent {
            self.progress_at = now;
        }
        self.percent = run.percent;
        self.measured = run.measured;
    }

    /// Returns when it is expected to end: by its progress, or by its estimate before it has made
    /// any. One that has exceeded this is expected to take as long again.
    #[must_use]
    pub fn expected_end(&self, now: Instant) -> Instant {
        let total = match u32::try_from(self.percent) {
            Ok(percent) if percent > 0 => (self.progress_at - self.started) * 100 / percent,
            _ => Duration::from_millis(self.estimate),
        };
        let elapsed = now.saturating_duration_since(self.started);
        now + total.checked_sub(elapsed).unwrap_or(elapsed)
    }

    /// Whether it has made no progress for too long. Long-running tasks make none and best-effort
    /// tasks may get no CPU, so neither counts as stalled.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(STALL_MS + self.estimate / 2);
        let running = matches!(self.phase, Phase::Running(_));
        running && !self.long_running && !self.best_effort && now >= self.progress_at + limit
    }
}
