//! Static division of a limit.

/// Permits of part `index` when `limit` permits are divided over `parts` parts; the first parts
/// get what does not divide evenly.
#[must_use]
pub const fn divide(limit: u32, parts: u32, index: u32) -> u32 {
    if parts == 0 {
        return 0;
    }
    let extra = if index < limit % parts { 1 } else { 0 };
    limit / parts + extra
}
