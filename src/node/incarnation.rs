//! Numbers of this process's incarnations.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::observe::unix_millis;

/// Highest number that is known to be taken.
static TAKEN: AtomicU64 = AtomicU64::new(0);

/// A number above all that are known to be taken, also if the wall clock has gone back.
pub(super) fn next() -> u64 {
    unix_millis().max(TAKEN.load(Ordering::Relaxed) + 1)
}

/// Notes that the numbers up to `taken` are taken.
pub(super) fn note(taken: u64) {
    TAKEN.fetch_max(taken, Ordering::Relaxed);
}
