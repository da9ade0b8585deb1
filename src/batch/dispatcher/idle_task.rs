//! A task that waits for a start.

use std::time::Instant;

use crate::batch::task_progress::TaskProgress;
use crate::name::ExecutorId;

/// A task that may be started.
pub struct IdleTask<'a> {
    /// Its index in its step.
    pub index: u32,
    /// Number of its latest run.
    pub last: u64,
    /// Executor on which it must not be started now.
    pub avoided: Option<&'a ExecutorId>,
}

impl<'a> IdleTask<'a> {
    /// Returns the task with this index at `now`.
    pub fn new(now: Instant, index: u32, task: &'a TaskProgress) -> Self {
        Self {
            index,
            last: task.run,
            avoided: task.avoided_at(now),
        }
    }
}
