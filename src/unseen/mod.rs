//! Upper bounds of what teams may be running on executors whose runs the owner doesn't know.
//!
//! After a change of owners, executors that have not reported yet may have runs of earlier owners.
//! Until they report or their leases have expired, a team counts as using what its tasks may be
//! using there, so that it stays within its limit. [`UnseenUsage`] sums up the tasks,
//! [`UnknownCapacity`] the executors; together they bound the usage.

mod unknown_capacity;
mod unseen_demand;
mod unseen_usage;

pub use unknown_capacity::UnknownCapacity;
pub use unseen_demand::UnseenDemand;
pub use unseen_usage::UnseenUsage;
