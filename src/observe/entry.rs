//! A timestamped note.

use serde::Deserialize;
use serde::Serialize;

use crate::observe::HlcTimestamp;
use crate::observe::Note;

/// A timestamped note on the timeline of the process that made the decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time at which the note was recorded.
    pub stamp: HlcTimestamp,
    /// The decision.
    pub note: Note,
}
