//! Whose turn it is among the jobs of a service.

use std::collections::BTreeSet;

use crate::name::ServiceName;

/// Services whose next job to start is drawn by lot.
#[derive(Debug, Default)]
pub struct Turns(BTreeSet<ServiceName>);

impl Turns {
    /// Notes that a job of a service has started.
    pub fn advance(&mut self, service: &ServiceName) {
        if !self.0.remove(service) {
            self.0.insert(service.clone());
        }
    }

    /// Whether the next job of a service to start is drawn by lot.
    #[must_use]
    pub fn is_drawn(&self, service: &ServiceName) -> bool {
        self.0.contains(service)
    }
}
