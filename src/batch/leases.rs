//! Lengths of leases, and when those on an executor have expired.

use std::time::Duration;
use std::time::Instant;

use crate::batch::clock_reading::MIN_CLOCK_PERCENT;

/// Length of the lease that an order grants, in milliseconds.
pub const LEASE_MS: u64 = 4_500;
/// Longest time until a lease of `LEASE_MS` has expired on an executor whose clock is 2% slow, with
/// a margin, in milliseconds.
const EXPIRY_MS: u64 = 4_800;
/// Time after the election's last confirmation of an owner at which all its leases end, in
/// milliseconds. An owner that is cut off from the election goes on until then.
pub const MAX_UNCONFIRMED_MS: u64 = 6_000;
/// Longest time until all leases of earlier owners have expired on executors whose clocks are 2%
/// slow, counted from the election of the next owner, with a margin, in milliseconds.
pub const SUCCESSION_MS: u64 = 6_300;
/// Margin in the time that is waited for a lease of the longest length to expire, in milliseconds.
const MARGIN_MS: u64 = 200;

/// Returns the longest time from the order for a lease until it has expired on an executor whose
/// clock is 2% slow and which grants at most `limit` milliseconds on its clock.
#[must_use]
pub fn longest_expiry(limit: u64) -> Duration {
    Duration::from_millis(limit.saturating_mul(100) / MIN_CLOCK_PERCENT + MARGIN_MS)
}

/// When the leases on an executor have expired.
#[derive(Debug, Clone, Copy)]
pub struct Leases {
    /// When all have expired, even if the executor's clock is slow.
    pub expires: Instant,
    // When an order was last sent that grants or renews one.
    renewed: Option<Instant>,
}

impl Leases {
    /// Leases that earlier owners may have granted before `now`.
    #[must_use]
    pub fn inherited(now: Instant) -> Self {
        Self {
            expires: now + Duration::from_millis(SUCCESSION_MS),
            renewed: None,
        }
    }

    /// Notes that an order sent at `now` renews them.
    pub fn renew(&mut self, now: Instant) {
        self.renewed = Some(now);
        self.expires = self.expires.max(now + Duration::from_millis(EXPIRY_MS));
    }

    /// Notes that the process that took the last order may be another one than the order was meant
    /// for: its lease may be as long as an executor grants any, which takes `longest`.
    pub fn extend(&mut self, longest: Duration) {
        if let Some(renewed) = self.renewed {
            self.expires = self.expires.max(renewed + longest);
        }
    }

    /// Notes that the process has ended at `now` and with it all of them, except one of at most
    /// `longest` that the last order may have granted on the next process.
    pub fn end(&mut self, now: Instant, longest: Duration) {
        self.expires = now;
        self.extend(longest);
    }
}
