//! Final refusal of a request by a scheduler or gate.

use serde::Deserialize;
use serde::Serialize;

use crate::wire::AttemptId;

/// Why a request was refused; the codes are a stable part of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The queue is too long to be served in time.
    Overloaded,
    /// The deadline would pass before a slot becomes free.
    DeadlineTooClose,
    /// No host of the service is usable.
    NoCapacity,
    /// The process cannot confirm that its state is recent.
    StateNotFresh,
    /// The responsible process is leaving or has only just taken over.
    Unavailable,
    /// The request fails on hosts that serve other requests successfully.
    JobFailing,
}

impl RefusalCode {
    /// The code in responses to callers.
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

/// Tells a gate that the request of an attempt will not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// From the slot request.
    pub attempt: AttemptId,
    /// The reason, as callers get it.
    pub code: RefusalCode,
    /// Milliseconds after which a retry is worthwhile.
    pub retry_after: u32,
}
