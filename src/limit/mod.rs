//! Upper limits on what a team may run across the fleet.

mod division;

pub use division::divide;
