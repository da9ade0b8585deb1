//! Filling: the gradual ramp-up of load on a data centre that has returned to service.

/// Time from a data centre's return until all slots of its hosts may be used, in milliseconds.
pub const FILLING_MS: u64 = 30_000;

/// Number of a host's slots that may be used at `now` if its data centre returned at `returned`,
/// both in Unix milliseconds. It rises linearly to `slots` over [`FILLING_MS`], from at least one,
/// so that each host shows early whether it works. All slots if `returned` is none, or later than
/// `now` because it was read from a clock ahead of this one.
#[must_use]
pub fn filled_slots(slots: u32, returned: Option<u64>, now: u64) -> u32 {
    let Some(elapsed) = returned.and_then(|returned| now.checked_sub(returned)) else {
        return slots;
    };
    if elapsed >= FILLING_MS {
        return slots;
    }
    let filled = u64::from(slots) * elapsed / FILLING_MS;
    u32::try_from(filled)
        .unwrap_or(slots)
        .clamp(1, slots.max(1))
}
