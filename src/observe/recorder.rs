//! Timeline of one process.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use crate::observe::Counters;
use crate::observe::Entry;
use crate::observe::HlcTimestamp;
use crate::observe::HybridClock;
use crate::observe::Note;
use crate::observe::unix_millis;

/// Most notes kept; beyond these, the oldest are dropped.
pub const NOTE_LIMIT: usize = 4_096;
/// Longest text in a note, in bytes; clients choose some of the texts.
pub const TEXT_LIMIT: usize = 256;

/// Records notes on the timeline of this process; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    clock: HybridClock,
    entries: RefCell<VecDeque<Entry>>,
    counters: Arc<Counters>,
}

impl Recorder {
    /// Creates an empty timeline that counts recorded and dropped notes in `counters`.
    #[must_use]
    pub fn open(counters: Arc<Counters>) -> Self {
        let inner = Inner {
            counters,
            ..Inner::default()
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Records a note under the current time; drops the oldest one at [`NOTE_LIMIT`].
    pub fn record(&self, mut note: Note) {
        truncate_text(&mut note.cause);
        note.request.iter_mut().for_each(truncate_text);
        let stamp = self.inner.clock.tick(unix_millis());
        let mut entries = self.inner.entries.borrow_mut();
        if entries.len() == NOTE_LIMIT {
            entries.pop_front();
            self.inner.counters.dropped_notes.fetch_add(1, Relaxed);
        }
        entries.push_back(Entry { stamp, note });
        self.inner.counters.notes.fetch_add(1, Relaxed);
    }

    /// Merges a peer's clock, so that later notes here are ordered after its earlier ones.
    pub fn merge(&self, peer: HlcTimestamp) {
        self.inner.clock.merge(peer, unix_millis());
    }

    /// Latest timestamp issued here or merged from a peer.
    #[must_use]
    pub fn last(&self) -> HlcTimestamp {
        self.inner.clock.last()
    }

    /// Entries from `since` on, oldest first.
    #[must_use]
    pub fn entries(&self, since: HlcTimestamp) -> Vec<Entry> {
        let entries = self.inner.entries.borrow();
        let first = entries.partition_point(|entry| entry.stamp < since);
        entries.range(first..).cloned().collect()
    }

    /// Number of notes dropped because the timeline was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.inner.counters.dropped_notes.load(Relaxed)
    }

    /// All notes kept, oldest first, each with its Unix time in milliseconds.
    #[must_use]
    pub fn notes(&self) -> Vec<(u64, Note)> {
        let entries = self.inner.entries.borrow();
        let notes = entries
            .iter()
            .map(|entry| (entry.stamp.millis(), entry.note.clone()));
        notes.collect()
    }
}

/// Truncates a text to at most [`TEXT_LIMIT`] bytes, at a character boundary.
fn truncate_text(text: &mut String) {
    let end = (0..=TEXT_LIMIT)
        .rev()
        .find(|end| text.is_char_boundary(*end));
    text.truncate(end.unwrap_or(0));
}
