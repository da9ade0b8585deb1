//! Error responses that the gate sends instead of a backend server's response.

use hyper::StatusCode;

use crate::http::HttpError;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::Verdict;

/// Why a request failed. Callers may rely on the code strings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCode {
    /// A header is missing or malformed.
    BadRequest,
    /// `x-deadline-ms` is malformed or out of range.
    BadDeadline,
    /// The key is unknown, withdrawn or missing.
    UnknownKey,
    /// The key's team may not use the service.
    TeamNotAllowed,
    /// No pool runs the service.
    UnknownService,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// A scheduler or the gate refused the request.
    Refused(RefusalCode),
    /// The deadline passed before there was a response.
    DeadlinePassed,
    /// The body did not arrive completely or in time.
    BadBody,
    /// The team has a request with the same `x-request-id` in progress.
    InProgress,
    /// An attempt failed and no further one is allowed.
    AttemptFailed,
}

impl FailureCode {
    /// HTTP status of the error response.
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

    /// Machine-readable code in the error response.
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
    /// Human-readable message in the error response.
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

/// Content of an error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Reason of the failure.
    pub code: FailureCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Milliseconds after which a retry makes sense; `None` if it does not.
    pub retry_after: Option<u32>,
}

impl Failure {
    /// The failure of a request that did not run, without a retry time.
    #[must_use]
    pub const fn not_run(code: FailureCode) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// The failure of a request whose external id is in progress, so that it may run.
    /// `retry_after` is in milliseconds.
    #[must_use]
    pub const fn in_progress(retry_after: u32) -> Self {
        Self {
            code: FailureCode::InProgress,
            verdict: Verdict::Unknown,
            retry_after: Some(retry_after),
        }
    }

    /// The refusal of a request that did not run. `retry_after` is in milliseconds.
    #[must_use]
    pub const fn refused(code: RefusalCode, retry_after: u32) -> Self {
        Self {
            code: FailureCode::Refused(code),
            verdict: Verdict::NotRun,
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
            failure.verdict,
        );
        match failure.retry_after {
            Some(millis) => fault.retry_after(millis.into()),
            None => fault,
        }
    }
}
