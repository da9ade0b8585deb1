//! What a scheduler reports about a service.

use serde::Deserialize;
use serde::Serialize;

use crate::name::HostName;
use crate::name::ServiceName;

/// Slots in use on a host that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusyHost {
    /// The host.
    pub host: HostName,
    /// Slots in use.
    pub used: u32,
}

/// Load of a service as its scheduler knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Requests that wait.
    pub waiting: u32,
    /// Slots in use.
    pub running: u32,
    /// Slots of the usable hosts.
    pub capacity: u32,
    /// Hosts with slots in use that take no new work.
    pub busy: Vec<BusyHost>,
}
