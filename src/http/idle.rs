//! Connections to backend servers that wait for their next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::http::BackendConnection;

/// Idle connections kept to one backend server.
const IDLE_LIMIT: usize = 4;
/// Longest that a connection is kept idle, in milliseconds.
const IDLE_MS: u64 = 4_000;

struct Entry {
    backend: BackendConnection,
    expires: Instant,
}

/// Idle connections by backend server, each dropped before it could have been forgotten on the
/// way.
#[derive(Default)]
pub struct IdleConnections {
    servers: HashMap<SocketAddr, Vec<Entry>>,
}

impl IdleConnections {
    /// Keeps a connection that has just been used, unless there are enough.
    pub fn put(&mut self, now: Instant, backend: BackendConnection) {
        let entries = self.servers.entry(backend.addr()).or_default();
        if entries.len() < IDLE_LIMIT {
            let expires = now + Duration::from_millis(IDLE_MS);
            entries.push(Entry { backend, expires });
        }
    }

    /// Takes out the connection used last, if one can take a request.
    pub fn take(&mut self, now: Instant, addr: SocketAddr) -> Option<BackendConnection> {
        let entries = self.servers.get_mut(&addr)?;
        while let Some(entry) = entries.pop() {
            if now < entry.expires && entry.backend.is_idle() {
                return Some(entry.backend);
            }
        }
        None
    }

    /// Drops the connections to a backend server, because one to it went silent.
    pub fn drop_all(&mut self, addr: SocketAddr) {
        self.servers.remove(&addr);
    }

    /// Drops the connections whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, entries| {
            entries.retain(|entry| now < entry.expires && entry.backend.is_idle());
            !entries.is_empty()
        });
    }
}
