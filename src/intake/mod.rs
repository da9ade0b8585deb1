//! Bounds what the connections of clients take of the process.
//!
//! Each connection, and each body until its request is answered, counts against one budget of
//! memory. Where the budget or the number of connections is used up, connections are cut: those of
//! the client address that holds most, if it holds more than the one that needs room; otherwise the
//! oldest ones that have stood still for a second. Incomplete requests go before idle connections,
//! and a complete request is never cut. If that leaves no room, the new one is refused.
//!
//! [`Intake`] decides; [`Intakes`] is shared by the connections of a listener, which hold a
//! [`Permit`] each.

mod decision;
mod intake_core;
mod intake_event;
mod intake_limits;
mod intakes;
mod permit;
mod stage;
mod waiting;

pub use decision::Decision;
pub use intake_core::CONNECTION_BYTES;
pub use intake_core::Intake;
pub use intake_event::IntakeEvent;
pub use intake_limits::IntakeLimits;
pub use intakes::Intakes;
pub use permit::Permit;
pub use stage::Stage;
