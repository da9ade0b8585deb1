//! Load of a service, as its scheduler reports it.

use serde::Deserialize;
use serde::Serialize;

use crate::name::HostName;
use crate::name::ServiceName;

/// A host that accepts no new work and still has slots in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusyHost {
    /// A host of the service.
    pub host: HostName,
    /// Number of its slots in use.
    pub used: u32,
}

/// Load of a service, as known to its scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service that the counts are for.
    pub service: ServiceName,
    /// Number of requests waiting for a slot.
    pub waiting: u32,
    /// Number of slots in use.
    pub running: u32,
    /// Number of slots on all usable hosts.
    pub capacity: u32,
    /// Hosts that accept no new work and still have slots in use.
    pub busy: Vec<BusyHost>,
}
