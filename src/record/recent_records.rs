//! Ids of records folded lately.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::record::RecordId;
use crate::record::Rejection;

/// How many ids are remembered; a repeat that comes later than that counts as a new record.
pub const MAX_RECENT_IDS: usize = 4096;

/// A record folded lately and what it came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Its id.
    pub id: RecordId,
    /// Its offset in the log.
    pub offset: u64,
    /// Revision after it, or why it was rejected.
    pub result: Result<u64, Rejection>,
}

/// The last [`MAX_RECENT_IDS`] records, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentRecords(VecDeque<Settled>);

impl RecentRecords {
    /// The record with `id`, if it is remembered.
    #[must_use]
    pub fn find(&self, id: RecordId) -> Option<&Settled> {
        self.0.iter().rev().find(|settled| settled.id == id)
    }

    /// Number of ids remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no id is remembered.
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
