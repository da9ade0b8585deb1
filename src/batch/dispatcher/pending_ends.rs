//! Ends of runs that are being recorded.

use crate::batch::JobId;
use crate::name::ExecutorId;

/// Ends of runs on an executor whose append to the log is pending.
pub struct PendingEnds {
    /// The executor.
    pub executor: ExecutorId,
    /// When the process started that reported them, in Unix milliseconds.
    pub born: Option<u64>,
    /// Highest number of these ends.
    pub number: u64,
    /// Jobs of these ends, one entry per end.
    pub jobs: Vec<JobId>,
}
