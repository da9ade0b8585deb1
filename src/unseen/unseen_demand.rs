//! Demand of tasks that may run on executors that haven't reported.

use crate::batch::Resources;

/// Demand of tasks of which any number may run on executors that haven't reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnseenDemand {
    /// What all of them reserve. Executors don't take more than they have.
    pub reserved: Resources,
    /// What the best-effort ones among them use without reserving it. The capacity of executors
    /// doesn't limit how many of these run.
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

    /// Returns the most that the tasks use on executors with a total of `capacity`.
    #[must_use]
    pub const fn bound(&self, capacity: &Resources) -> Resources {
        let mut bound = self.reserved.min(capacity);
        bound.add(&self.unreserved);
        bound
    }
}
