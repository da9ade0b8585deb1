//! A team in the state.

use serde::Deserialize;
use serde::Serialize;

/// Weight and limits of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Fair-share weight, at least 1.
    pub weight: u32,
    /// Maximum number of slots that the team may occupy across the fleet.
    pub limit: u32,
    /// Whether the team may mark requests as urgent.
    pub urgent: bool,
}
