//! What a caller gets instead of the backend server's answer.

use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::Verdict;

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
    /// Attempts failed and no further one is allowed.
    AttemptFailed,
}

impl FailureCode {
    /// The HTTP status that goes with the code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadDeadline => 400,
            Self::UnknownKey => 401,
            Self::TeamNotAllowed => 403,
            Self::UnknownService => 404,
            Self::BodyTooLarge => 413,
            Self::Refused(RefusalCode::Overloaded) => 429,
            Self::Refused(_) => 503,
            Self::DeadlinePassed => 504,
            Self::AttemptFailed => 502,
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
            Self::DeadlinePassed => "deadline-passed",
            Self::AttemptFailed => "attempt-failed",
        }
    }
}

/// The final answer to a request that got no regular one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub code: FailureCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Milliseconds after which asking again makes sense.
    pub retry_after: Option<u32>,
}

impl Failure {
    /// A failure that surely did not run and needs no retry time.
    #[must_use]
    pub const fn not_run(code: FailureCode) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// A refusal that surely did not run, with the time to come back.
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
