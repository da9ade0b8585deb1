//! Limit on retries.

/// Number of retries that each accepted request adds to the balance.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum balance, and the initial one, in retries.
const MAX_BALANCE: f64 = 10.0;

/// Limits retries to a tenth of the accepted requests, plus a burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Adds the share of an accepted request to the balance.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance. Returns false if it is used up.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
