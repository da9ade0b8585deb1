//! Records as read from the log.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, starting at 0.
    pub offset: u64,
    /// When the log accepted the record, Unix time in milliseconds.
    pub at: u64,
    /// The record as it was appended.
    pub data: Vec<u8>,
}

/// Response to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log still holds.
    pub first: u64,
    /// Offset of the next record to be appended.
    pub head: u64,
    /// Consecutive records from the requested offset on; may be empty.
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
