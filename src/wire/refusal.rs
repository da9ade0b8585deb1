//! A scheduler's or gate's final no.

use serde::Deserialize;
use serde::Serialize;

use crate::wire::AttemptId;

/// Why a request was refused; the words are stable for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The queue is longer than can be served in time.
    Overloaded,
    /// The deadline would pass before a slot comes free.
    DeadlineTooClose,
    /// No host of the service is in service.
    NoCapacity,
    /// The process cannot tell whether its state is recent.
    StateNotFresh,
    /// The process that would serve the request is leaving or has just taken over.
    Unavailable,
    /// The request fails on hosts that serve others well.
    JobFailing,
}

impl RefusalCode {
    /// The word that callers see.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::DeadlineTooClose => "deadline-too-close",
            Self::NoCapacity => "no-capacity",
            Self::StateNotFresh => "state-not-fresh",
            Self::Unavailable => "unavailable",
            Self::JobFailing => "job-failing",
        }
    }
}

/// The request of an attempt does not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why.
    pub code: RefusalCode,
    /// Milliseconds after which asking again makes sense.
    pub retry_after: u32,
}
