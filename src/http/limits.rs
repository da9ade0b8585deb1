//! Limits of a listener.

/// Limits of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's line and headers; 431 beyond.
    pub header_bytes: usize,
    /// Most bytes that a request may declare as its body; 413 beyond.
    pub body_bytes: usize,
    /// Most connections at once; further ones are closed.
    pub connections: usize,
}

impl Default for Limits {
    /// Limits of a listener for probes and small requests.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            connections: 4_096,
        }
    }
}
