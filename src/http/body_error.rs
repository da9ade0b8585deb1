//! Why a body could not be read.

use hyper::StatusCode;
use quick_error::quick_error;

use crate::http::HttpError;
use crate::wire::Verdict;

/// Time after which to try again where too much is being received, in milliseconds.
const BUSY_RETRY_MS: u64 = 1_000;

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BodyError {
        /// The body exceeds the limit, in bytes.
        TooLarge(limit: usize) {
            display("the body has more than {} bytes", limit)
        }
        /// The body was not received within the time limit.
        Timeout {
            display("the body did not arrive in time")
        }
        /// Too much memory is taken by what other clients send.
        Busy {
            display("too much is being received at once; try again")
        }
        /// The connection was lost, or the body is malformed.
        Incomplete(cause: String) {
            display("the body broke off: {}", cause)
        }
    }
}

impl From<BodyError> for HttpError {
    fn from(error: BodyError) -> Self {
        let retry = (error == BodyError::Busy).then_some(BUSY_RETRY_MS);
        let (status, code) = match error {
            BodyError::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
            BodyError::Timeout => (StatusCode::REQUEST_TIMEOUT, "too-slow"),
            BodyError::Busy => (StatusCode::SERVICE_UNAVAILABLE, "busy"),
            BodyError::Incomplete(_) => (StatusCode::BAD_REQUEST, "bad-body"),
        };
        let reply = Self::new(status, code, error, Verdict::NotRun);
        match retry {
            Some(millis) => reply.retry_after(millis),
            None => reply,
        }
    }
}
