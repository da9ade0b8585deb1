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
    // When it last answered, unless that answer was late.
    verified: Option<Instant>,
}

impl ProcessWatch {
    /// Notes an answer of the process that is known.
    pub fn note_clock(&mut self, reading: ClockReading) {
        self.clock = Some(reading);
        self.asked = None;
        self.verified = (!reading.is_late(LATE_ANSWER)).then_some(reading.received);
    }

    /// Compares a reading in the answer to an order with the last one; `None` if the last one is more
    /// recent than the order.
    #[must_use]
    pub fn continuity(&self, reading: &ClockReading) -> Option<Continuity> {
        let last = self.clock.filter(|last| last.received <= reading.sent)?;
        Some(last.continuity(reading))
    }

    /// Notes at `now` that another process may have taken its place, so that it has to be asked.
    pub fn doubt(&mut self, now: Instant) {
        self.verified = None;
        self.asked.get_or_insert(now);
    }

    /// Notes that it gets no orders for now.
    pub const fn suspend(&mut self) {
        self.verified = None;
    }

    /// Notes that it has ended: what it told is void.
    pub const fn end(&mut self) {
        self.clock = None;
        self.verified = None;
    }

    /// Whether it answered so recently that it can't have restarted since. `awaited` is when the
    /// heartbeat was sent that is not answered yet, if there is one.
    #[must_use]
    pub fn is_verified(&self, now: Instant, awaited: Option<Instant>) -> bool {
        let Some(verified) = self.verified else {
            return false;
        };
        let until = verified + Duration::from_millis(SAME_PROCESS_MS);
        if awaited.is_some_and(|sent| sent < until) {
            return now < verified + Duration::from_millis(AWAITED_PROCESS_MS);
        }
        now < until
    }
}
