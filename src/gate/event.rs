//! What a gate is told.

use std::rc::Rc;
use std::time::Instant;

use crate::gate::Ended;
use crate::gate::Settled;
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
    Ended(AttemptId, Ended),
    /// A backend server says that attempts do not run there.
    Unknown(Vec<AttemptId>),
    /// A cancellation was answered, or was not.
    Settled(AttemptId, Settled),
    /// The caller went away.
    Gone(RequestId),
    /// The process is about to stop: no further requests.
    Stop,
    /// Time has passed.
    Tick,
}
