//! A host in the folded state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::PoolName;
use crate::name::RackName;

/// A host of the platform with its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Data centre that the host stands in.
    pub dc: DcName,
    /// Rack that the host stands in.
    pub rack: RackName,
    /// HTTP address of its backend server.
    pub addr: SocketAddr,
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// The one pool that the host belongs to.
    pub pool: PoolName,
    /// False while operators have taken the host out.
    pub active: bool,
    /// True while the host is being emptied for maintenance or a move.
    pub draining: bool,
    /// Unix time in milliseconds of the last maintenance that ended, 0 if never.
    pub maintained: u64,
}
