//! What a gate wants done.

use std::net::SocketAddr;

use crate::gate::Failure;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::observe::Note;
use crate::wire::AttemptId;
use crate::wire::Grant;
use crate::wire::Message;
use crate::wire::RequestId;

/// An output of [`crate::gate::Gate`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a scheduler.
    Send(LinkId, Message),
    /// Send the request to the backend server of a grant.
    Run {
        /// The slot.
        grant: Grant,
        /// Team that pays for it.
        team: TeamName,
    },
    /// Give the caller its final answer.
    Fail(RequestId, Failure),
    /// Give the caller the backend server's error that was held back.
    Relay(RequestId),
    /// Drop the exchange of an attempt with the backend server at this address.
    AbortExchange(RequestId, SocketAddr),
    /// Keep the task leases of attempts alive at a backend server.
    Renew(SocketAddr, Vec<AttemptId>),
    /// End attempts at a backend server.
    Cancel(SocketAddr, Vec<AttemptId>),
    /// Put a decision on the time line.
    Note(Box<Note>),
}
