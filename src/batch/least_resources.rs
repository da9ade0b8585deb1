//! The least of each resource among amounts that come and go.

use crate::batch::Resources;
use crate::batch::multiset::Multiset;

/// The least of each resource among a number of amounts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LeastResources {
    cpu: Multiset,
    memory: Multiset,
    gpu: Multiset,
}

impl LeastResources {
    /// Adds an amount.
    pub fn add(&mut self, amount: &Resources) {
        self.cpu.add(amount.cpu);
        self.memory.add(amount.memory);
        self.gpu.add(amount.gpu);
    }

    /// Removes an amount that was added.
    pub fn remove(&mut self, amount: &Resources) {
        self.cpu.remove(amount.cpu);
        self.memory.remove(amount.memory);
        self.gpu.remove(amount.gpu);
    }

    /// Returns the least of each resource; nothing if there are no amounts.
    #[must_use]
    pub fn min(&self) -> Resources {
        Resources {
            cpu: self.cpu.min(),
            memory: self.memory.min(),
            gpu: self.gpu.min(),
        }
    }
}
