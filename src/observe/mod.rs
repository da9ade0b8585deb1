//! Logs and metrics.

mod clock;
mod log;

pub use clock::unix_millis;
pub use log::open_log;
