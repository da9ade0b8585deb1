//! What a caller gets instead of the backend server's answer.

use hyper::StatusCode;

use crate::http::HttpError;
use crate::wire::ExecutionStatus;
use crate::wire::Refusal;
use crate::wire::RefusalCode;

/// Why a request got no regular answer; the words are stable for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCode {
    /// A header is missing or malformed.
    BadRequest,
    /// The deadline is missing its range.
    BadDeadline,
    /// The key is unknown, withdrawn or missing.
    UnknownKey,
    /// The key's team may not use the service.
    TeamNotAllowed,
    /// No pool runs the service.
    UnknownService,
    /// The body is over the limit.
    BodyTooLarge,
    /// A scheduler or gate refused.
    Refused(RefusalCode),
    /// The deadline passed before the answer came.
    DeadlinePassed,
    /// The body did not arrive whole.
    BadBody,
    /// A request of the same caller's identity is in progress.
    InProgress,
    /// Attempts failed and no further one is allowed.
    AttemptFailed,
}

impl FailureCode {
    /// The HTTP status that goes with the code.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BadDeadline | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::InProgress => StatusCode::CONFLICT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TeamNotAllowed => StatusCode::FORBIDDEN,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Refused(RefusalCode::Overloaded) => StatusCode::TOO_MANY_REQUESTS,
            Self::Refused(RefusalCode::JobFailing) => StatusCode::BAD_GATEWAY,
            Self::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::AttemptFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// The word that callers see.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BadDeadline => "bad-deadline",
            Self::UnknownKey => "unknown-key",
            Self::TeamNotAllowed => "team-not-allowed",
            Self::UnknownService => "unknown-service",
            Self::BodyTooLarge => "body-too-large",
            Self::Refused(code) => code.as_str(),
            Self::BadBody => "bad-body",
            Self::InProgress => "in-progress",
            Self::DeadlinePassed => "deadline-passed",
            Self::AttemptFailed => "attempt-failed",
        }
    }
}

impl FailureCode {
    /// A sentence for people.
    #[must_use]
    pub const fn message(self) -> &'static str {
        match self {
            Self::BadRequest => "a header is missing or malformed",
            Self::BadDeadline => "x-deadline-ms is a whole number from 1 to 3600000",
            Self::UnknownKey => "the key is unknown, withdrawn or missing",
            Self::TeamNotAllowed => "the key's team may not use this service",
            Self::UnknownService => "no pool runs this service",
            Self::BodyTooLarge => "the body is over the limit",
            Self::Refused(RefusalCode::Overloaded) => "more requests wait than can start in time",
            Self::Refused(RefusalCode::DeadlineTooClose) => {
                "no slot comes free before the deadline"
            }
            Self::Refused(RefusalCode::NoCapacity) => "no host of the service is in service",
            Self::Refused(RefusalCode::StateNotFresh) => "this process is cut off; use another one",
            Self::Refused(RefusalCode::Unavailable) => "the service is changing hands",
            Self::Refused(RefusalCode::JobFailing) => "it fails on hosts that serve others well",
            Self::BadBody => "the body did not arrive whole and in time",
            Self::InProgress => "a request with this x-request-id is in progress",
            Self::DeadlinePassed => "the deadline passed before the answer came",
            Self::AttemptFailed => "the backend server failed and no further attempt is allowed",
        }
    }
}

/// The final answer to a request that got no regular one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub code: FailureCode,
    /// Whether the request may have run.
    pub execution: ExecutionStatus,
    /// Milliseconds after which asking again makes sense.
    pub retry_after: Option<u32>,
}

impl Failure {
    /// A failure that surely did not run and needs no retry time.
    #[must_use]
    pub const fn not_run(code: FailureCode) -> Self {
        Self {
            code,
            execution: ExecutionStatus::NotRun,
            retry_after: None,
        }
    }

    /// A repeat of a request that is in progress and may run.
    #[must_use]
    pub const fn in_progress(retry_after: u32) -> Self {
        Self {
            code: FailureCode::InProgress,
            execution: ExecutionStatus::Unknown,
            retry_after: Some(retry_after),
        }
    }

    /// A refusal that surely did not run, with the time to come back.
    #[must_use]
    pub const fn refused(code: RefusalCode, retry_after: u32) -> Self {
        Self {
            code: FailureCode::Refused(code),
            execution: ExecutionStatus::NotRun,
            retry_after: Some(retry_after),
        }
    }
}

impl From<&Refusal> for Failure {
    fn from(refusal: &Refusal) -> Self {
        Self::refused(refusal.code, refusal.retry_after)
    }
}

impl From<Failure> for HttpError {
    fn from(failure: Failure) -> Self {
        let code = failure.code;
        let fault = Self::new(
            code.status(),
            code.as_str(),
            code.message(),
            failure.execution,
        );
        match failure.retry_after {
            Some(millis) => fault.retry_after(millis.into()),
            None => fault,
        }
    }
}
