//! What a scheduler wants done.

use crate::net::LinkId;
use crate::wire::Message;

/// An output of [`crate::sched::Scheduler`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a gate.
    Send(LinkId, Message),
}
