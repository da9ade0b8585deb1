//! Bound on retries.

/// Retries that one accepted request pays for.
const PER_REQUEST: f64 = 0.1;
/// Most retries saved up.
const SAVED_LIMIT: f64 = 10.0;

/// Lets retries add at most a tenth to the load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_LIMIT }
    }
}

impl RetryBudget {
    /// Counts an accepted request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + PER_REQUEST).min(SAVED_LIMIT);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
