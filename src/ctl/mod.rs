//! The operators' command line.

mod args;
mod client;
mod ctl_error;
mod diff;
mod drawing;
mod explain;
mod files;
mod lines;
mod printer;
mod run;
mod selection;
mod trace;

pub use args::Args;
pub use client::FleetClient;
pub use ctl_error::CtlError;
pub use diff::TableDiff;
pub use run::main;
pub use selection::Selection;
pub use selection::Told;
