//! Outputs of the planner.

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
        /// The host to reboot.
        host: HostName,
        /// Id of the reboot; the platform reboots the host once per id.
        plan: u64,
    },
    /// Record a decision on the time line.
    Note(Box<Note>),
}

impl Action {
    /// Boxes a note.
    pub(super) fn note(note: Note) -> Self {
        Self::Note(Box::new(note))
    }
}
