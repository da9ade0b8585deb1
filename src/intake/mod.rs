//! Bounds what the connections of clients take of the process.
//!
//! A [`Budget`] divides the machine of a process between its listeners. Each connection, and each body
//! until its request is answered, counts against its listener's part of the memory. Where that or the
//! number of connections is used up, connections are cut: those of the client address that holds most,
//! if it holds more than the one that needs room; otherwise the oldest ones that have stood still for
//! a second, incomplete requests before idle connections; otherwise the oldest of the same address.
//! So a newcomer gets in beside a crowd from its own address, and has as long to send its request as
//! the crowd takes to fill the listener again. A complete request is never cut. If that leaves no
//! room, the new one is refused.
//!
//! [`Intake`] decides for a listener; [`Intakes`] is shared by the connections of a listener, which hold a
//! [`Permit`] each.

mod budget;
mod closing;
mod decision;
mod intake_core;
mod intake_event;
mod intake_limits;
mod intakes;
mod listener;
mod permit;
mod stage;
mod waiting;

pub use budget::Budget;
pub use decision::Decision;
pub use intake_core::CONNECTION_BYTES;
pub use intake_core::Intake;
pub use intake_core::RECEIVE_BUFFER_BYTES;
pub use intake_core::SEND_BUFFER_BYTES;
pub use intake_event::IntakeEvent;
pub use intake_limits::IntakeLimits;
pub use intakes::Intakes;
pub use listener::Listener;
pub use permit::Permit;
pub use stage::Stage;
