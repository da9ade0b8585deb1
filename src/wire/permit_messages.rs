//! Messages that distribute the permits of a team's limit.

use serde::Deserialize;
use serde::Serialize;

use crate::name::TeamName;

/// Holder to ledger: the permits that it holds and could use for a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReport {
    /// Team whose limit the permits belong to.
    pub team: TeamName,
    /// Epoch of the state that the holder acts on.
    pub epoch: u64,
    /// Sequence number of this report, counted from 1 by the holder.
    pub number: u64,
    /// Sequence number of the last [`PermitGrant`] of this ledger that `held` includes.
    pub seen: u64,
    /// Number of permits held, or of slots that the team occupies if that is higher.
    pub held: u32,
    /// Number of permits that it could use now.
    pub wanted: u32,
    /// Epoch as of which every gate has reported its running attempts.
    pub adopted: u64,
    /// Maximum number of permits to keep, from the last grant; `u32::MAX` before the first.
    pub target: u32,
    /// Whether it starts nothing because the limit was lowered and no grant under the lower limit
    /// has arrived yet.
    pub frozen: bool,
}

/// Ledger to holder: additional permits for a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Team whose limit the permits belong to.
    pub team: TeamName,
    /// Epoch from the last report of the holder.
    pub heard: u64,
    /// Sequence number of this grant, counted per pair of ledger and holder.
    pub number: u64,
    /// The team's limit that the ledger applies.
    pub limit: u32,
    /// Number of permits that are added to those held.
    pub added: u32,
    /// Maximum number of permits that the holder should keep; it returns the others as they become
    /// unused.
    pub target: u32,
}
