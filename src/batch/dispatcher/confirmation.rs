//! What the owner may do, by when the election last confirmed it.

use std::time::Duration;
use std::time::Instant;

use crate::batch::Dispatcher;
use crate::batch::leases::LEASE_MS;
use crate::batch::leases::MAX_UNCONFIRMED_MS;

/// Time after a request to the election that named this process in which no other process can be
/// elected, unless this one leaves, in milliseconds.
const EXCLUSIVE_MS: u64 = 900;
/// Shortest lease that is granted, in milliseconds.
const MIN_LEASE_MS: u64 = 500;

impl Dispatcher {
    /// Notes that the election confirmed this owner in answer to a request sent at `asked`.
    pub fn confirm(&mut self, asked: Instant) {
        // Tasks may have waited for the confirmation.
        self.dirty |= !self.is_exclusive(asked);
        self.confirmed = asked;
    }

    /// Whether no other owner can have been elected. If so, no other owner can have started a run
    /// or recorded an end that this one does not know of.
    #[must_use]
    pub fn is_exclusive(&self, now: Instant) -> bool {
        now < self.confirmed + Duration::from_millis(EXCLUSIVE_MS)
    }

    /// Length of a lease granted now, in milliseconds; `None` if too little of the term is left.
    pub(super) fn lease(&self, now: Instant) -> Option<u64> {
        let end = self.confirmed + Duration::from_millis(MAX_UNCONFIRMED_MS);
        let left = end.saturating_duration_since(now).as_millis();
        let lease = LEASE_MS.min(left as u64);
        (lease >= MIN_LEASE_MS).then_some(lease)
    }
}
