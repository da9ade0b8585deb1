//! Inputs of the gate's decision logic.

use std::rc::Rc;
use std::time::Instant;

use crate::gate::AttemptOutcome;
use crate::gate::CancelResult;
use crate::gate::Submission;
use crate::name::NodeName;
use crate::net::LinkId;
use crate::record::State;
use crate::wire::AttemptId;
use crate::wire::Grant;
use crate::wire::Refusal;
use crate::wire::RequestId;

/// An event that [`Gate`](crate::gate::Gate) handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// The state has changed.
    State(Rc<State>),
    /// The state is fresh until this deadline.
    Fresh(Instant),
    /// A link to a scheduler was established.
    Up {
        /// Identifies the link in later events.
        link: LinkId,
        /// Name of the scheduler.
        node: NodeName,
        /// Incarnation of the scheduler.
        incarnation: u64,
    },
    /// A link was lost.
    Down(LinkId),
    /// A caller sent a request.
    Submit(Submission),
    /// A scheduler granted a slot.
    Grant(LinkId, Grant),
    /// A scheduler refused a request.
    Refuse(LinkId, Refusal),
    /// An attempt has ended.
    AttemptEnded(AttemptId, AttemptOutcome),
    /// A backend server reported that it does not run these attempts.
    UnknownAttempts(Vec<AttemptId>),
    /// A cancellation was answered or failed.
    CancelResult(AttemptId, CancelResult),
    /// The caller disconnected before the response.
    CallerGone(RequestId),
    /// The process is about to stop: the gate is no longer ready, but still serves requests that
    /// arrive.
    Stop,
    /// Timer tick.
    Tick,
}
