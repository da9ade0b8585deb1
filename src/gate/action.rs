//! Outputs of the gate's decision logic.

use std::net::SocketAddr;

use crate::gate::Failure;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::observe::Note;
use crate::wire::AttemptId;
use crate::wire::Grant;
use crate::wire::Message;
use crate::wire::RequestId;

/// An action that [`Gate`](crate::gate::Gate) requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a scheduler.
    Send(LinkId, Message),
    /// Send the request to the backend server of a grant.
    Run {
        /// The granted slot.
        grant: Grant,
        /// Team that the slot is charged to.
        team: TeamName,
    },
    /// Respond to the caller with a failure.
    Fail(RequestId, Failure),
    /// Respond to the caller with the backend server's error response that was held back.
    Relay(RequestId),
    /// Abort the HTTP exchange with the backend server at this address.
    AbortExchange(RequestId, SocketAddr),
    /// Renew the leases of attempts at a backend server.
    Renew(SocketAddr, Vec<AttemptId>),
    /// Cancel attempts at a backend server.
    Cancel(SocketAddr, Vec<AttemptId>),
    /// Record a decision on the time line.
    Note(Box<Note>),
}
