//! A fleet process with a vote on freshness.

use std::net::SocketAddr;

use crate::name::NodeName;
use crate::wire::Hello;

/// One incarnation of the fleet process at a voter's address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Voter {
    /// Address that this process connected to.
    pub addr: SocketAddr,
    /// Name by which the process identified itself.
    pub node: NodeName,
    /// Distinguishes successive processes of the same name.
    pub incarnation: u64,
}

impl Voter {
    /// The process `peer`, which was connected to at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, peer: &Hello) -> Self {
        Self {
            addr,
            node: peer.node.clone(),
            incarnation: peer.incarnation,
        }
    }
}
