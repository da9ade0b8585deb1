//! What the planner looks at.

use crate::record::State;
use crate::upkeep::Listing;
use crate::upkeep::LoadReports;

/// The fleet as a process knows it.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The state.
    pub state: &'a State,
    /// The platform's list; none if it was never read.
    pub listing: Option<&'a Listing>,
    /// Reports of the schedulers.
    pub reports: &'a LoadReports,
}
