//! Amounts of a host's resources.

use serde::Deserialize;
use serde::Serialize;

/// Processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether this fits beside `used` into `capacity`.
    #[must_use]
    pub const fn fits(&self, used: &Self, capacity: &Self) -> bool {
        used.cpu + self.cpu <= capacity.cpu
            && used.memory + self.memory <= capacity.memory
            && used.gpu + self.gpu <= capacity.gpu
    }

    /// How many times `each` fits beside `used` under this limit, of which 0 means none.
    #[must_use]
    pub fn allows(&self, used: &Self, each: &Self) -> u64 {
        let cpu = times(self.cpu, used.cpu, each.cpu);
        let memory = times(self.memory, used.memory, each.memory);
        let gpu = times(self.gpu, used.gpu, each.gpu);
        cpu.min(memory).min(gpu)
    }

    /// Whether no amount is above the other's.
    #[must_use]
    pub const fn is_within(&self, other: &Self) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpu <= other.gpu
    }

    /// The lesser of each amount.
    #[must_use]
    pub const fn least(&self, other: &Self) -> Self {
        Self {
            cpu: least(self.cpu, other.cpu),
            memory: least(self.memory, other.memory),
            gpu: least(self.gpu, other.gpu),
        }
    }

    /// So many times this amount.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu * count,
            memory: self.memory * count,
            gpu: self.gpu * count,
        }
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

const fn least(one: u64, other: u64) -> u64 {
    if one < other { one } else { other }
}

/// How many times `each` fits beside `used` under a limit, of which 0 means none.
const fn times(limit: u64, used: u64, each: u64) -> u64 {
    if limit == 0 {
        return u64::MAX;
    }
    let Some(left) = limit.checked_sub(used) else {
        return 0;
    };
    match left.checked_div(each) {
        Some(count) => count,
        None => u64::MAX,
    }
}
