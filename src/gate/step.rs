//! Messages between the gate task and the request handlers.

use std::net::SocketAddr;

use futures_channel::mpsc::UnboundedSender;

use crate::gate::AttemptOutcome;
use crate::gate::CancelResult;
use crate::gate::Failure;
use crate::gate::Submission;
use crate::http::BackendConnection;
use crate::name::TeamName;
use crate::wire::AttemptId;
use crate::wire::Grant;
use crate::wire::RequestId;

/// Instruction of the gate task to a request handler.
#[derive(Debug)]
pub enum Step {
    /// Send the request to the grant's backend server.
    Run {
        /// The granted slot.
        grant: Grant,
        /// Team that the slot is charged to.
        team: TeamName,
        /// An idle connection to reuse, if there is one.
        backend: Option<BackendConnection>,
    },
    /// Abort the HTTP exchange with the backend server.
    AbortExchange,
    /// Respond with the backend server's error response that was held back.
    Relay,
    /// Respond with a failure.
    Fail(Failure),
}

/// Message to the gate task from request handlers, control requests and the server.
#[derive(Debug)]
pub enum Input {
    /// A request, with the channel for its steps.
    Submit(Submission, UnboundedSender<Step>),
    /// An attempt has ended.
    AttemptEnded {
        /// Id of the attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Address of the backend server.
        addr: SocketAddr,
        /// The connection, if it can be reused.
        backend: Option<BackendConnection>,
    },
    /// A backend server reported that it does not run these attempts.
    UnknownAttempts(Vec<AttemptId>),
    /// A cancellation request has finished.
    CancelResult {
        /// Address of the backend server.
        addr: SocketAddr,
        /// Result for each attempt.
        results: Vec<(AttemptId, CancelResult)>,
    },
    /// The caller disconnected before the response.
    CallerGone(RequestId),
    /// The process is about to stop.
    Stop,
}
