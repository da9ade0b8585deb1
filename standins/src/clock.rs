//! Wall-clock time stamps.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}
