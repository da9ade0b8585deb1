//! Results of recent records, for deduplication by id.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::record::RecordId;
use crate::record::Rejection;

/// Number of records kept for deduplication; a record repeated after that many others is applied
/// again.
pub const MAX_RECENT_IDS: usize = 4096;

/// The id, offset and result of a record that was applied or rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Id of the record.
    pub id: RecordId,
    /// Offset of the record in the log.
    pub offset: u64,
    /// Revision after the record, or why it was rejected.
    pub result: Result<u64, Rejection>,
}

/// Results of the last [`MAX_RECENT_IDS`] records, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentRecords(VecDeque<Settled>);

impl RecentRecords {
    /// The result of the record with `id`, if it is still kept.
    #[must_use]
    pub fn find(&self, id: RecordId) -> Option<&Settled> {
        self.0.iter().rev().find(|settled| settled.id == id)
    }

    /// Number of records kept, at most [`MAX_RECENT_IDS`].
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no record is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn push(&mut self, settled: Settled) {
        if self.0.len() == MAX_RECENT_IDS {
            self.0.pop_front();
        }
        self.0.push_back(settled);
    }
}
