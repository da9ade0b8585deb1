//! A planner with its own, late view of the fleet.

use mimosastep::upkeep::LoadReports;
use mimosastep::upkeep::Planner;
use mimosastep::upkeep::Policy;

/// A planner with its own, late view of the fleet.
pub struct DelayedPlanner {
    pub planner: Planner,
    pub reports: LoadReports,
    /// How late it sees the state and the platform's list.
    pub lag_ms: u64,
    /// Longest time until its records and requests arrive.
    pub delay_ms: u64,
}

impl DelayedPlanner {
    pub fn new(policy: Policy, lag_ms: u64, delay_ms: u64) -> Self {
        Self {
            planner: Planner::new(policy),
            reports: LoadReports::default(),
            lag_ms,
            delay_ms,
        }
    }
}
