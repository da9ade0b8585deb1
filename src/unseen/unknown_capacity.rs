//! Capacity of the executors that haven't reported.

use std::collections::BTreeMap;

use crate::batch::Resources;
use crate::name::ServiceName;

/// More of each resource than any executors have.
const UNLIMITED: Resources = Resources {
    cpu: u64::MAX,
    memory: u64::MAX,
    gpu: u64::MAX,
};

/// Total capacity of the executors that haven't reported, by service. A job runs only on executors of
/// its service.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UnknownCapacity(BTreeMap<ServiceName, Resources>);

impl UnknownCapacity {
    /// Adds an executor with at most this capacity; `None` if that isn't known.
    pub fn add(&mut self, service: &ServiceName, capacity: Option<&Resources>) {
        let sum = self.0.entry(service.clone()).or_default();
        sum.add(capacity.unwrap_or(&UNLIMITED));
    }

    /// Returns the total of a service; `None` if all of its executors have reported.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> Option<&Resources> {
        self.0.get(service)
    }
}
