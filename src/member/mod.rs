//! Membership: the state as each process follows it, how recent it is, and who has which role.

mod applied;
mod change_error;
mod core;
mod detector;
mod follower;
mod freshness;
mod freshness_event;
mod placement;
mod replica;
mod state_event;
mod tasks;
mod voter;
mod voters;

pub use applied::Applied;
pub use change_error::ChangeError;
pub use detector::Detector;
pub use detector::SUSPECT_AFTER;
pub use detector::TICK_EVERY;
pub use detector::TICK_LATE;
pub use follower::Follower;
pub use freshness::FRESH_FOR;
pub use freshness::Freshness;
pub use freshness_event::FreshnessEvent;
pub use placement::place;
pub use replica::KEPT_RECORDS;
pub use replica::Replica;
pub use replica::SNAPSHOT_EVERY;
pub use state_event::StateEvent;
pub use voter::Voter;
pub use voters::Voters;
