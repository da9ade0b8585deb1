//! Idle connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::http::BackendConnection;

/// Maximum number of idle connections to one backend server.
const MAX_IDLE: usize = 4;
/// How long an idle connection is kept.
const IDLE_TIMEOUT_MS: u64 = 4_000;

struct Entry {
    backend: BackendConnection,
    expires: Instant,
}

/// Idle connections by backend server. Each is dropped before a device on the network path could
/// have discarded it silently.
#[derive(Default)]
pub struct IdleConnections {
    servers: HashMap<SocketAddr, Vec<Entry>>,
}

impl IdleConnections {
    /// Keeps a connection that was just used, unless enough are idle already.
    pub fn put(&mut self, now: Instant, backend: BackendConnection) {
        let entries = self.servers.entry(backend.addr()).or_default();
        if entries.len() < MAX_IDLE {
            let expires = now + Duration::from_millis(IDLE_TIMEOUT_MS);
            entries.push(Entry { backend, expires });
        }
    }

    /// Removes and returns the most recently used connection that can take a request.
    pub fn take(&mut self, now: Instant, addr: SocketAddr) -> Option<BackendConnection> {
        let entries = self.servers.get_mut(&addr)?;
        while let Some(entry) = entries.pop() {
            if now < entry.expires && entry.backend.is_idle() {
                return Some(entry.backend);
            }
        }
        None
    }

    /// Drops all connections to a backend server, after a request to it timed out.
    pub fn drop_all(&mut self, addr: SocketAddr) {
        self.servers.remove(&addr);
    }

    /// Drops the connections that have expired or were closed.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, entries| {
            entries.retain(|entry| now < entry.expires && entry.backend.is_idle());
            !entries.is_empty()
        });
    }
}
