//! What came of the examination of a job.

/// What came of the examination of a job that has tasks to start.
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
