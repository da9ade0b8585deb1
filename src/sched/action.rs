//! Outputs of the scheduler state machine.

use crate::net::LinkId;
use crate::observe::Note;
use crate::wire::Message;
use crate::wire::Peer;

/// An output of [`crate::sched::Scheduler`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a gate.
    Send(LinkId, Message),
    /// Send a message to another scheduler.
    Peer(Peer, Message),
    /// Record a decision on the time line.
    Note(Box<Note>),
}
