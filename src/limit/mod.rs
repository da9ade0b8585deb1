//! Limits on the number of requests that a team may run across the fleet.
//!
//! A team's limit is a number of permits, one for each running request. The team's [`Ledger`], kept
//! by one scheduler, tracks an upper bound of the permits that each scheduler holds and moves
//! permits to the schedulers with demand. A scheduler's [`Holder`] starts requests only with
//! permits that it has. A lost message leaves permits unused for a while, but never duplicates
//! them.

mod account;
mod division;
mod holder;
mod ledger;
mod target;

pub use division::divide;
pub use holder::Demand;
pub use holder::Holder;
pub use ledger::Ledger;
pub use ledger::RECLAIM_DELAY;
pub use target::targets;
