//! Division of the hosts between services that together need more than there are.
//!
//! The rule, as operators can read it: half of the CPU is divided equally between the services that
//! need it, none getting more than its need; the rest goes to needs of the most urgent priority
//! first, in proportion to what the services still lack of it. [`TeamRoom`] leaves out what teams may
//! not run, so that no host is given for it.

mod claim;
mod divide;
mod team_room;

pub use claim::Claim;
pub use divide::divide;
pub use team_room::TeamRoom;
