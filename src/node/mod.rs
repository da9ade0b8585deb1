//! What every process of the system has: settings, links, the state, and its membership.

mod args;
mod ended;
mod error;
mod incarnation;
mod probes;
mod process;
mod run;
mod service;

pub use args::Args;
pub use ended::Ended;
pub use error::NodeError;
pub use probes::probe;
pub use probes::probes;
pub use process::Node;
pub use run::run;
pub use service::Service;
