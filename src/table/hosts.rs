//! Rows of the table of hosts.

use crate::record::HostRow;
use crate::table::Fields;
use crate::table::Row;

impl Row for HostRow {
    const HEADER: &'static [&'static str] = &["host", "dc", "rack", "addr", "slots", "pool"];

    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let host = fields.parsed("host");
        let dc = fields.parsed("dc");
        let rack = fields.parsed("rack");
        let addr = fields.parsed("addr");
        let slots = fields.number("slots", 1..=10_000);
        let pool = fields.parsed("pool");
        Some(Self {
            host: host?,
            dc: dc?,
            rack: rack?,
            addr: addr?,
            slots: slots?,
            pool: pool?,
        })
    }
}
