//! A scheduler's permission to run.

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
    /// The attempt.
    pub attempt: AttemptId,
    /// The host that has the slot.
    pub host: HostName,
    /// HTTP address of the host's backend server.
    pub addr: SocketAddr,
}

/// An attempt that a gate has been granted and has not reported as finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt.
    pub attempt: AttemptId,
    /// Service of the request.
    pub service: ServiceName,
    /// Team that occupies the slot.
    pub team: TeamName,
    /// The host that runs it.
    pub host: HostName,
}
