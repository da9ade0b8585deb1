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
    /// Why a mesh does not start or a link does not stand.
    #[derive(Debug)]
    pub enum NetError {
        /// The socket cannot be had.
        Io(err: io::Error) {
            from()
            display("socket: {}", err)
            source(err)
        }
        /// A file of certificates or a key cannot be read.
        Pem(path: PathBuf, why: String) {
            display("{}: {}", path.display(), why)
        }
        /// The certificates or the key are unfit for TLS.
        Tls(why: String) {
            display("TLS: {}", why)
        }
        /// A connection cannot be tried.
        Connect(err: ConnectError) {
            from()
            display("connecting: {}", err)
            source(err)
        }
        /// The connection ended.
        Connection(err: ConnectionError) {
            from()
            display("connection: {}", err)
            source(err)
        }
        /// The peer's stream ended.
        Read(err: ReadError) {
            from()
            display("reading: {}", err)
            source(err)
        }
        /// The own stream ended.
        Write(err: WriteError) {
            from()
            display("writing: {}", err)
            source(err)
        }
        /// The peer does not speak the protocol.
        Frame(err: FrameError) {
            from()
            display("garbage: {}", err)
            source(err)
        }
        /// The peer's introduction is unfit, or comes at a wrong time.
        Hello(why: &'static str) {
            display("hello: {}", why)
        }
        /// The peer took too long to introduce itself.
        Late {
            display("no hello in time")
        }
        /// The peer finished its stream.
        Ended {
            display("stream ended")
        }
    }
}

impl NetError {
    /// Whether the peer does not keep to the protocol, as opposed to being gone.
    #[must_use]
    pub const fn is_fault(&self) -> bool {
        matches!(
            self,
            Self::Frame(_) | Self::Hello(_) | Self::Connection(ConnectionError::TransportError(_))
        )
    }
}
