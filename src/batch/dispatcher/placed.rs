//! Outcome of trying to start a job's tasks.

/// Outcome of trying to start the tasks of a job that are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placed {
    /// Tasks were started.
    Started,
    /// No task could be started.
    Nothing,
    /// There is capacity for a gang, which waits for answers to earlier starts. Starts of jobs
    /// behind it would keep it waiting.
    HeldBack,
}
