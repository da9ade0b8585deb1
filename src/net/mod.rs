//! Links between the system's processes.

mod event;
mod link;

pub use event::NetEvent;
pub use link::Link;
pub use link::LinkId;
