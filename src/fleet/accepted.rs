//! Response to an accepted change.

use serde::Deserialize;
use serde::Serialize;

/// An accepted change: appended to the log and applied to the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename = "accepted")]
pub struct Accepted {
    /// Revision of the state after the change.
    pub revision: u64,
    /// Whether the revision is in force: all processes with a fresh state have applied it. False
    /// also if that could not be confirmed in time.
    pub in_force: bool,
}
