//! What a process of the system does.

use serde::Deserialize;
use serde::Serialize;

/// The kinds of processes that join the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Terminates callers' HTTP and sends requests to backend servers.
    Gate,
    /// Queues requests and grants slots.
    Sched,
    /// Serves operators, plans upkeep, and vouches for the state's freshness.
    Fleet,
}
