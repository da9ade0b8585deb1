//! Role of a member process.

use serde::Deserialize;
use serde::Serialize;

/// The kinds of member processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts HTTP requests of callers and forwards them to backend servers.
    Gate,
    /// Queues requests and grants slots.
    Sched,
    /// Serves the operators' API, plans maintenance, and confirms how recent the state of others is.
    Fleet,
}
