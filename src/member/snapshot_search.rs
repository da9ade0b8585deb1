//! The search of the log for a snapshot to start from.

use std::collections::VecDeque;

use crate::log::Entry;
use crate::member::MAX_CACHED_RECORDS;
use crate::record::Change;
use crate::record::Record;
use crate::record::State;

/// Reads the log from its oldest record on until a snapshot proves right.
#[derive(Debug, Default)]
pub struct SnapshotSearch {
    seen: VecDeque<Entry>,
}

impl SnapshotSearch {
    /// Takes in the next record; gives the state after it, if it holds a snapshot that the fold
    /// of the records since accepts.
    pub fn feed(&mut self, entry: Entry) -> Option<State> {
        let snapshot = snapshot_in(&entry.data);
        if self.seen.len() == MAX_CACHED_RECORDS {
            self.seen.pop_front();
        }
        self.seen.push_back(entry);
        self.resume(snapshot?)
    }

    fn resume(&self, mut state: State) -> Option<State> {
        let start = state.offset;
        let since = self.seen.iter().filter(|entry| entry.offset >= start);
        for entry in since {
            let _ = state.apply(entry.offset, &entry.data);
        }
        let last = self.seen.back()?.offset;
        (state.offset == last + 1 && state.snapshot_offset == last).then_some(state)
    }
}

fn snapshot_in(data: &[u8]) -> Option<State> {
    match Record::decode(data).ok()?.change {
        Change::Snapshot(bytes) => State::open_snapshot(&bytes).ok(),
        _ => None,
    }
}
