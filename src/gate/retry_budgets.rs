//! Bounds on retries, by service.

use std::collections::HashMap;

use crate::gate::RetryBudget;
use crate::name::ServiceName;

/// One budget a service, so that one service's outage uses up no other's retries.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    services: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Counts an accepted request.
    pub fn deposit(&mut self, service: &ServiceName) {
        self.services.entry(service.clone()).or_default().deposit();
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self, service: &ServiceName) -> bool {
        let budget = self.services.get_mut(service);
        budget.is_some_and(RetryBudget::withdraw)
    }
}
