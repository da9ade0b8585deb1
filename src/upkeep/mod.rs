//! Upkeep of the fleet: maintenance waves, moves of hosts between pools, and hosts that leave or
//! return.

mod action;
mod filling;
mod host_counts;
mod listing;
mod listing_changes;
mod load_reports;
mod moves;
mod pause_reason;
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
pub use pause_reason::PauseReason;
pub use planner::Planner;
pub use planner_input::PlannerInput;
pub use policy::Policy;
pub use policy::RACK_HOSTS;
pub use task::UPKEEP_KEY;
pub use task::UpkeepContext;
pub use task::UpkeepTask;
