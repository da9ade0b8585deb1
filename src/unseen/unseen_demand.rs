//! Demand of tasks that may run unseen.

use crate::batch::Resources;

/// Resources that tasks would use if all of them ran unseen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnseenDemand {
    /// Resources that the tasks reserve: at most what the executors have.
    pub reserved: Resources,
    /// Resources that best-effort tasks use without reserving them. The executors' capacity does not
    /// limit how many such tasks run.
    pub unreserved: Resources,
}

impl UnseenDemand {
    /// Returns the demand of tasks that need `demand` and reserve `reserved` of it.
    #[must_use]
    pub const fn new(mut demand: Resources, reserved: Resources) -> Self {
        demand.sub(&reserved);
        Self {
            reserved,
            unreserved: demand,
        }
    }

    /// Adds another demand.
    pub const fn add(&mut self, other: &Self) {
        self.reserved.add(&other.reserved);
        self.unreserved.add(&other.unreserved);
    }

    /// Subtracts a demand that was added.
    pub const fn sub(&mut self, other: &Self) {
        self.reserved.sub(&other.reserved);
        self.unreserved.sub(&other.unreserved);
    }

    /// Returns the minimum of each amount and `limit`.
    #[must_use]
    pub const fn min(&self, limit: &Resources) -> Self {
        Self {
            reserved: self.reserved.min(limit),
            unreserved: self.unreserved.min(limit),
        }
    }

    /// Returns what the tasks use at most on executors that have `capacity` together.
    #[must_use]
    pub const fn bound(&self, capacity: &Resources) -> Resources {
        let mut bound = self.reserved.min(capacity);
        bound.add(&self.unreserved);
        bound
    }
}
