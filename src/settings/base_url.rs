//! Base URL of an HTTP server.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// An `http` URL of an IP address and a port, without a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BaseUrl(SocketAddr);

impl BaseUrl {
    /// Address and port of the server; the port is never 0.
    #[must_use]
    pub const fn addr(self) -> SocketAddr {
        self.0
    }
}

impl FromStr for BaseUrl {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let host = text.strip_prefix("http://").ok_or("not an http URL")?;
        let addr = host.parse::<SocketAddr>();
        let addr = addr.map_err(|_| "not a URL of an IP address and a port")?;
        if addr.port() == 0 {
            return Err("port 0 cannot be reached");
        }
        Ok(Self(addr))
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}
