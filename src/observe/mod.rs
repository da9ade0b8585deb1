//! Logs and metrics.

mod log;

pub use log::open_log;
