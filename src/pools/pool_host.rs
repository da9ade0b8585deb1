//! A host as the balancer sees it.

use std::time::Instant;

use crate::name::HostName;

/// A host in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolHost {
    /// Name of the host.
    pub host: HostName,
    /// CPU of the host, in thousandths of a core.
    pub cpu: u64,
    /// When its tasks are expected to have ended.
    pub ends: Instant,
    /// No task runs there.
    pub idle: bool,
    /// A long-running task runs there.
    pub long_running: bool,
    /// It can take new work or be moved: it is up, its executor responds and does not drain, and no
    /// other order for it is due. Hosts of the spare pool need no executor.
    pub available: bool,
}
