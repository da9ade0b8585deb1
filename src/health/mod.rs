//! Which hosts fail everything and which requests fail everywhere, told apart by evidence.

mod change;
mod core;
mod ejection;
mod host_record;
mod jobs;

pub use self::core::Health;
pub use change::HealthChange;
