//! A note with its time.

use serde::Deserialize;
use serde::Serialize;

use crate::observe::HlcTimestamp;
use crate::observe::Note;

/// A note on the time line of the process that decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When.
    pub stamp: HlcTimestamp,
    /// What.
    pub note: Note,
}
