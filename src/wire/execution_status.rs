//! Whether a request may have run.

use serde::Deserialize;
use serde::Serialize;

/// What is known about the execution of a request that got no regular answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// It did not run and will not.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

impl ExecutionStatus {
    /// What is known of two attempts together.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }

    /// The word that callers see.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
