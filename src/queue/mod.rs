//! Requests that wait for a slot, and the order in which they start.

mod lane;
mod queue;
mod waiting;

pub use queue::Queue;
pub use waiting::Waiting;
