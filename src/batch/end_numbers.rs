//! Numbers of the run ends that an executor has reported.

/// How far the run ends of an executor's process are reported, logged and forgotten. A process numbers
/// its ends from 1 on.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndNumbers {
    /// Highest that was reported.
    pub seen: u64,
    /// Highest that is in the log.
    pub acked: u64,
    /// Highest up to which an acknowledgement was answered, so that the process has forgotten them.
    pub released: u64,
    /// The last report did not list all of them.
    pub more: bool,
}

impl EndNumbers {
    /// Whether none is left to be reported or logged.
    #[must_use]
    pub const fn are_logged(&self) -> bool {
        self.seen <= self.acked && !self.more
    }

    /// Notes that the executor is given up: what isn't logged will not be.
    pub const fn give_up(&mut self) {
        self.seen = self.acked;
        self.more = false;
    }
}
