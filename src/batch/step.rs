//! One step of a job.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Resources;

/// A group of identical tasks of a job that may run in parallel.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Estimated duration of a task, in milliseconds.
    pub estimate: u64,
    /// Indices of the earlier steps that have to be done first, counted from 0.
    pub after: Vec<u32>,
    /// Whether the tasks save their progress, so that another run can resume. Not used by the
    /// scheduler, which resumes from whatever progress was saved.
    pub checkpoint: bool,
    /// Whether the tasks are gang scheduled: they run only all at once, and end together.
    pub gang: bool,
    /// Whether the tasks are slow when they are spread over several racks. Not used by the
    /// scheduler.
    pub together: bool,
    /// Label that the executor must have, if any.
    pub label: Option<Arc<str>>,
    /// Rack that holds the input data; the tasks are slow on other racks.
    pub rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one executor; `None` for no limit.
    pub spread: Option<u32>,
    /// Whether several runs of a task may be active at once; the first to end counts. Not used by
    /// the scheduler.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled and are restarted whenever they end.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Program that the tasks run; tasks with the same image have similar demands.
    pub image: Option<Arc<str>>,
    /// Longest allowed tail of the response times in milliseconds, if the tasks serve requests.
    pub target: Option<u64>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of tasks that planned work, such as maintenance of hosts, may interrupt at
    /// once; `None` for no limit.
    pub away: Option<u32>,
}

impl Step {
    /// Whether a task can be placed on any executor with enough free resources.
    #[must_use]
    pub const fn is_plain(&self) -> bool {
        !self.gang && self.label.is_none() && self.spread.is_none()
    }

    /// Work of `count` of its tasks by their estimate, in core-milliseconds.
    #[must_use]
    pub const fn work(&self, count: u32) -> u64 {
        let time = self.estimate.saturating_mul(count as u64);
        let cpu = if self.demand.cpu == 0 {
            1
        } else {
            self.demand.cpu
        };
        time.saturating_mul(cpu) / 1_000
    }

    /// Resources that a task reserves on its executor.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        Resources {
            cpu: if self.best_effort { 0 } else { self.demand.cpu },
            ..self.demand
        }
    }
}
