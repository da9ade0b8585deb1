//! Per-team quotas on one scheduler.

use std::collections::BTreeMap;

use crate::name::TeamName;

/// Number of permits from which on a team that may send urgent requests keeps one of them free for
/// such requests.
const URGENT_MIN_PERMITS: u32 = 8;

/// Slot usage, limit and weight of one team on a scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Quota {
    /// Number of slots that the team occupies.
    pub running: u32,
    /// Number of slots that it may occupy.
    pub allowed: u32,
    /// Weight of its fair share among the teams.
    pub weight: u32,
    /// Whether it may mark requests as urgent.
    pub urgent: bool,
}

impl Quota {
    /// Whether the team may start one more request, urgent or not.
    #[must_use]
    pub const fn may_start(&self, urgent: bool) -> bool {
        let reserved = !urgent && self.urgent && self.allowed >= URGENT_MIN_PERMITS;
        self.running + (reserved as u32) < self.allowed
    }
}

/// The quotas of all teams.
pub type Quotas = BTreeMap<TeamName, Quota>;
