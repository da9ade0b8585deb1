//! A fleet process whose word counts.

use std::net::SocketAddr;

use crate::name::NodeName;
use crate::wire::Hello;

/// A fleet process at one of the voters' addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Voter {
    /// Address at which it was dialled.
    pub addr: SocketAddr,
    /// Name of the process.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: u64,
}

impl Voter {
    /// The process `peer`, dialled at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, peer: &Hello) -> Self {
        Self {
            addr,
            node: peer.node.clone(),
            incarnation: peer.incarnation,
        }
    }
}
