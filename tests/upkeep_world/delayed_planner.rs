//! A planner that sees the fleet with a delay.

use mimosastep::upkeep::LoadReports;
use mimosastep::upkeep::Planner;
use mimosastep::upkeep::Policy;

/// A planner that sees the fleet with a delay of its own.
pub struct DelayedPlanner {
    pub planner: Planner,
    pub reports: LoadReports,
    /// Age of the state and of the platform's host list that it reads.
    pub lag_ms: u64,
    /// Longest delay until its records reach the log and its reboot requests the platform.
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
