//! Execution state of a step in one occurrence of a job.

use std::collections::BTreeSet;

use crate::batch::task_progress::TaskProgress;
use crate::name::ExecutorId;

/// State of the tasks of a step.
#[derive(Debug, Clone, Default)]
pub struct StepProgress {
    /// State of the tasks, by task index.
    pub tasks: Vec<TaskProgress>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Numbers of the failed runs of the gang; empty if the step is not a gang.
    pub failed: BTreeSet<u64>,
}

impl StepProgress {
    /// A step of `count` tasks of which none has started.
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

    /// Whether at least one task may be started.
    #[must_use]
    pub fn has_idle(&self) -> bool {
        self.tasks.iter().any(TaskProgress::is_idle)
    }

    /// Executors that tasks of the step are placed on, once per task.
    pub fn placed(&self) -> impl Iterator<Item = &ExecutorId> {
        self.tasks.iter().filter_map(|task| task.placed.as_ref())
    }
}
