//! Number of slots reserved for urgent requests.

/// Longest gap between finishes up to which no slots are reserved, in seconds; half the time within
/// which urgent requests should start.
const GAP_LIMIT_S: f64 = 0.5;
/// Maximum part of the slots that is reserved, as a divisor.
const RESERVE_DIVISOR: u32 = 8;
/// Part of the slots that urgent requests may take ahead of other requests, as a divisor.
const URGENT_DIVISOR: u32 = 4;

/// Number of slots that only urgent requests may use: enough for those that arrive during the
/// longest `gap` between finishes (in seconds), or none if that gap is short. `rate` is the number
/// of urgent requests per second. With an unknown `gap`, one slot is reserved.
#[must_use]
pub fn reserve(capacity: u32, gap: Option<f64>, rate: f64) -> u32 {
    let limit = (capacity / RESERVE_DIVISOR).max(u32::from(capacity > 1));
    let Some(gap) = gap else {
        return limit.min(1);
    };
    if gap <= GAP_LIMIT_S {
        return 0;
    }
    let arrivals = (rate * gap).ceil().min(f64::from(limit));
    limit.min(1 + arrivals as u32)
}

/// Number of slots up to which urgent requests start ahead of other requests.
#[must_use]
pub fn urgent_cap(capacity: u32) -> u32 {
    (capacity / URGENT_DIVISOR).max(1)
}
