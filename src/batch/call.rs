//! Client calls and their outcomes.

use std::sync::Arc;

use quick_error::quick_error;

use crate::batch::JobState;
use crate::batch::Schedule;
use crate::batch::Step;

/// The part of a job that its client specifies.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobRequest {
    /// Passed to the tasks unchanged.
    pub spec: Arc<str>,
    /// Steps, in an order in which each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// When its occurrences are due; `None` if it is to run once, at once.
    pub schedule: Option<Schedule>,
}

/// A client's call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Submit a job.
    Submit(JobRequest),
    /// Return a job's state or, if no job is given, the number of jobs in the queue of which no
    /// task has started.
    State,
    /// Cancel a job.
    Cancel,
}

/// Outcome of a successful call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The job is in the log.
    Accepted,
    /// The cancellation is in the log.
    Cancelled,
    /// The job's state.
    State(JobState),
    /// Number of jobs in the queue of which no task has started.
    Waiting(u64),
}

quick_error! {
    /// Why a call is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refusal {
        /// No queue matches the request's host name and path.
        NoQueue {
            display("no such queue")
        }
        /// The queue requires a key, and the request has none that is valid.
        NoKey {
            display("the key is missing, unknown or withdrawn")
        }
        /// The request is invalid and would fail again.
        Invalid(why: String) {
            display("{}", why)
        }
        /// The queue has no such job.
        NoJob {
            display("no such job")
        }
        /// Nothing was done; the client may retry after that many seconds.
        Unavailable(why: &'static str, retry: u64) {
            display("{}; try again in {} s", why, retry)
        }
        /// The outcome is unknown; the call may have taken effect, or may yet.
        Unknown(why: &'static str) {
            display("{}; it may have been done", why)
        }
    }
}
