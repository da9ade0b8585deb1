//! Upper limits on what a team may run across the fleet.
//!
//! A team's limit is a number of permits. Its [`Ledger`] knows at most how many each scheduler, a
//! [`Holder`], has, and moves them to where work waits. A holder starts work only on permits that
//! it has; a message that is lost keeps permits unused for a while and never doubles them.

mod account;
mod division;
mod holder;
mod ledger;
mod target;

pub use division::divide;
pub use holder::Holder;
pub use holder::Need;
pub use ledger::HOLD_OFF;
pub use ledger::Ledger;
pub use target::targets;
