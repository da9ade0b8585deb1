//! Upkeep of the fleet: maintenance waves, moves between pools, departures and returns.

mod action;
mod census;
mod filling;
mod listing;
mod listing_changes;
mod load_reports;
mod moves;
mod pause;
mod planner;
mod planner_input;
mod policy;
mod progress;
mod task;
mod waves;

pub use action::Action;
pub use filling::FILLING_MS;
pub use filling::filled_slots;
pub use listing::ListedHost;
pub use listing::Listing;
pub use listing_changes::listing_changes;
pub use load_reports::LoadReports;
pub use pause::Pause;
pub use planner::Planner;
pub use planner_input::PlannerInput;
pub use policy::Policy;
pub use policy::RACK_HOSTS;
pub use task::UPKEEP_KEY;
pub use task::UpkeepParts;
pub use task::UpkeepTask;
