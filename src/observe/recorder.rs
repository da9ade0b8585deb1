//! The time line of one process.

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

/// Notes kept; older ones are dropped.
pub const NOTE_LIMIT: usize = 4_096;
/// Longest text in a note, in bytes: callers choose some of them.
pub const TEXT_LIMIT: usize = 256;

/// Takes notes; clones share the same time line.
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
    /// An empty time line that counts in `counters`.
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

    /// Adds a note, stamped with the present time.
    pub fn record(&self, mut note: Note) {
        cut(&mut note.cause);
        note.request.iter_mut().for_each(cut);
        let stamp = self.inner.clock.tick(unix_millis());
        let mut entries = self.inner.entries.borrow_mut();
        if entries.len() == NOTE_LIMIT {
            entries.pop_front();
            self.inner.counters.dropped_notes.fetch_add(1, Relaxed);
        }
        entries.push_back(Entry { stamp, note });
        self.inner.counters.notes.fetch_add(1, Relaxed);
    }

    /// Takes in the clock of a peer, so that later notes here come after its earlier ones.
    pub fn merge(&self, peer: HlcTimestamp) {
        self.inner.clock.merge(peer, unix_millis());
    }

    /// The last stamp that this process has given or taken in.
    #[must_use]
    pub fn last(&self) -> HlcTimestamp {
        self.inner.clock.last()
    }

    /// The entries from `since` on, oldest first.
    #[must_use]
    pub fn entries(&self, since: HlcTimestamp) -> Vec<Entry> {
        let entries = self.inner.entries.borrow();
        let first = entries.partition_point(|entry| entry.stamp < since);
        entries.range(first..).cloned().collect()
    }

    /// Notes that newer ones have displaced.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.inner.counters.dropped_notes.load(Relaxed)
    }

    /// The notes, oldest first, each with its Unix time in milliseconds.
    #[must_use]
    pub fn notes(&self) -> Vec<(u64, Note)> {
        let entries = self.inner.entries.borrow();
        let notes = entries
            .iter()
            .map(|entry| (entry.stamp.millis(), entry.note.clone()));
        notes.collect()
    }
}

/// Shortens a text to [`TEXT_LIMIT`] bytes, at a character.
fn cut(text: &mut String) {
    let end = (0..=TEXT_LIMIT)
        .rev()
        .find(|end| text.is_char_boundary(*end));
    text.truncate(end.unwrap_or(0));
}
