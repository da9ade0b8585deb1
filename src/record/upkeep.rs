//! What the planner drains a host for.

use serde::Deserialize;
use serde::Serialize;

use crate::name::PoolName;

/// What a planned drain is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpkeepGoal {
    /// Maintenance: the host is rebooted once it is empty.
    Maintain,
    /// A move to another pool.
    Move(PoolName),
}

/// How far a planned drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpkeepPhase {
    /// Running work ends; no new work starts.
    Emptying,
    /// The platform has been, or is about to be, asked to reboot the host.
    Rebooting,
}

/// How a planned drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpkeepEnd {
    /// The maintenance ended, at this Unix time in milliseconds.
    Maintained(u64),
    /// The host is empty and joins the pool of the goal.
    Moved,
    /// Nothing was done to the host.
    Abandoned,
}

/// A planned drain of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upkeep {
    /// Offset of the record that planned it; also the id of its reboot.
    pub plan: u64,
    /// What it is for.
    pub goal: UpkeepGoal,
    /// How far it has come.
    pub phase: UpkeepPhase,
    /// When the phase began, Unix time in milliseconds.
    pub since: u64,
}
