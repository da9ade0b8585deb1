//! A process of the system in the folded state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::record::Role;

/// A process that has joined and has not been ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// What the process does.
    pub role: Role,
    /// Distinguishes successive processes of one name.
    pub incarnation: u64,
    /// QUIC address for the other processes.
    pub addr: SocketAddr,
    /// Data centre that the process runs in.
    pub dc: DcName,
    /// True once the process has announced that it is leaving: it gets no new role.
    pub leaving: bool,
}
