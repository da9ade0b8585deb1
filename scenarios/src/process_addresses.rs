//! Addresses of a process.

use std::net::SocketAddr;

/// Addresses of one of the system's processes.
#[derive(Debug, Clone, Copy)]
pub struct ProcessAddresses {
    /// QUIC address for the system's other processes.
    pub quic: SocketAddr,
    /// HTTP address for callers, operators and probes.
    pub http: SocketAddr,
    /// Address of the forwarder link through which the process reaches the log.
    pub log: SocketAddr,
}

impl ProcessAddresses {
    /// Number of addresses of a process.
    pub const COUNT: usize = 3;

    /// Takes the first [`Self::COUNT`] of `addresses`.
    #[must_use]
    pub const fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            quic: addresses[0],
            http: addresses[1],
            log: addresses[2],
        }
    }
}
