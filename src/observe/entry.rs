//! A note with its time.

use serde::Deserialize;
use serde::Serialize;

use crate::observe::Note;
use crate::observe::Stamp;

/// A note on the time line of the process that decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When.
    pub stamp: Stamp,
    /// What.
    pub note: Note,
}
