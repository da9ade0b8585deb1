//! Client of the platform's API that lists hosts and reboots them.

mod error;
mod hosts;
mod wire;

pub use error::PlatformError;
pub use hosts::HostsClient;
