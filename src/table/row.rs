//! A kind of rows.

use crate::table::Fields;

/// A kind of rows that a file holds.
pub trait Row: Sized {
    /// Names of the fields, in order; the first one identifies the row.
    const HEADER: &'static [&'static str];

    /// Reads one row; none if a field is wrong, which `fields` has noted.
    fn read(fields: &mut Fields<'_>) -> Option<Self>;
}
