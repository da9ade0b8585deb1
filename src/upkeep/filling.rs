//! The gradual filling of a data centre that is back in service.

/// Time from a data centre's return until its hosts get all their work, in milliseconds.
pub const FILLING_MS: u64 = 30_000;

/// Slots of a host that may be used at `now` if its data centre returned at `returned`, both in
/// Unix milliseconds; at least one, so that each host shows whether it works.
#[must_use]
pub fn filled_slots(slots: u32, returned: Option<u64>, now: u64) -> u32 {
    let Some(since) = returned.and_then(|returned| now.checked_sub(returned)) else {
        return slots;
    };
    if since >= FILLING_MS {
        return slots;
    }
    let filled = u64::from(slots) * since / FILLING_MS;
    u32::try_from(filled)
        .unwrap_or(slots)
        .clamp(1, slots.max(1))
}
