//! Calls of clients, and what they are answered.

use std::sync::Arc;

use quick_error::quick_error;

use crate::batch::JobState;
use crate::batch::Schedule;
use crate::batch::Step;

/// What a client hands in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobRequest {
    /// What the tasks are told.
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// When it occurs, if more than once or later.
    pub schedule: Option<Schedule>,
}

/// What a client asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Take a job in.
    Submit(JobRequest),
    /// Tell a job's state.
    State,
    /// Cancel a job.
    Cancel,
}

/// What a call came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The job is in the log.
    Accepted,
    /// The cancellation is in the log.
    Cancelled,
    /// The job's state.
    State(JobState),
    /// Number of jobs of which no task has begun.
    Waiting(u64),
}

quick_error! {
    /// Why a call is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refusal {
        /// There is no such queue.
        NoQueue {
            display("no such queue")
        }
        /// The key is missing, unknown or withdrawn.
        NoKey {
            display("the key is missing, unknown or withdrawn")
        }
        /// The call is wrong.
        Invalid(why: String) {
            display("{}", why)
        }
        /// There is no such job.
        NoJob {
            display("no such job")
        }
        /// Nothing was done; it may be tried again after that many seconds.
        Unavailable(why: &'static str, retry: u64) {
            display("{}; try again in {} s", why, retry)
        }
        /// It may have been done, or may yet be.
        Unknown(why: &'static str) {
            display("{}; it may have been done", why)
        }
    }
}
