//! A record of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::record::Author;
use crate::record::Change;
use crate::record::DecodeError;
use crate::record::MAX_OPERATOR_BYTES;
use crate::record::RecordId;
use crate::record::codec;

/// Version byte of the encoding.
const VERSION: u8 = 1;

/// A change with its id, author and the revision that it is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Identifies the record; stays the same when the append is retried.
    pub id: RecordId,
    /// Revision that the author saw; the record is rejected at any other. `None` accepts any
    /// revision.
    pub base: Option<u64>,
    /// Who wrote the record.
    pub author: Author,
    /// Time of writing, Unix time in milliseconds.
    pub at: u64,
    /// The change to apply.
    pub change: Change,
}

#[derive(Serialize, Deserialize)]
struct RecordWire {
    id: RecordId,
    base: Option<u64>,
    author: Author,
    at: u64,
    change: Change,
}

impl From<Record> for RecordWire {
    fn from(record: Record) -> Self {
        Self {
            id: record.id,
            base: record.base,
            author: record.author,
            at: record.at,
            change: record.change,
        }
    }
}

impl TryFrom<RecordWire> for Record {
    type Error = DecodeError;

    fn try_from(wire: RecordWire) -> Result<Self, DecodeError> {
        match &wire.author {
            Author::Operator(text) if text.len() > MAX_OPERATOR_BYTES => Err(
                DecodeError::Inconsistent("operator name exceeds its maximum length"),
            ),
            _ => Ok(Self {
                id: wire.id,
                base: wire.base,
                author: wire.author,
                at: wire.at,
                change: wire.change,
            }),
        }
    }
}

impl Record {
    /// Encodes the record for the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(VERSION, &RecordWire::from(self.clone()))
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// A [`DecodeError`] if `data` is not exactly one valid record.
    pub fn decode(data: &[u8]) -> Result<Self, DecodeError> {
        codec::decode::<RecordWire>(VERSION, data)?.try_into()
    }
}
