//! Amounts of a host's resources.

use serde::Deserialize;
use serde::Serialize;

/// Processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Demand {
    /// Whether this fits beside `used` into `capacity`.
    #[must_use]
    pub const fn fits(&self, used: &Self, capacity: &Self) -> bool {
        used.cpu + self.cpu <= capacity.cpu
            && used.memory + self.memory <= capacity.memory
            && used.gpu + self.gpu <= capacity.gpu
    }

    /// Adds another amount.
    pub const fn add(&mut self, other: &Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Takes another amount off, down to zero.
    pub const fn sub(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}
