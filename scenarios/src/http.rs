//! A minimal blocking HTTP client for stand-ins and probes.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

/// Timeout for connecting and for each read, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 5_000;

/// Status and body of an HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// The body as text.
    pub body: String,
}

impl HttpResponse {
    /// The body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Sends a request on a new connection and returns the response.
///
/// # Errors
/// If the connection fails, or no complete response arrives in time.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<HttpResponse> {
    let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n");
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!("content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    parse(&response).ok_or_else(|| io::Error::other("no whole answer"))
}

fn parse(response: &str) -> Option<HttpResponse> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(HttpResponse {
        status,
        body: body.to_owned(),
    })
}
