//! Search for a snapshot to start from.

use std::collections::VecDeque;

use crate::log::Entry;
use crate::member::MAX_CACHED_RECORDS;
use crate::record::Change;
use crate::record::Record;
use crate::record::State;

/// Searches the records of the log, fed from the oldest on, for a snapshot that is accepted when
/// the records after it are applied.
#[derive(Debug, Default)]
pub struct SnapshotSearch {
    /// The latest records, at most [`MAX_CACHED_RECORDS`].
    entries: VecDeque<Entry>,
}

impl SnapshotSearch {
    /// Adds the next record. If it is a valid snapshot, returns the state after it.
    pub fn feed(&mut self, entry: Entry) -> Option<State> {
        let snapshot = snapshot_in(&entry.data);
        if self.entries.len() == MAX_CACHED_RECORDS {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
        self.replay(snapshot?)
    }

    fn replay(&self, mut state: State) -> Option<State> {
        let start = state.offset;
        let later = self.entries.iter().filter(|entry| entry.offset >= start);
        for entry in later {
            let _ = state.apply(entry.offset, &entry.data);
        }
        let last = self.entries.back()?.offset;
        (state.offset == last + 1 && state.snapshot_offset == last).then_some(state)
    }
}

fn snapshot_in(data: &[u8]) -> Option<State> {
    match Record::decode(data).ok()?.change {
        Change::Snapshot(bytes) => State::open_snapshot(&bytes).ok(),
        _ => None,
    }
}
