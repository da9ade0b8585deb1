//! The wall clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Unix time in milliseconds.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
