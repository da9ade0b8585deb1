//! A sorted collection of values that may repeat.

use std::collections::BTreeMap;

/// Values and how often each is there.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Multiset(BTreeMap<u64, usize>);

impl Multiset {
    /// Adds a value once.
    pub fn add(&mut self, value: u64) {
        *self.0.entry(value).or_default() += 1;
    }

    /// Removes a value once, if it's there.
    pub fn remove(&mut self, value: u64) {
        let Some(count) = self.0.get_mut(&value) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(&value);
        }
    }

    /// Returns the least value; 0 if there is none.
    #[must_use]
    pub fn min(&self) -> u64 {
        self.0.keys().next().copied().unwrap_or(0)
    }

    /// Returns the greatest value; 0 if there is none.
    #[must_use]
    pub fn max(&self) -> u64 {
        self.0.keys().next_back().copied().unwrap_or(0)
    }
}
