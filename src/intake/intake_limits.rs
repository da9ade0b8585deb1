//! Limits of what connections occupy.

use crate::intake::Budget;
use crate::intake::Listener;

/// Limits of what the connections of a listener occupy together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Memory of connections and bodies, in bytes.
    pub bytes: usize,
    /// Number of open connections.
    pub connections: usize,
}

impl Default for IntakeLimits {
    /// Limits of the only listener of a process whose machine isn't known.
    fn default() -> Self {
        Budget::default().listener(Listener::Front)
    }
}
