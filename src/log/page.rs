//! Records as the log hands them out.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// When the log took it, Unix time in milliseconds.
    pub at: u64,
    /// Its bytes.
    pub data: Vec<u8>,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log still holds.
    pub first: u64,
    /// Offset that the next append gets.
    pub head: u64,
    /// Records in order.
    pub entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct EntryWire {
    offset: u64,
    at_ms: u64,
    data: String,
}

#[derive(Deserialize)]
pub(super) struct PageWire {
    first: u64,
    head: u64,
    records: Vec<EntryWire>,
}

impl TryFrom<EntryWire> for Entry {
    type Error = base64::DecodeError;

    fn try_from(wire: EntryWire) -> Result<Self, base64::DecodeError> {
        Ok(Self {
            offset: wire.offset,
            at: wire.at_ms,
            data: BASE64_STANDARD.decode(wire.data)?,
        })
    }
}

impl TryFrom<PageWire> for Page {
    type Error = base64::DecodeError;

    fn try_from(wire: PageWire) -> Result<Self, base64::DecodeError> {
        let entries = wire.records.into_iter().map(Entry::try_from);
        Ok(Self {
            first: wire.first,
            head: wire.head,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }
}
