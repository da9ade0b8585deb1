//! What is known of one step of one occurrence of a job.

use std::collections::BTreeSet;

use crate::batch::task_progress::TaskProgress;
use crate::name::ExecutorId;

/// The tasks of a step.
#[derive(Debug, Clone, Default)]
pub struct StepProgress {
    /// The tasks, by their index.
    pub tasks: Vec<TaskProgress>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Runs of the whole gang that failed, if the step is one.
    pub failed: BTreeSet<u64>,
}

impl StepProgress {
    /// A step of `count` tasks of which none has begun.
    #[must_use]
    pub fn new(count: u32) -> Self {
        Self {
            tasks: vec![TaskProgress::default(); count as usize],
            ..Self::default()
        }
    }

    /// Whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Whether a task may be started.
    #[must_use]
    pub fn has_idle(&self) -> bool {
        self.tasks.iter().any(TaskProgress::is_idle)
    }

    /// Executors that run tasks of it, one time a task.
    pub fn placed(&self) -> impl Iterator<Item = &ExecutorId> {
        self.tasks.iter().filter_map(|task| task.placed.as_ref())
    }
}
