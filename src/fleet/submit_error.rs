//! Why a change was not accepted.

use hyper::StatusCode;
use quick_error::quick_error;

use crate::http::HttpError;
use crate::wire::ExecutionStatus;

const RETRY_MS: u64 = 1000;

quick_error! {
    /// Why a change was not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SubmitError {
        /// The fold has rejected it, for good.
        Rejected(reason: String) {
            display("rejected: {}", reason)
        }
        /// It surely does not stand in the log.
        NotAppended(reason: String) {
            display("not appended: {}", reason)
        }
        /// It may stand in the log.
        Unknown {
            display("the outcome is unknown; repeat with the same id")
        }
    }
}

impl From<SubmitError> for HttpError {
    fn from(error: SubmitError) -> Self {
        let (status, code, execution) = match error {
            SubmitError::Rejected(_) => (StatusCode::CONFLICT, "rejected", ExecutionStatus::NotRun),
            SubmitError::NotAppended(_) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "log-unavailable",
                ExecutionStatus::NotRun,
            ),
            SubmitError::Unknown => (
                StatusCode::GATEWAY_TIMEOUT,
                "outcome-unknown",
                ExecutionStatus::Unknown,
            ),
        };
        let fault = Self::new(status, code, error, execution);
        if status == StatusCode::CONFLICT {
            fault
        } else {
            fault.retry_after(RETRY_MS)
        }
    }
}
