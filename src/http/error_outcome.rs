//! What a failure came to.

use crate::wire::ExecutionStatus;

/// Attached to the reply to a request that failed, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorOutcome {
    /// The word that callers see.
    pub code: &'static str,
    /// Whether the request may have run.
    pub execution: ExecutionStatus,
}
