//! What a scheduler is told.

use std::rc::Rc;
use std::time::Instant;

use crate::net::LinkId;
use crate::record::State;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::Running;
use crate::wire::SlotRequest;

/// An input of [`crate::sched::Scheduler`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A newer state.
    State(Rc<State>),
    /// The state is known to be recent until then.
    Fresh(Instant),
    /// A link to a gate is there.
    Up(LinkId, Peer),
    /// A link to a gate is lost.
    Down(LinkId),
    /// A gate wants a slot.
    SlotRequest(LinkId, SlotRequest),
    /// A gate no longer wants a slot.
    Cancel(LinkId, AttemptId),
    /// An attempt is over.
    Finished {
        /// Link to the gate.
        link: LinkId,
        /// The attempt.
        attempt: AttemptId,
        /// What it says about its host.
        evidence: Evidence,
    },
    /// Everything that a gate has running, as of an epoch of its state.
    Report {
        /// Link to the gate.
        link: LinkId,
        /// Epoch of the gate's state.
        epoch: u64,
        /// What it has running.
        running: Vec<Running>,
    },
    /// Another scheduler speaks of permits.
    PermitMessage(Peer, Message),
    /// The wall clock, Unix time in milliseconds.
    Clock(u64),
    /// Time has passed.
    Tick,
}
