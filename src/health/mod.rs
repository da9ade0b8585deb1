//! Outlier detection: tells hosts that fail every request from requests that fail on every host.

mod core;
mod ejection;
mod failed_requests;
mod health_change;
mod host_record;

pub use self::core::Health;
pub use health_change::HealthChange;
