//! What all connections of a process may occupy.

use crate::intake::CONNECTION_BYTES;
use crate::intake::IntakeLimits;
use crate::intake::Listener;

/// Memory of a machine that isn't known, in bytes.
const DEFAULT_MEMORY: usize = 256 << 20;
/// Descriptors of a machine that isn't known.
const DEFAULT_DESCRIPTORS: usize = FILE_DESCRIPTORS + 2 * MAX_CONNECTIONS;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Least memory of a listener, in bytes.
const MIN_BYTES: usize = 1 << 20;
/// Most connections of a listener.
const MAX_CONNECTIONS: usize = 4_096;
/// Part of the memory that is for responses of other servers: one of this many.
const RESPONSE_PART: usize = 8;
/// Part of all descriptors that may be idle connections to other servers: one of this many.
const IDLE_PART: usize = 4;

/// The memory and descriptors of a process, divided between its listeners and its connections to
/// other servers. Each gets a fixed part, so that none takes what another needs, and the parts
/// together are less than the machine has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    memory: usize,
    descriptors: usize,
}

impl Default for Budget {
    /// The budget of a machine that isn't known.
    fn default() -> Self {
        Self::of_machine(None, None)
    }
}

impl Budget {
    /// Returns the budget of a machine with `memory` bytes and this number of descriptors; `None`
    /// where the machine doesn't limit them.
    #[must_use]
    pub fn of_machine(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        Self {
            memory: memory.unwrap_or(DEFAULT_MEMORY),
            descriptors: descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
        }
    }

    /// What the connections of a listener may occupy together.
    #[must_use]
    pub fn listener(self, listener: Listener) -> IntakeLimits {
        let part = listener.part();
        let connections = share(self.for_connections(), part.descriptors);
        IntakeLimits {
            bytes: share(self.memory, part.memory).max(MIN_BYTES),
            connections: connections.clamp(1, MAX_CONNECTIONS),
        }
    }

    /// Most connections to other servers: what the listeners leave.
    #[must_use]
    pub fn outgoing(self) -> usize {
        let accepted = Listener::ALL.iter().map(|listener| {
            let limits = self.listener(*listener);
            limits.connections.min(limits.bytes / CONNECTION_BYTES)
        });
        self.for_connections().saturating_sub(accepted.sum())
    }

    /// Most idle connections to other servers: they leave as many for those in use.
    #[must_use]
    pub fn idle(self) -> usize {
        (self.descriptors / IDLE_PART).min(self.outgoing() / 2)
    }

    /// Memory for responses of other servers, in bytes.
    #[must_use]
    pub fn responses(self) -> usize {
        (self.memory / RESPONSE_PART).max(MIN_BYTES)
    }

    const fn for_connections(self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}

/// That many parts of `total`.
const fn share(total: usize, parts: usize) -> usize {
    // The product of both could overflow.
    total / Listener::WHOLE * parts + total % Listener::WHOLE * parts / Listener::WHOLE
}
