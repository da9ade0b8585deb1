//! What tells how recent a state is.

use std::time::Duration;
use std::time::Instant;

use crate::member::Voter;

/// What a process learns about how recent its state is.
#[derive(Debug, Clone)]
pub enum FreshnessEvent {
    /// The log told its head, and everything before the head is folded.
    Head {
        /// When the log was asked.
        asked: Instant,
    },
    /// The state has been folded up to an offset.
    RecordApplied {
        /// Offset of the next record.
        offset: u64,
    },
    /// A fleet process answered a probe.
    ProbeReply {
        /// The process; none if it was not dialled, so that it has no vote.
        by: Option<Voter>,
        /// When the probe was sent.
        asked: Instant,
        /// Offset that it had folded up to.
        offset: u64,
        /// Time since it asked the log and was told the head, as of its answer.
        age: Option<Duration>,
    },
}
