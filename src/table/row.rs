//! Types of table rows.

use crate::table::Fields;

/// A type of row that a table file can hold.
pub trait Row: Sized {
    /// Names of the fields, in the order of the header line; the first one identifies the row.
    const HEADER: &'static [&'static str];

    /// Parses one row; none if a field is invalid, with the problem added to `fields`.
    fn read(fields: &mut Fields<'_>) -> Option<Self>;
}
