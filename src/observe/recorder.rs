//! The time line of one process.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use crate::observe::Note;
use crate::observe::unix_millis;

/// Notes kept; older ones are dropped.
const NOTE_LIMIT: usize = 4_096;

/// Takes notes; clones share the same time line.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    notes: Rc<RefCell<VecDeque<(u64, Note)>>>,
}

impl Recorder {
    /// Adds a note, stamped with the present time.
    pub fn record(&self, note: Note) {
        let mut notes = self.notes.borrow_mut();
        if notes.len() == NOTE_LIMIT {
            notes.pop_front();
        }
        notes.push_back((unix_millis(), note));
    }

    /// The notes, oldest first, each with its Unix time in milliseconds.
    #[must_use]
    pub fn notes(&self) -> Vec<(u64, Note)> {
        self.notes.borrow().iter().cloned().collect()
    }
}
