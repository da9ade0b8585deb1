//! A team in the folded state.

use serde::Deserialize;
use serde::Serialize;

/// One row of the operators' table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Weight of the team's share when the fleet is full.
    pub weight: u32,
    /// Most slots that the team may occupy across the fleet.
    pub limit: u32,
    /// Whether the team may mark requests as urgent.
    pub urgent: bool,
}
