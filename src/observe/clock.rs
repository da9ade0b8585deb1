//! The wall clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Current Unix time in milliseconds; 0 if the system clock is before 1970.
#[must_use]
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |duration| {
        u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
    })
}
