//! Even division of a limit.

/// Number of permits of part `index` when `limit` permits are divided evenly into `parts` parts;
/// the first parts get one more each if there is a remainder. 0 if `parts` is 0.
#[must_use]
pub const fn divide(limit: u32, parts: u32, index: u32) -> u32 {
    if parts == 0 {
        return 0;
    }
    let extra = if index < limit % parts { 1 } else { 0 };
    limit / parts + extra
}
