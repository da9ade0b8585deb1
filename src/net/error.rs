//! Errors of links.

use std::io;
use std::path::PathBuf;

use compio_quic::ConnectError;
use compio_quic::ConnectionError;
use compio_quic::ReadError;
use compio_quic::WriteError;
use quick_error::quick_error;

use crate::net::FrameError;

quick_error! {
    /// Why a mesh cannot start, or why a link was not established or has ended.
    #[derive(Debug)]
    pub enum NetError {
        /// The socket cannot be opened or used.
        Io(err: io::Error) {
            from()
            display("socket: {}", err)
            source(err)
        }
        /// A PEM file cannot be read or holds no usable certificate or key.
        Pem(path: PathBuf, reason: String) {
            display("{}: {}", path.display(), reason)
        }
        /// The certificates or the key cannot be used for TLS.
        Tls(reason: String) {
            display("TLS: {}", reason)
        }
        /// The connection attempt cannot be started.
        Connect(err: ConnectError) {
            from()
            display("cannot connect: {}", err)
            source(err)
        }
        /// The connection failed or was closed.
        Connection(err: ConnectionError) {
            from()
            display("connection closed: {}", err)
            source(err)
        }
        /// Reading from the stream failed.
        Read(err: ReadError) {
            from()
            display("cannot read from stream: {}", err)
            source(err)
        }
        /// Writing to the stream failed.
        Write(err: WriteError) {
            from()
            display("cannot write to stream: {}", err)
            source(err)
        }
        /// The peer sent bytes that are not a valid frame.
        Frame(err: FrameError) {
            from()
            display("invalid frame: {}", err)
            source(err)
        }
        /// A `Hello` is missing, repeated or carries an invalid name.
        Hello(reason: &'static str) {
            display("handshake: {}", reason)
        }
        /// The handshake did not complete before its deadline.
        HandshakeTimeout {
            display("handshake timed out")
        }
        /// The handshake had to make room for others.
        HandshakeCancelled {
            display("too many handshakes at once")
        }
        /// The peer closed its stream.
        StreamClosed {
            display("stream closed")
        }
    }
}

impl NetError {
    /// Whether the peer violated the protocol, rather than disconnected.
    #[must_use]
    pub const fn is_protocol_violation(&self) -> bool {
        matches!(
            self,
            Self::Frame(_) | Self::Hello(_) | Self::Connection(ConnectionError::TransportError(_))
        )
    }
}
