//! Bound on retries.

/// Retries that one accepted request pays for.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Most retries saved up.
const MAX_BALANCE: f64 = 10.0;

/// Lets retries add at most a tenth to the load.
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
    /// Counts an accepted request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
