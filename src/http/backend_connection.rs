//! Connections to backend servers.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use compio::net::TcpStream;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;
use quick_error::quick_error;

use crate::http::ResponseLimits;
use crate::http::buffered_stream::BufferedStream;
use crate::http::buffered_stream::LARGE_BUFFER_BYTES;
use crate::http::buffered_stream::SMALL_BUFFER_BYTES;
use crate::http::response_body::read_response;
use crate::http::socket_buffers::bound_receive_buffer;

/// Size to which the buffer for received bytes grows; headers must fit into it.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Receive buffer that the system is asked for, for a connection with small buffers, in bytes.
const SMALL_RECEIVE_BYTES: usize = 64 << 10;
/// The same for a connection with large buffers.
const LARGE_RECEIVE_BYTES: usize = 256 << 10;

quick_error! {
    /// Why an exchange got no complete response.
    #[derive(Debug)]
    pub enum BackendError {
        /// The connection could not be established.
        Connect(err: io::Error) {
            display("cannot connect to backend server: {}", err)
            source(err)
        }
        /// Nothing of the request was sent.
        Unsent {
            display("connection closed before the request was sent")
        }
        /// The request may have been sent, but no complete response was received.
        Incomplete(reason: String) {
            display("incomplete response from backend server: {}", reason)
        }
    }
}

/// An open connection to one backend server.
#[derive(Debug)]
pub struct BackendConnection {
    addr: SocketAddr,
    /// Start of the process at the other end, once it has told it.
    pub process: Option<u64>,
    sender: SendRequest<Full<Bytes>>,
}

impl BackendConnection {
    /// Connects, and runs the connection in a separate task.
    ///
    /// # Errors
    /// [`BackendError::Connect`] if the connection cannot be established.
    pub async fn open(addr: SocketAddr) -> Result<Self, BackendError> {
        Self::start(addr, SMALL_BUFFER_BYTES, SMALL_RECEIVE_BYTES).await
    }

    /// Like [`Self::open`], with large buffers for long responses.
    ///
    /// # Errors
    /// [`BackendError::Connect`] if the connection cannot be established.
    pub async fn open_with_large_buffers(addr: SocketAddr) -> Result<Self, BackendError> {
        Self::start(addr, LARGE_BUFFER_BYTES, LARGE_RECEIVE_BYTES).await
    }

    async fn start(
        addr: SocketAddr,
        buffer_bytes: usize,
        receive_bytes: usize,
    ) -> Result<Self, BackendError> {
        let stream = connect(addr, receive_bytes).await?;
        let stream = BufferedStream::new(stream, buffer_bytes);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(stream)
            .await
            .map_err(|err| BackendError::Connect(io::Error::other(err)))?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(Self {
            addr,
            process: None,
            sender,
        })
    }

    /// Address of the backend server.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection is open and can take a request.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the complete response, within `limits`.
    ///
    /// # Errors
    /// [`BackendError::Unsent`] if the request certainly did not run, [`BackendError::Incomplete`]
    /// otherwise.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limits: &ResponseLimits,
    ) -> Result<Response<Bytes>, BackendError> {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut err) => {
                return Err(match err.take_message() {
                    Some(_) => BackendError::Unsent,
                    None => BackendError::Incomplete(err.error().to_string()),
                });
            }
        };
        let (parts, body) = response.into_parts();
        if !is_delimited(&parts) {
            let reason = "no content-length or transfer-encoding";
            return Err(BackendError::Incomplete(reason.into()));
        }
        let body = read_response(body, limits).await;
        let body = body.map_err(BackendError::Incomplete)?;
        Ok(Response::from_parts(parts, body))
    }
}

async fn connect(addr: SocketAddr, receive_bytes: usize) -> Result<TcpStream, BackendError> {
    let stream = TcpStream::connect(addr);
    let stream = stream.await.map_err(BackendError::Connect)?;
    bound_receive_buffer(&stream, receive_bytes);
    stream.set_nodelay(true).map_err(BackendError::Connect)?;
    Ok(stream)
}

/// Whether a truncated response can be distinguished from a complete one.
fn is_delimited(parts: &Parts) -> bool {
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
    let length_headers = [CONTENT_LENGTH, TRANSFER_ENCODING];
    has_no_body
        || length_headers
            .iter()
            .any(|name| parts.headers.contains_key(name))
}
