//! Execution state of one task.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::name::ExecutorId;

/// An executor on which a run of a task failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Avoided {
    /// The executor.
    pub executor: ExecutorId,
    /// Until when the task is not started there again.
    pub until: Instant,
}

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
    /// Executor on which its latest run failed, if this owner has seen that.
    pub avoided: Option<Avoided>,
}

impl TaskProgress {
    /// Whether it may be started.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        !self.done && self.placed.is_none()
    }

    /// Executor on which it must not be started at `now`.
    #[must_use]
    pub fn avoided_at(&self, now: Instant) -> Option<&ExecutorId> {
        let avoided = self.avoided.as_ref();
        let avoided = avoided.filter(|avoided| now < avoided.until);
        avoided.map(|avoided| &avoided.executor)
    }
}
