//! What all processes have in common: command line, links, replicated state and membership.

mod args;
mod error;
mod incarnation;
mod membership_end;
mod node_process;
mod probe_handler;
mod process;
mod run;

pub use args::Args;
pub use error::NodeError;
pub use membership_end::MembershipEnd;
pub use node_process::NodeProcess;
pub use probe_handler::probe_handler;
pub use probe_handler::probe_reply;
pub use process::Node;
pub use run::run;
