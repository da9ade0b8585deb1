//! One entry of the platform's log as this system writes it.

use serde::Deserialize;
use serde::Serialize;

use crate::record::Author;
use crate::record::Change;
use crate::record::DecodeError;
use crate::record::MAX_OPERATOR_BYTES;
use crate::record::RecordId;
use crate::record::codec;

/// Version byte of the wire form.
const VERSION: u8 = 1;

/// A change with its identity and the state that its writer saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Identity, kept when the append is repeated.
    pub id: RecordId,
    /// Revision of the operators' part that the writer saw; the record counts only on that one.
    pub base: Option<u64>,
    /// Who wrote it.
    pub author: Author,
    /// When it was written, Unix time in milliseconds.
    pub at: u64,
    /// What it asks for.
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
            Author::Operator(text) if text.len() > MAX_OPERATOR_BYTES => {
                Err(DecodeError::Inconsistent("the operator's text is too long"))
            }
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
    /// The record's bytes in the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(VERSION, &RecordWire::from(self.clone()))
    }

    /// Reads a record back.
    ///
    /// # Errors
    /// A [`DecodeError`] if `data` is not exactly one record.
    pub fn decode(data: &[u8]) -> Result<Self, DecodeError> {
        codec::decode::<RecordWire>(VERSION, data)?.try_into()
    }
}
