//! How an attempt ended.

use crate::wire::Evidence;
use crate::wire::ExecutionStatus;

/// What the gate learned from an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server answered and the caller has the answer.
    Answered,
    /// The backend server answered with a server error, which the caller does not have yet.
    Failed,
    /// The backend server surely did not run it, and will not.
    NotRun(Evidence),
    /// Bytes went out and no answer came.
    Unknown,
}

impl AttemptOutcome {
    /// What the attempt says about its host.
    #[must_use]
    pub const fn evidence(self) -> Evidence {
        match self {
            Self::Answered => Evidence::Served,
            Self::Failed | Self::Unknown => Evidence::Failed,
            Self::NotRun(evidence) => evidence,
        }
    }

    /// Whether the attempt may have run.
    #[must_use]
    pub const fn execution(self) -> ExecutionStatus {
        match self {
            Self::Answered | Self::Failed => ExecutionStatus::Ran,
            Self::NotRun(_) => ExecutionStatus::NotRun,
            Self::Unknown => ExecutionStatus::Unknown,
        }
    }
}
