//! What shows that an executor's process is still the one that reported.

use std::time::Duration;
use std::time::Instant;

use crate::batch::clock_reading::ClockReading;
use crate::batch::clock_reading::Continuity;

/// Time for which an executor counts as the process that answered last, in milliseconds. It must be
/// shorter than an executor takes to restart.
const SAME_PROCESS_MS: u64 = 200;
/// The same while a heartbeat is unanswered that was sent within that time. If the process ends, so
/// does the heartbeat's connection.
const AWAITED_PROCESS_MS: u64 = 1_250;
/// Time after which an answer says too little about the present.
const LATE_ANSWER: Duration = Duration::from_millis(1_500);

/// Tells an executor's process from a later one under the same id. An order that another process
/// takes does harm: its deadline is on another clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessWatch {
    /// The last reading of its clock.
    pub clock: Option<ClockReading>,
    /// Since when work waits for it to tell whether it has restarted.
    pub asked: Option<Instant>,
}

impl ProcessWatch {
    /// Notes an answer of the process that is known.
    pub fn note_clock(&mut self, reading: ClockReading) {
        self.clock = Some(reading);
        self.asked = None;
    }

    /// Compares a reading in the answer to an order with the last one; `None` if the last one is more
    /// recent than the order.
    #[must_use]
    pub fn continuity(&self, reading: &ClockReading) -> Option<Continuity> {
        let last = self.clock.filter(|last| last.received <= reading.sent)?;
        Some(last.continuity(reading))
    }

    /// Until when no other process can have taken its place.
    #[must_use]
    pub fn certain(&self) -> Option<Instant> {
        let last = self.clock.filter(|last| !last.is_late(LATE_ANSWER))?;
        Some(last.received + Duration::from_millis(SAME_PROCESS_MS))
    }

    /// Whether it answered so recently that it can't have restarted since. `awaited` is when the
    /// heartbeat was sent that is not answered yet, if there is one.
    #[must_use]
    pub fn is_verified(&self, now: Instant, awaited: Option<Instant>) -> bool {
        let (Some(last), Some(until), None) = (self.clock, self.certain(), self.asked) else {
            return false;
        };
        if awaited.is_some_and(|sent| sent < until) {
            return now < last.received + Duration::from_millis(AWAITED_PROCESS_MS);
        }
        now < until
    }
}
