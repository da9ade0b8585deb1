//! Bounds what the system buffers for connections.

use std::net::TcpListener;
use std::os::fd::AsFd;

use socket2::SockRef;

use crate::intake::RECEIVE_BUFFER_BYTES;
use crate::intake::SEND_BUFFER_BYTES;

/// Sets the sizes of the buffers of all connections that a listener accepts. Otherwise the system
/// grows them to some megabytes for a peer that sends much or reads nothing.
pub fn bound_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    // A system that refuses the sizes keeps its own; the listener works all the same.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
}

/// Sets the size of the receive buffer of a connection.
pub fn bound_receive_buffer(stream: &impl AsFd, bytes: usize) {
    // A system that refuses the size keeps its own; the connection works all the same.
    let _ = SockRef::from(stream).set_recv_buffer_size(bytes);
}
