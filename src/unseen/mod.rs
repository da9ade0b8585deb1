//! Limits of teams while not all runs are known.
//!
//! After a change of owners, executors that have not reported yet may have runs that the new owner
//! doesn't know of. Until they report or their leases expire, the owner assumes that a team runs as
//! many of its tasks there as fit, so that the team stays within its limit whatever is true.
//! [`UnseenUsage`] is the demand of these tasks, [`UnknownCapacity`] the room that there is for them.

mod unknown_capacity;
mod unseen_demand;
mod unseen_usage;

pub use unknown_capacity::UnknownCapacity;
pub use unseen_demand::UnseenDemand;
pub use unseen_usage::UnseenUsage;
