//! Log of what is done to connections for lack of place.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::warn;

use crate::intake::IntakeEvent;
use crate::intake::Listener;

/// Shortest time between two lines, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Logs what is done to the connections of a listener for lack of memory or connections, in few lines.
pub struct IntakeLog {
    listener: Listener,
    log: Logger,
    // Earliest time of the next line; `None` before the first.
    next: Cell<Option<Instant>>,
    // Events since the last line.
    events: Cell<u64>,
}

impl IntakeLog {
    /// Creates the log of a listener.
    #[must_use]
    pub const fn new(listener: Listener, log: Logger) -> Self {
        Self {
            listener,
            log,
            next: Cell::new(None),
            events: Cell::new(0),
        }
    }

    /// Counts an event, and logs those since the last line if there has been none for a second.
    pub fn record(&self, event: IntakeEvent, now: Instant) {
        self.events.set(self.events.get() + 1);
        if self.next.get().is_some_and(|next| now < next) {
            return;
        }
        self.next.set(Some(now + Duration::from_millis(PAUSE_MS)));
        warn!(self.log, "clients take too much memory or too many connections";
            "listener" => self.listener.label(), "latest" => event.label(),
            "events" => self.events.take());
    }
}
