//! A member process in the state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::record::Role;

/// A process that has joined and has not been removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Determines which peers connect to the process and what work it is assigned.
    pub role: Role,
    /// Distinguishes successive processes of the same name; increases with each.
    pub incarnation: u64,
    /// QUIC address at which other processes connect.
    pub addr: SocketAddr,
    /// Data centre of the process.
    pub dc: DcName,
    /// True once the process has announced that it is about to leave: it is assigned no new work.
    pub leaving: bool,
}
