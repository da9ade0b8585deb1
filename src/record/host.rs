//! A host in the state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::PoolName;
use crate::name::RackName;
use crate::record::Upkeep;

/// A host of the platform and its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Data centre of the host.
    pub dc: DcName,
    /// Rack of the host.
    pub rack: RackName,
    /// HTTP address of its backend server.
    pub addr: SocketAddr,
    /// Maximum number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Pool that the host currently belongs to.
    pub pool: PoolName,
    /// Pool that operators assigned the host to; it differs from `pool` while the planner has moved
    /// the host to another one.
    pub home: PoolName,
    /// False while operators have marked the host out of service.
    pub active: bool,
    /// True while the host takes no new work, for maintenance or a move.
    pub draining: bool,
    /// End of the last maintenance, Unix time in milliseconds; 0 if there was none.
    pub maintained: u64,
    /// True while the platform's host list shows the host as leaving, or omits it.
    pub leaving: bool,
    /// Time of the host list that `leaving` was taken from, Unix time in milliseconds; 0 before the
    /// first.
    pub listed: u64,
    /// The planner's drain of the host; `None` if it is not draining, or drained by operators.
    pub upkeep: Option<Upkeep>,
}
