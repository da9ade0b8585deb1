//! Id of a record.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Chosen by the author, so that a record can be found after its append went unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId(pub u128);

impl RecordId {
    /// A random 128-bit id.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
