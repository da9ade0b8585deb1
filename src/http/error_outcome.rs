//! Outcome of a failed request, for metrics.

use crate::wire::Verdict;

/// Attached to each error reply, so that metrics can count it by code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorOutcome {
    /// Code in the reply; `other` if it is not a constant.
    pub code: &'static str,
    /// Whether the request may have run.
    pub verdict: Verdict,
}
