//! What every process of the system has: settings, links, the state, and its membership.

mod args;
mod error;
mod node;
mod probes;
mod run;

pub use args::Args;
pub use error::NodeError;
pub use node::Node;
pub use probes::probe;
pub use probes::probes;
pub use run::run;
