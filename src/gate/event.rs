//! What a gate is told.

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

/// An input of [`crate::gate::Gate`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A newer state.
    State(Rc<State>),
    /// The state is known to be recent until then.
    Fresh(Instant),
    /// A link to a scheduler is there.
    Up {
        /// The link.
        link: LinkId,
        /// The scheduler.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A link is lost.
    Down(LinkId),
    /// A caller's request.
    Submit(Submission),
    /// A scheduler grants a slot.
    Grant(LinkId, Grant),
    /// A scheduler refuses.
    Refuse(LinkId, Refusal),
    /// An attempt has ended.
    AttemptEnded(AttemptId, AttemptOutcome),
    /// A backend server says that attempts do not run there.
    UnknownAttempts(Vec<AttemptId>),
    /// A cancellation was answered, or was not.
    CancelResult(AttemptId, CancelResult),
    /// The caller went away.
    CallerGone(RequestId),
    /// The process is about to stop: not ready any more, but requests that come are served.
    Stop,
    /// Time has passed.
    Tick,
}
