//! Execution state of one task.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::name::ExecutorId;

/// State of one task in one occurrence of a job.
#[derive(Debug, Clone, Default)]
pub struct TaskProgress {
    /// Whether a run of it has ended `Done`.
    pub done: bool,
    /// Numbers of the runs that ended `Failed`. Kept as a set because the ends reported by
    /// different executors arrive in any order.
    pub failed: BTreeSet<u64>,
    /// Highest number of a run that has started or ended.
    pub run: u64,
    /// Highest number of a run that has ended.
    pub ended: u64,
    /// Saved progress from which the next run can resume.
    pub saved: Option<Arc<str>>,
    /// Executor that runs it, or may run it.
    pub placed: Option<ExecutorId>,
}

impl TaskProgress {
    /// Whether it may be started.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        !self.done && self.placed.is_none()
    }
}
