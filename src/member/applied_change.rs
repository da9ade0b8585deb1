//! What became of a change.

use crate::record::Outcome;

/// A change that the log has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedChange {
    /// What the fold made of it.
    pub outcome: Outcome,
    /// Whether a majority of the fleet members are known to have folded it, so that each fresh
    /// process knows it within [`FRESHNESS_TTL`](crate::member::FRESH_FOR).
    pub in_force: bool,
}
