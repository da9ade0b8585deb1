//! Incarnation numbers of this process.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::observe::unix_millis;

/// Highest number that is known to be used.
static HIGHEST_USED: AtomicU64 = AtomicU64::new(0);

/// Returns the Unix time in milliseconds, or the successor of the highest used number if the wall
/// clock has been set back behind it.
pub(super) fn next() -> u64 {
    unix_millis().max(HIGHEST_USED.load(Ordering::Relaxed) + 1)
}

/// Records that the numbers up to `used` are used.
pub(super) fn record_used(used: u64) {
    HIGHEST_USED.fetch_max(used, Ordering::Relaxed);
}
