//! Outcome of an attempt.

use crate::wire::Evidence;
use crate::wire::Verdict;

/// How an attempt ended, as far as the gate knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server responded, and the response was returned to the caller.
    Answered,
    /// The backend server responded with a server error, which is held back from the caller.
    Failed,
    /// The backend server did not run the request, and will not.
    NotRun(Evidence),
    /// The request was sent, at least in part, and no valid response arrived.
    Unknown,
}

impl AttemptOutcome {
    /// Evidence that the attempt gives about its host.
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
    pub const fn verdict(self) -> Verdict {
        match self {
            Self::Answered | Self::Failed => Verdict::Ran,
            Self::NotRun(_) => Verdict::NotRun,
            Self::Unknown => Verdict::Unknown,
        }
    }
}
