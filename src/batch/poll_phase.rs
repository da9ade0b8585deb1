//! Phases of a poll of the dispatcher.

/// A phase of a poll of the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollPhase {
    /// Opens the occurrences that are due and drops jobs that ended long ago.
    Opening,
    /// Plans maintenance waves.
    Waves,
    /// Balances the pools.
    Pools,
    /// Writes records of its own: rewrites, waits and grants.
    Records,
    /// Selects the tasks to start.
    Placement,
    /// Ends expired leases and sends heartbeats.
    Heartbeats,
}

impl PollPhase {
    /// All phases, in the order in which a poll runs them.
    pub const ALL: [Self; 6] = [
        Self::Opening,
        Self::Waves,
        Self::Pools,
        Self::Records,
        Self::Placement,
        Self::Heartbeats,
    ];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Opening => "opening",
            Self::Waves => "waves",
            Self::Pools => "pools",
            Self::Records => "records",
            Self::Placement => "placement",
            Self::Heartbeats => "heartbeats",
        }
    }
}
