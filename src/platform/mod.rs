//! The platform's list of hosts, and reboots on request.

mod error;
mod hosts;
mod wire;

pub use error::PlatformError;
pub use hosts::HostsClient;
