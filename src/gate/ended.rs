//! How an attempt ended.

use crate::wire::Verdict;

/// What the gate learned from an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The backend server answered and the caller has the answer.
    Answered {
        /// Whether the answer was not a server error.
        healthy: bool,
    },
    /// The backend server surely did not run it.
    NotRun {
        /// Whether the backend server is otherwise in order, such as when all slots were busy.
        healthy: bool,
    },
    /// Bytes went out and no answer came.
    Unknown,
}

impl Ended {
    /// Whether the attempt speaks for the backend server's health.
    #[must_use]
    pub const fn healthy(self) -> bool {
        match self {
            Self::Answered { healthy } | Self::NotRun { healthy } => healthy,
            Self::Unknown => false,
        }
    }

    /// Whether the attempt may have run.
    #[must_use]
    pub const fn verdict(self) -> Verdict {
        match self {
            Self::Answered { .. } => Verdict::Ran,
            Self::NotRun { .. } => Verdict::NotRun,
            Self::Unknown => Verdict::Unknown,
        }
    }
}
