//! The operators' command line.

mod args;
mod client;
mod ctl_error;
mod diff;
mod files;
mod printer;
mod run;

pub use args::Args;
pub use client::FleetClient;
pub use ctl_error::CtlError;
pub use diff::TableDiff;
pub use run::main;
