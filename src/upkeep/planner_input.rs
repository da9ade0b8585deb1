//! Input of the planner.

use crate::record::State;
use crate::upkeep::Listing;
use crate::upkeep::LoadReports;

/// A process's view of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// State as of the last record that the process has applied.
    pub state: &'a State,
    /// The platform's list of hosts; none if it was never read.
    pub listing: Option<&'a Listing>,
    /// Load reports of the schedulers.
    pub reports: &'a LoadReports,
}
