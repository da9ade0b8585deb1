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
/// Longest time until an order that gets no answer is carried out, in milliseconds.
pub const LATEST_ORDER_MS: u64 = 12_000;
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
    // When those have expired that orders to an earlier process may have granted on the present one.
    // They may be longer than an order means to grant.
    misdirected: Option<Instant>,
    // Orders to an earlier process may still be carried out by the present one.
    exposed: bool,
}

impl Leases {
    /// Leases that earlier owners may have granted before `now`.
    #[must_use]
    pub fn inherited(now: Instant) -> Self {
        Self {
            expires: now + Duration::from_millis(SUCCESSION_MS),
            renewed: None,
            misdirected: None,
            exposed: false,
        }
    }

    /// Notes that an order sent at `now` renews them.
    pub fn renew(&mut self, now: Instant) {
        self.renewed = Some(now);
        self.expires = self.expires.max(now + Duration::from_millis(EXPIRY_MS));
    }

    /// Notes that until `now` the executor may have carried out an order to an earlier process: that
    /// lease may be as long as an executor grants any, which takes `longest`.
    pub fn extend(&mut self, now: Instant, longest: Duration) {
        let expiry = now + longest;
        self.misdirected = self.misdirected.max(Some(expiry));
        self.expires = self.expires.max(expiry);
    }

    /// Notes that the process has ended at `now` and with it all of them, and that the next process
    /// takes no orders to it.
    pub const fn end(&mut self, now: Instant) {
        self.expires = now;
        self.misdirected = None;
        self.exposed = false;
    }

    /// Notes that at `now` another process is known to have taken the place of the one before. Until
    /// it has seen its own fencing token, it may carry out orders that were sent to the other one.
    pub fn restart(&mut self, now: Instant, longest: Duration) {
        self.end(now);
        let latest = Duration::from_millis(LATEST_ORDER_MS);
        self.exposed = self.renewed.is_some_and(|sent| now < sent + latest);
        if self.exposed {
            self.extend(now, longest);
        }
    }

    /// Notes at `now` an answer of the present process to an order with its own fencing token: it
    /// takes no more orders to an earlier one.
    pub fn fence(&mut self, now: Instant, longest: Duration) {
        if std::mem::take(&mut self.exposed) {
            self.extend(now, longest);
        }
    }

    /// Whether some may last longer than an owner would wait that is elected at `now`. Both times
    /// include a margin, of which one is enough.
    #[must_use]
    pub fn outlast_succession(&self, now: Instant) -> bool {
        let limit = now + Duration::from_millis(SUCCESSION_MS + MARGIN_MS);
        self.misdirected.is_some_and(|expiry| expiry > limit)
    }

    /// Whether some may last longer than one that is granted at `now`.
    #[must_use]
    pub fn are_long(&self, now: Instant) -> bool {
        let usual = now + Duration::from_millis(EXPIRY_MS);
        self.exposed || self.misdirected.is_some_and(|expiry| expiry > usual)
    }
}
