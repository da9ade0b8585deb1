//! Errors of submitted changes.

use hyper::StatusCode;
use quick_error::quick_error;

use crate::http::HttpError;
use crate::wire::Verdict;

/// Retry delay sent with errors that are not final, in milliseconds.
const RETRY_MS: u64 = 1000;

quick_error! {
    /// Why a change was not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SubmitError {
        /// It was applied to the state and rejected; the same submission is always rejected.
        Rejected(reason: String) {
            display("rejected: {}", reason)
        }
        /// It is certainly not in the log.
        NotAppended(reason: String) {
            display("not appended: {}", reason)
        }
        /// It may be in the log or not.
        Unknown {
            display("the outcome is unknown; repeat with the same id")
        }
    }
}

impl From<SubmitError> for HttpError {
    fn from(error: SubmitError) -> Self {
        let (status, code, verdict) = match error {
            SubmitError::Rejected(_) => (StatusCode::CONFLICT, "rejected", Verdict::NotRun),
            SubmitError::NotAppended(_) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "log-unavailable",
                Verdict::NotRun,
            ),
            SubmitError::Unknown => (
                StatusCode::GATEWAY_TIMEOUT,
                "outcome-unknown",
                Verdict::Unknown,
            ),
        };
        let fault = Self::new(status, code, error, verdict);
        if status == StatusCode::CONFLICT {
            fault
        } else {
            fault.retry_after(RETRY_MS)
        }
    }
}
