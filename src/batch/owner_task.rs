//! What an owner spends its time on.

use crate::batch::PollPhase;

/// Number of tasks besides the phases of a poll.
const OTHER_TASKS: usize = 2;

/// A part of an owner's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerTask {
    /// Handles the messages in its inbox.
    Messages,
    /// Runs a phase of a poll of the dispatcher.
    Poll(PollPhase),
    /// Carries out the dispatcher's actions.
    Actions,
}

impl OwnerTask {
    /// All tasks, in the order in which a round carries them out.
    pub const ALL: [Self; PollPhase::ALL.len() + OTHER_TASKS] = [
        Self::Messages,
        Self::Poll(PollPhase::Opening),
        Self::Poll(PollPhase::Waves),
        Self::Poll(PollPhase::Pools),
        Self::Poll(PollPhase::Records),
        Self::Poll(PollPhase::Placement),
        Self::Poll(PollPhase::Heartbeats),
        Self::Actions,
    ];

    /// Position in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Messages => 0,
            Self::Poll(phase) => 1 + phase as usize,
            Self::Actions => 1 + PollPhase::ALL.len(),
        }
    }

    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Messages => "messages",
            Self::Poll(phase) => phase.label(),
            Self::Actions => "actions",
        }
    }
}
