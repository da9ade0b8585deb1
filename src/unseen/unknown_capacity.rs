//! Capacity of the executors with unknown runs.

use std::collections::BTreeMap;

use crate::batch::Resources;
use crate::name::ServiceName;

/// More of each resource than any executors have.
const UNLIMITED: Resources = Resources {
    cpu: u64::MAX,
    memory: u64::MAX,
    gpu: u64::MAX,
};

/// Capacity of the executors with unknown runs, by service. A job runs only on executors of its
/// service.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UnknownCapacity(BTreeMap<ServiceName, Resources>);

impl UnknownCapacity {
    /// Adds an executor with unknown runs. It has at most this capacity; `None` if that isn't known.
    pub fn add(&mut self, service: &ServiceName, capacity: Option<&Resources>) {
        let sum = self.0.entry(service.clone()).or_default();
        sum.add(capacity.unwrap_or(&UNLIMITED));
    }

    /// Returns the capacity of a service's executors with unknown runs; none if it has no such
    /// executor.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> Option<&Resources> {
        self.0.get(service)
    }
}
