//! Small stand-ins of the platform and of backend servers.

pub mod clock;
pub mod connections;
pub mod executor;
pub mod hosts;
pub mod log;
pub mod notice;
pub mod query;
pub mod runs;
pub mod serve;
