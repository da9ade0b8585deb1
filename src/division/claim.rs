//! What a service needs of the hosts.

use std::collections::BTreeMap;

/// CPU that the work of a service needs, by the priority of its queues, in thousandths of a core. A
/// lower number is more urgent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Claim(BTreeMap<u32, u64>);

impl Claim {
    /// Adds a need of a priority.
    pub fn add(&mut self, priority: u32, cpu: u64) {
        let need = self.0.entry(priority).or_default();
        *need = need.saturating_add(cpu);
    }

    /// Adds a need of a priority, as far as the claim is below `cpu` in total.
    pub fn raise_to(&mut self, priority: u32, cpu: u64) {
        self.add(priority, cpu.saturating_sub(self.total()));
    }

    /// Returns the needs of all priorities together.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0
            .values()
            .fold(0, |sum, &need| sum.saturating_add(need))
    }

    /// Returns the needs of a priority and of all that are more urgent.
    #[must_use]
    pub fn up_to(&self, priority: u32) -> u64 {
        let needs = self.0.range(..=priority).map(|(_, &need)| need);
        needs.fold(0, u64::saturating_add)
    }

    /// Returns the priorities that it has needs of.
    pub fn priorities(&self) -> impl Iterator<Item = u32> {
        self.0.keys().copied()
    }
}
