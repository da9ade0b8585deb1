//! What is known of one task.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::name::ExecutorId;

/// One task of one occurrence of a job.
#[derive(Debug, Clone, Default)]
pub struct TaskProgress {
    /// It has ended `done`.
    pub done: bool,
    /// Runs that ended `failed`; ends of different executors come in any order.
    pub failed: BTreeSet<u64>,
    /// Highest run that has begun or ended.
    pub run: u64,
    /// Highest run that has ended.
    pub ended: u64,
    /// Progress from which the next run can go on.
    pub saved: Option<Arc<str>>,
    /// Executor that runs it, or may.
    pub placed: Option<ExecutorId>,
}

impl TaskProgress {
    /// Whether it may be started.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        !self.done && self.placed.is_none()
    }
}
