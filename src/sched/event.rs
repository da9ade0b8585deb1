//! Inputs of the scheduler state machine.

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
    /// A newer fleet state was applied.
    State(Rc<State>),
    /// The state counts as fresh until this time; no slots are granted later.
    Fresh(Instant),
    /// A link to a gate was opened.
    Up(LinkId, Peer),
    /// A link to a gate was lost.
    Down(LinkId),
    /// A gate requests a slot.
    SlotRequest(LinkId, SlotRequest),
    /// A gate no longer needs a slot.
    Cancel(LinkId, AttemptId),
    /// An attempt has finished.
    Finished {
        /// Link to the gate.
        link: LinkId,
        /// The finished attempt.
        attempt: AttemptId,
        /// What the attempt shows about its host's health.
        evidence: Evidence,
    },
    /// Complete list of the attempts that a gate has running, as of an epoch of its state.
    Report {
        /// Link to the gate.
        link: LinkId,
        /// Epoch of the gate's state.
        epoch: u64,
        /// Attempts that the gate has running.
        running: Vec<Running>,
    },
    /// Another scheduler sent a permit message: [`Message::PermitReport`] or [`Message::PermitGrant`].
    PermitMessage(Peer, Message),
    /// Wall clock reading, Unix time in milliseconds.
    Clock(u64),
    /// Periodic timer.
    Tick,
}
