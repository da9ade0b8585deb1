//! Events that determine the freshness of a state.

use std::time::Duration;
use std::time::Instant;

use crate::member::Voter;

/// An event that affects how recent the state of a process is known to be.
#[derive(Debug, Clone)]
pub enum FreshnessEvent {
    /// The log reported its head, and all records before the head are applied.
    Head {
        /// When the request to the log was sent.
        asked: Instant,
    },
    /// Records have been applied.
    RecordApplied {
        /// Offset of the next record to apply.
        offset: u64,
    },
    /// A fleet process replied to a probe.
    ProbeReply {
        /// The process; `None` if this process did not open the connection, which leaves the reply
        /// without a vote.
        by: Option<Voter>,
        /// When the probe was sent.
        asked: Instant,
        /// Offset of the next record that the replying process had to apply.
        offset: u64,
        /// Time since its state was last confirmed by the log, as of the reply; `None` if it never
        /// was.
        age: Option<Duration>,
    },
}
