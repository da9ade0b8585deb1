//! What each team may still start on a scheduler.

use std::collections::BTreeMap;

use crate::name::TeamName;

/// A team with at least this many permits keeps one for urgent requests.
const URGENT_FLOOR: u32 = 8;

/// One team's permits and share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Quota {
    /// Slots that the team occupies on this scheduler.
    pub running: u32,
    /// Slots that it may occupy.
    pub allowed: u32,
    /// Weight of its share.
    pub weight: u32,
    /// Whether it may mark requests as urgent.
    pub urgent: bool,
}

impl Quota {
    /// Whether it may start a request.
    #[must_use]
    pub const fn may_start(&self, urgent: bool) -> bool {
        let kept = !urgent && self.urgent && self.allowed >= URGENT_FLOOR;
        self.running + (kept as u32) < self.allowed
    }
}

/// The quotas of all teams.
pub type Quotas = BTreeMap<TeamName, Quota>;
