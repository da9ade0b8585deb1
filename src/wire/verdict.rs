//! Execution status of a failed request.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request that got no regular response has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It has not run and will not run.
    NotRun,
    /// It has run.
    Ran,
    /// Whether it has run is not known.
    Unknown,
}

impl Verdict {
    /// Combined status of a request after two attempts.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }

    /// The word in responses to callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
