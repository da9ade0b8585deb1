//! Connections to backend servers.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;
use hyper::rt::Read;
use hyper::rt::Write;
use quick_error::quick_error;

use crate::http::large_buffer_stream::LargeBufferStream;

/// Longest answer of a backend server, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

quick_error! {
    /// An exchange that gave no whole answer.
    #[derive(Debug)]
    pub enum BackendError {
        /// No connection.
        Connect(err: io::Error) {
            display("no connection to the backend server: {}", err)
            source(err)
        }
        /// The request was not sent.
        Unsent {
            display("the connection closed before the request was sent")
        }
        /// Bytes of the request went out, no whole answer came.
        Broken(reason: String) {
            display("no whole answer from the backend server: {}", reason)
        }
    }
}

/// An open connection to one backend server.
#[derive(Debug)]
pub struct BackendConnection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl BackendConnection {
    /// Connects, and runs the connection in a task of its own.
    ///
    /// # Errors
    /// `BackendError::Connect`.
    pub async fn open(addr: SocketAddr) -> Result<Self, BackendError> {
        Self::over(addr, HyperStream::new_plain(connect(addr).await?)).await
    }

    /// The same, with large buffers for long answers.
    ///
    /// # Errors
    /// `BackendError::Connect`.
    pub async fn open_with_large_buffers(addr: SocketAddr) -> Result<Self, BackendError> {
        Self::over(addr, LargeBufferStream::new(connect(addr).await?)).await
    }

    async fn over<T>(addr: SocketAddr, stream: T) -> Result<Self, BackendError>
    where
        T: Read + Write + Unpin + 'static,
    {
        let (sender, connection) = http1::handshake(stream)
            .await
            .map_err(|err| BackendError::Connect(io::Error::other(err)))?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(Self { addr, sender })
    }

    /// The backend server's address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection can take a request.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// `Unsent` if surely nothing ran, `Broken` otherwise.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, BackendError> {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut err) => {
                return Err(match err.take_message() {
                    Some(_) => BackendError::Unsent,
                    None => BackendError::Broken(err.error().to_string()),
                });
            }
        };
        let (parts, body) = response.into_parts();
        if !is_delimited(&parts) {
            let reason = "the answer says nowhere how long it is";
            return Err(BackendError::Broken(reason.into()));
        }
        let body = Limited::new(body, ANSWER_LIMIT)
            .collect()
            .await
            .map_err(|err| BackendError::Broken(err.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, BackendError> {
    let stream = TcpStream::connect(addr);
    let stream = stream.await.map_err(BackendError::Connect)?;
    stream.set_nodelay(true).map_err(BackendError::Connect)?;
    Ok(stream)
}

/// Whether a cut answer could be told from a whole one.
fn is_delimited(parts: &Parts) -> bool {
    let bodyless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
    let named = [CONTENT_LENGTH, TRANSFER_ENCODING];
    bodyless || named.iter().any(|name| parts.headers.contains_key(name))
}
