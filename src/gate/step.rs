//! Messages between the gate's task and the tasks that serve callers.

use futures_channel::mpsc::UnboundedSender;

use crate::gate::Ended;
use crate::gate::Failure;
use crate::gate::Submission;
use crate::gate::backend::Backend;
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
        backend: Option<Backend>,
    },
    /// Answer with a failure.
    Fail(Failure),
}

/// What the task that serves a caller tells the gate's task.
#[derive(Debug)]
pub enum Input {
    /// A request, and where its steps go.
    Submit(Submission, UnboundedSender<Step>),
    /// An attempt has ended; its connection comes back if it can be used again.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        ended: Ended,
        /// The connection.
        backend: Option<Backend>,
    },
    /// The caller went away.
    Gone(RequestId),
    /// Stop taking requests.
    Stop,
}
