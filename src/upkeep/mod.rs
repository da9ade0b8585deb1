//! Upkeep of the fleet: maintenance waves, moves between pools, departures and returns.

mod action;
mod census;
mod departures;
mod filling;
mod listing;
mod moves;
mod pause;
mod planner;
mod policy;
mod progress;
mod reports;
mod site;
mod task;
mod waves;

pub use action::Action;
pub use departures::departures;
pub use filling::FILLING_MS;
pub use filling::filled_slots;
pub use listing::Listed;
pub use listing::Listing;
pub use pause::Pause;
pub use planner::Planner;
pub use policy::Policy;
pub use policy::RACK_HOSTS;
pub use reports::Reports;
pub use site::Site;
pub use task::UPKEEP_KEY;
pub use task::UpkeepParts;
pub use task::UpkeepTask;
