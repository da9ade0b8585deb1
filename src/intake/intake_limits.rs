//! Limits of what connections occupy.

/// Memory for clients of a process whose machine is not known, in bytes.
const DEFAULT_BYTES: usize = 64 << 20;
/// Least memory for clients, in bytes.
const MIN_BYTES: usize = 1 << 20;
/// Connections of a process whose machine is not known.
const DEFAULT_CONNECTIONS: usize = 4_096;
/// Part of the machine's memory that is for clients: one of this many.
const MEMORY_PART: usize = 4;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that is for clients; the rest is for executors, the store and
/// other nodes.
const DESCRIPTOR_PART: usize = 2;

/// Limits of what the connections of a listener occupy together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Memory of connections and bodies, in bytes.
    pub bytes: usize,
    /// Number of open connections.
    pub connections: usize,
}

impl Default for IntakeLimits {
    fn default() -> Self {
        Self {
            bytes: DEFAULT_BYTES,
            connections: DEFAULT_CONNECTIONS,
        }
    }
}

impl IntakeLimits {
    /// Returns the limits for a machine with `memory` bytes and this number of descriptors; `None`
    /// where the machine doesn't limit them.
    #[must_use]
    pub fn of_machine(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let default = Self::default();
        let connections =
            descriptors.map(|count| count.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_PART);
        Self {
            bytes: memory.map_or(default.bytes, |memory| {
                (memory / MEMORY_PART).max(MIN_BYTES)
            }),
            connections: connections.map_or(default.connections, |count| {
                count.clamp(1, DEFAULT_CONNECTIONS)
            }),
        }
    }
}
