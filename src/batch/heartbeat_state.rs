//! State of the heartbeats to an executor.

use std::time::Instant;

/// When an executor gets its next heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatState {
    /// At this time, if a heartbeat is needed.
    Due(Instant),
    /// Not before the heartbeat that was sent at this time is answered.
    Sent(Instant),
    /// Once the ends that it reported are in the log; at this time at the latest, to renew its leases.
    AwaitingLog(Instant),
}

impl HeartbeatState {
    /// Returns when the heartbeat was sent that is not answered yet; `None` if there is none.
    #[must_use]
    pub const fn sent_at(self) -> Option<Instant> {
        match self {
            Self::Sent(at) => Some(at),
            Self::Due(_) | Self::AwaitingLog(_) => None,
        }
    }
}
