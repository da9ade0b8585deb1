//! Permission of a scheduler to run an attempt.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::wire::AttemptId;

/// Permission to run an attempt on one slot of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// From the slot request.
    pub attempt: AttemptId,
    /// The host whose slot is assigned.
    pub host: HostName,
    /// HTTP address of the host's backend server.
    pub addr: SocketAddr,
}

/// An attempt that was granted to a gate and that the gate has not yet reported as finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// From the grant.
    pub attempt: AttemptId,
    /// Service that is called.
    pub service: ServiceName,
    /// Team that the slot is charged to.
    pub team: TeamName,
    /// The host that runs it.
    pub host: HostName,
}
