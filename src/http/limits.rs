//! Limits of an HTTP listener.

use crate::intake::IntakeLimits;

/// Limits of one HTTP listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of request line and headers in bytes; larger ones get status 431.
    pub header_bytes: usize,
    /// Maximum size in bytes that a request may declare for its body; larger ones get status 413.
    pub body_bytes: usize,
    /// What the connections may occupy together.
    pub intake: IntakeLimits,
}

impl Default for Limits {
    /// Limits for health probes and small requests.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            intake: IntakeLimits::default(),
        }
    }
}
