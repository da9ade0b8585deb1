//! What every process of the system has: settings, links, the state, and its membership.

mod args;
mod error;
mod probes;
mod process;
mod run;

pub use args::Args;
pub use error::NodeError;
pub use probes::probe;
pub use probes::probes;
pub use process::Node;
pub use run::run;
