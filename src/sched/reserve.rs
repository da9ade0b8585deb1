//! Slots kept free for urgent requests.

/// Longest gap between finishes at which urgent requests wait for the next one, in seconds; half
/// the time in which they are to start.
const GAP_LIMIT: f64 = 0.5;
/// Part of the slots that the reserve may take at most, as a divisor.
const RESERVE_PART: u32 = 8;
/// Part of the slots that urgent requests take before others, as a divisor.
const URGENT_PART: u32 = 4;

/// Slots that only urgent requests may take: enough for those that come in the longest `gap`
/// between finishes, none if finishes come close enough. `rate` is of urgent requests a second.
#[must_use]
pub fn reserve(capacity: u32, gap: Option<f64>, rate: f64) -> u32 {
    let most = (capacity / RESERVE_PART).max(u32::from(capacity > 1));
    let Some(gap) = gap else {
        return most.min(1);
    };
    if gap <= GAP_LIMIT {
        return 0;
    }
    let coming = (rate * gap).ceil().min(f64::from(most));
    most.min(1 + coming as u32)
}

/// Slots up to which urgent requests go before others.
#[must_use]
pub fn urgent_cap(capacity: u32) -> u32 {
    (capacity / URGENT_PART).max(1)
}
