//! Requests that wait for a slot, and the order in which they start.

mod lane;
mod lanes;
mod waiting;

pub use lanes::Queue;
pub use waiting::Waiting;
