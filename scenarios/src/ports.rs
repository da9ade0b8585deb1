//! Allocation of free loopback addresses.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// Finds addresses whose ports are free for both TCP and UDP. All sockets stay bound until the last
/// address is found, so that the addresses differ.
///
/// # Errors
/// If no port can be bound.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    while held.len() < count {
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        if let Ok(udp) = UdpSocket::bind(tcp.local_addr()?) {
            held.push((tcp, udp));
        }
    }
    held.iter().map(|(tcp, _)| tcp.local_addr()).collect()
}
