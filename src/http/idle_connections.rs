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
pub struct IdleConnections {
    servers: HashMap<SocketAddr, Vec<Entry>>,
    count: usize,
    // Most that are kept in total.
    limit: usize,
}

impl Default for IdleConnections {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
            count: 0,
            limit: usize::MAX,
        }
    }
}

impl IdleConnections {
    /// Sets how many are kept in total.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Keeps a connection that was just used, unless enough are idle already.
    pub fn put(&mut self, now: Instant, backend: BackendConnection) {
        if self.count >= self.limit {
            return;
        }
        let entries = self.servers.entry(backend.addr()).or_default();
        if entries.len() < MAX_IDLE {
            let expires = now + Duration::from_millis(IDLE_TIMEOUT_MS);
            entries.push(Entry { backend, expires });
            self.count += 1;
        }
    }

    /// Removes and returns the most recently used connection that can take a request.
    pub fn take(&mut self, now: Instant, addr: SocketAddr) -> Option<BackendConnection> {
        let entries = self.servers.get_mut(&addr)?;
        while let Some(entry) = entries.pop() {
            self.count -= 1;
            if now < entry.expires && entry.backend.is_idle() {
                return Some(entry.backend);
            }
        }
        None
    }

    /// Drops all connections to a backend server, after a request to it timed out.
    pub fn drop_all(&mut self, addr: SocketAddr) {
        let entries = self.servers.remove(&addr).unwrap_or_default();
        self.count -= entries.len();
    }

    /// Drops the connections that have expired or were closed.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, entries| {
            entries.retain(|entry| now < entry.expires && entry.backend.is_idle());
            !entries.is_empty()
        });
        self.count = self.servers.values().map(Vec::len).sum();
    }
}
