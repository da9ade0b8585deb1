//! A host in the folded state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::PoolName;
use crate::name::RackName;
use crate::record::Upkeep;

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
    /// Pool that operators put the host in; it differs from `pool` while the host is lent.
    pub home: PoolName,
    /// False while operators have taken the host out.
    pub active: bool,
    /// True while the host is being emptied for maintenance or a move.
    pub draining: bool,
    /// Unix time in milliseconds of the last maintenance that ended, 0 if never.
    pub maintained: u64,
    /// True while the platform lists the host as leaving, or no longer lists it.
    pub leaving: bool,
    /// Age of the platform's list that `leaving` is taken from, as Unix time in milliseconds.
    pub listed: u64,
    /// Why the planner drains the host; none if it is not draining, or operators drain it.
    pub upkeep: Option<Upkeep>,
}
