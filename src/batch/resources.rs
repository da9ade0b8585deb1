//! Amounts of CPU, memory and accelerators.

use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource of a host: a capacity, a usage, a demand or a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether this amount and `used` together are within `capacity`.
    #[must_use]
    pub const fn fits(&self, used: &Self, capacity: &Self) -> bool {
        sum_within(used.cpu, self.cpu, capacity.cpu)
            && sum_within(used.memory, self.memory, capacity.memory)
            && sum_within(used.gpu, self.gpu, capacity.gpu)
    }

    /// Returns how many times `each` can be added to `used` under this limit, where 0 means
    /// unlimited.
    #[must_use]
    pub fn max_count(&self, used: &Self, each: &Self) -> u64 {
        let cpu = times(self.cpu, used.cpu, each.cpu);
        let memory = times(self.memory, used.memory, each.memory);
        let gpu = times(self.gpu, used.gpu, each.gpu);
        cpu.min(memory).min(gpu)
    }

    /// Whether this is at most `other` in each resource.
    #[must_use]
    pub const fn is_within(&self, other: &Self) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpu <= other.gpu
    }

    /// Returns what is left beside `used` under this limit, where 0 means unlimited.
    #[must_use]
    pub const fn left(&self, used: &Self) -> Self {
        Self {
            cpu: left(self.cpu, used.cpu),
            memory: left(self.memory, used.memory),
            gpu: left(self.gpu, used.gpu),
        }
    }

    /// Returns the minimum of the two in each resource.
    #[must_use]
    pub const fn min(&self, other: &Self) -> Self {
        Self {
            cpu: lesser(self.cpu, other.cpu),
            memory: lesser(self.memory, other.memory),
            gpu: lesser(self.gpu, other.gpu),
        }
    }

    /// Returns the maximum of the two in each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns this amount multiplied by `count`, saturating at the largest number.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Adds another amount in each resource, saturating at the largest number.
    pub const fn add(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// Subtracts another amount, saturating at zero.
    pub const fn sub(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}

const fn sum_within(one: u64, other: u64, limit: u64) -> bool {
    match one.checked_add(other) {
        Some(sum) => sum <= limit,
        None => false,
    }
}

const fn lesser(one: u64, other: u64) -> u64 {
    if one < other { one } else { other }
}

const fn left(limit: u64, used: u64) -> u64 {
    if limit == 0 {
        return u64::MAX;
    }
    limit.saturating_sub(used)
}

/// Returns how many times `each` can be added to `used` under a limit, where 0 means unlimited.
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
