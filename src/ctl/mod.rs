//! `mimosactl`, the operators' command-line tool.

mod args;
mod client;
mod ctl_error;
mod diff;
mod drawing;
mod event_filter;
mod explain;
mod files;
mod lines;
mod printer;
mod run;
mod trace;

pub use args::Args;
pub use client::FleetClient;
pub use ctl_error::CtlError;
pub use diff::TableDiff;
pub use event_filter::EventFilter;
pub use event_filter::MergedEvent;
pub use run::main;
