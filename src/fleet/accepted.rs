//! The answer to an accepted change.

use serde::Deserialize;
use serde::Serialize;

/// A change that the fold has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename = "accepted")]
pub struct Accepted {
    /// Revision of the state that the change made.
    pub revision: u64,
    /// Whether every process already works by that revision.
    pub in_force: bool,
}
