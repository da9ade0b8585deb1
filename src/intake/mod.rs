//! Bounds what the connections of clients occupy.
//!
//! Each connection, and each body until its request is answered, counts against one budget of
//! memory. Where it or the number of connections is used up, place is made: first the connection
//! whose request has been incomplete for longest is cut, then the one that has been idle for longest.
//! One whose request is complete is never cut, nor one that has only begun. If none is left, the new
//! one is refused.
//!
//! [`Intake`] decides; [`Intakes`] is shared by the connections of a listener, which hold a
//! [`Permit`] each.

mod intake_core;
mod intake_event;
mod intake_limits;
mod intakes;
mod permit;
mod stage;

pub use intake_core::Admission;
pub use intake_core::Intake;
pub use intake_event::IntakeEvent;
pub use intake_limits::IntakeLimits;
pub use intakes::Intakes;
pub use permit::Permit;
pub use stage::Stage;
