//! Messages that move permits of a team's upper limit.

use serde::Deserialize;
use serde::Serialize;

use crate::name::TeamName;

/// Holder to ledger: the permits of a team that it holds and could use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReport {
    /// The team.
    pub team: TeamName,
    /// Epoch of the holder's state.
    pub epoch: u64,
    /// Number of this report in the holder's life.
    pub number: u64,
    /// Number of the last [`PermitGrant`] of this ledger that is counted in `held`.
    pub seen: u64,
    /// Permits held, or slots that the team occupies if these are more.
    pub held: u32,
    /// Permits that it could use now.
    pub wanted: u32,
    /// Epoch as of which every gate has reported what it runs.
    pub adopted: u64,
    /// Most that it keeps, as last told.
    pub target: u32,
    /// Whether it starts nothing until a ledger has told it a target under a lowered limit.
    pub frozen: bool,
}

/// Ledger to holder: further permits of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The team.
    pub team: TeamName,
    /// Epoch in the holder's last report.
    pub heard: u64,
    /// Number of this message for the pair of ledger and holder.
    pub number: u64,
    /// The team's limit that the ledger goes by.
    pub limit: u32,
    /// Permits added to what is held.
    pub added: u32,
    /// Most that the holder should keep; it hands back the rest as they come free.
    pub target: u32,
}
