//! The local replica of the state: its replication, its freshness, failure detection of members,
//! and placement of work on them.

mod applied_change;
mod change_error;
mod failure_detector;
mod follower;
mod follower_core;
mod follower_tasks;
mod freshness;
mod freshness_event;
mod notes;
mod placement;
mod replica;
mod snapshot_search;
mod state_event;
mod voter;
mod voter_progress;
mod voters;

pub use applied_change::AppliedChange;
pub use change_error::ChangeError;
pub use failure_detector::FailureDetector;
pub use failure_detector::MAX_TICK_DELAY;
pub use failure_detector::SUSPECT_TIMEOUT;
pub use failure_detector::TICK_INTERVAL;
pub use follower::Follower;
pub use freshness::FRESHNESS_TTL;
pub use freshness::Freshness;
pub use freshness_event::FreshnessEvent;
pub use placement::place;
pub use replica::MAX_CACHED_RECORDS;
pub use replica::Replica;
pub use replica::SNAPSHOT_INTERVAL;
pub use replica::SNAPSHOT_RECORDS;
pub use snapshot_search::SnapshotSearch;
pub use state_event::StateEvent;
pub use voter::Voter;
pub use voters::Voters;
