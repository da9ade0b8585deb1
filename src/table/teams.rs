//! Rows of the table of teams.

use crate::record::TeamRow;
use crate::table::Fields;
use crate::table::Row;

impl Row for TeamRow {
    const HEADER: &'static [&'static str] = &["team", "weight", "limit", "urgent"];

    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let team = fields.parsed("team");
        let weight = fields.number("weight", 1..=10_000);
        let limit = fields.number("limit", 0..=1_000_000);
        let urgent = fields.yes_no("urgent");
        Some(Self {
            team: team?,
            weight: weight?,
            limit: limit?,
            urgent: urgent?,
        })
    }
}
