//! Rows of the table of pools.

use crate::record::PoolRow;
use crate::table::Fields;
use crate::table::Row;

impl Row for PoolRow {
    const HEADER: &'static [&'static str] = &["pool", "service", "open", "teams", "budget"];

    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let pool = fields.parsed("pool");
        let service = fields.optional("service");
        let open = fields.yes_no("open");
        let teams = fields.list("teams");
        let budget = fields.number("budget", 0..=1_000_000);
        Some(Self {
            pool: pool?,
            service: service?,
            open: open?,
            teams: teams?,
            budget: budget?,
        })
    }
}
