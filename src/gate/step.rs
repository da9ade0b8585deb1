//! Messages between the gate's task and the tasks that serve callers.

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

/// What the task that serves a caller is to do next.
#[derive(Debug)]
pub enum Step {
    /// Send the request to the grant's backend server.
    Run {
        /// The slot.
        grant: Grant,
        /// Team that pays for it.
        team: TeamName,
        /// A connection that was idle, if there is one.
        backend: Option<BackendConnection>,
    },
    /// Drop the exchange with the backend server.
    AbortExchange,
    /// Answer with the backend server's error that was held back.
    Relay,
    /// Answer with a failure.
    Fail(Failure),
}

/// What the tasks that serve callers, and control requests, tell the gate's task.
#[derive(Debug)]
pub enum Input {
    /// A request, and where its steps go.
    Submit(Submission, UnboundedSender<Step>),
    /// An attempt has ended; its connection comes back if it can be used again.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        ended: AttemptOutcome,
        /// Address of the backend server.
        addr: SocketAddr,
        /// The connection.
        backend: Option<BackendConnection>,
    },
    /// A backend server says that attempts do not run there.
    UnknownAttempts(Vec<AttemptId>),
    /// A cancellation is over.
    CancelResult {
        /// Address of the backend server.
        addr: SocketAddr,
        /// What became of each attempt.
        settled: Vec<(AttemptId, CancelResult)>,
    },
    /// The caller went away.
    CallerGone(RequestId),
    /// Stop taking requests.
    Stop,
}
