//! Drains of hosts started by the planner.

use serde::Deserialize;
use serde::Serialize;

use crate::name::PoolName;

/// Purpose of a planned drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpkeepGoal {
    /// Maintenance: the host is rebooted once it is drained.
    Maintain,
    /// Move to this pool.
    Move(PoolName),
}

/// Progress of a planned drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpkeepPhase {
    /// The host takes no new work while running work completes.
    Emptying,
    /// The host is drained; the platform may reboot it at any moment.
    Rebooting,
}

/// Result of a planned drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpkeepEnd {
    /// Maintenance ended at this Unix time in milliseconds.
    Maintained(u64),
    /// The drained host joined the pool of its [`UpkeepGoal::Move`].
    Moved,
    /// The drain was cancelled before the host was rebooted or moved.
    Abandoned,
}

/// A planned drain of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upkeep {
    /// Offset of its [`Change::Plan`](crate::record::Change::Plan) record; also the id of its
    /// reboot request.
    pub plan: u64,
    /// Purpose of the drain.
    pub goal: UpkeepGoal,
    /// Progress of the drain.
    pub phase: UpkeepPhase,
    /// Start of the current phase, Unix time in milliseconds.
    pub since: u64,
}
