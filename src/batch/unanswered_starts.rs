//! Start orders that wait for an answer, by service.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::batch::in_flight::InFlight;
use crate::name::ServiceName;

/// Counts the start orders of each service that wait for an answer.
#[derive(Debug, Default)]
pub struct UnansweredStarts {
    services: BTreeMap<ServiceName, InFlight>,
}

impl UnansweredStarts {
    /// Notes that a task of a service was started at `now`.
    pub fn push(&mut self, service: &ServiceName, now: Instant) {
        let starts = self.services.entry(service.clone()).or_default();
        starts.push(now);
    }

    /// Notes that the order sent at `sent` was answered or given up.
    pub fn complete(&mut self, service: &ServiceName, sent: Instant) {
        if let Some(starts) = self.services.get_mut(service) {
            starts.complete(sent);
        }
    }

    /// Counts as overdue the orders that have waited too long; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let mut found = false;
        for starts in self.services.values_mut() {
            found |= starts.expire(now);
        }
        found
    }

    /// Returns the number of orders of a service.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, InFlight::len)
    }

    /// Returns the number of orders of all services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.values().map(InFlight::len).sum()
    }
}
