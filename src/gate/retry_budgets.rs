//! Limits on retries, by service.

use std::collections::HashMap;

use crate::gate::RetryBudget;
use crate::name::ServiceName;

/// A separate retry budget for each service, so that an outage of one does not use up the retries
/// of others.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    services: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Adds the share of an accepted request to the service's balance.
    pub fn deposit(&mut self, service: &ServiceName) {
        self.services.entry(service.clone()).or_default().deposit();
    }

    /// Takes one retry from the service's balance. Returns false if it is used up.
    pub fn withdraw(&mut self, service: &ServiceName) -> bool {
        let budget = self.services.get_mut(service);
        budget.is_some_and(RetryBudget::withdraw)
    }
}
