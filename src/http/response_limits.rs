//! Limits of what servers answer.

use std::cell::Cell;
use std::rc::Rc;

/// Size of a response body that is allowed by default, in bytes.
const DEFAULT_BYTES: usize = 64 << 20;

/// Limits of the responses that a client reads; clones share the memory.
#[derive(Debug, Clone)]
pub struct ResponseLimits {
    /// Maximum size of a response body in bytes.
    pub body: usize,
    /// Memory for all responses that are being read.
    pub memory: ResponseMemory,
}

impl Default for ResponseLimits {
    fn default() -> Self {
        Self {
            body: DEFAULT_BYTES,
            memory: ResponseMemory::new(usize::MAX),
        }
    }
}

/// Memory for the responses that a process is reading; clones share it.
#[derive(Debug, Clone)]
pub struct ResponseMemory {
    free: Rc<Cell<usize>>,
}

/// The part of the memory that one response holds; given back when dropped.
#[derive(Debug)]
pub struct ResponseShare {
    memory: ResponseMemory,
    held: usize,
}

impl ResponseMemory {
    /// Creates a memory of `limit` bytes, all of which are free.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            free: Rc::new(Cell::new(limit)),
        }
    }

    /// Begins a response, which holds nothing yet.
    #[must_use]
    pub fn begin(&self) -> ResponseShare {
        ResponseShare {
            memory: self.clone(),
            held: 0,
        }
    }
}

impl ResponseShare {
    /// Takes further memory; returns whether there is as much.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(free) = self.memory.free.get().checked_sub(bytes) else {
            return false;
        };
        self.memory.free.set(free);
        self.held += bytes;
        true
    }
}

impl Drop for ResponseShare {
    fn drop(&mut self) {
        let free = self.memory.free.get();
        self.memory.free.set(free + self.held);
    }
}
