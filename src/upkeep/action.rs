//! What the planner wants done.

use crate::name::HostName;
use crate::observe::Note;
use crate::record::Change;

/// An output of [`Planner`](crate::upkeep::Planner).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a change to the log.
    Append(Change),
    /// Ask the platform to reboot a host.
    Reboot {
        /// The host.
        host: HostName,
        /// Id of the reboot; the platform reboots once for each.
        plan: u64,
    },
    /// Put a decision on the time line.
    Note(Box<Note>),
}

impl Action {
    /// Wraps a note.
    pub(super) fn note(note: Note) -> Self {
        Self::Note(Box::new(note))
    }
}
