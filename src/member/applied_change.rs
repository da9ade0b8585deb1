//! Result of an appended change.

use crate::record::Outcome;

/// A change that the log has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedChange {
    /// Result of applying its record.
    pub outcome: Outcome,
    /// Whether a majority of the fleet processes are known to have applied the record, so that
    /// every process whose state is fresh has applied it within
    /// [`FRESHNESS_TTL`](crate::member::FRESHNESS_TTL).
    pub in_force: bool,
}
