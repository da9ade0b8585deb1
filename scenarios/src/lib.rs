//! Starts a complete site of real processes on loopback addresses and runs scenarios against it.

pub mod authority;
pub mod fit;
pub mod http;
pub mod layout;
pub mod ports;
pub mod process;
pub mod process_addresses;
pub mod runner;
pub mod script;
pub mod site;
pub mod step;
pub mod usage;
