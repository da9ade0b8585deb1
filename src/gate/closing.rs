//! Attempts that were given up, until they have surely ended.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::gate::Action;
use crate::net::LinkId;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Running;

/// Time until a task that is no longer renewed has surely ended: its lease, and the longest that
/// a renewal may be under way, in milliseconds.
const LAPSE_MS: u64 = 6_000;
/// Time between two cancellations of the same attempt, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// An attempt that was given up and still occupies its slot.
#[derive(Debug, Clone)]
pub struct Closing {
    /// The attempt.
    pub run: Running,
    /// Address of its backend server.
    pub addr: SocketAddr,
    /// Link to the scheduler that granted the slot.
    pub link: LinkId,
    /// What it says about its host.
    pub evidence: Evidence,
}

#[derive(Debug)]
struct Entry {
    closing: Closing,
    again: Instant,
    expires: Instant,
}

/// All attempts that were given up and still occupy their slots.
#[derive(Debug, Default)]
pub struct ClosingSet {
    entries: HashMap<AttemptId, Entry>,
}

impl ClosingSet {
    /// Takes an attempt in, and cancels it.
    pub fn add(&mut self, now: Instant, closing: Closing, out: &mut Vec<Action>) {
        let attempt = closing.run.attempt;
        out.push(Action::Cancel(closing.addr, vec![attempt]));
        let entry = Entry {
            closing,
            again: now + Duration::from_millis(REPEAT_MS),
            expires: now + Duration::from_millis(LAPSE_MS),
        };
        self.entries.insert(attempt, entry);
    }

    /// Whether it has an attempt.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.contains_key(attempt)
    }

    /// Takes an attempt out that has surely ended.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<Closing> {
        self.entries.remove(attempt).map(|entry| entry.closing)
    }

    /// Takes out the attempts whose leases have lapsed.
    pub fn remove_lapsed(&mut self, now: Instant) -> Vec<Closing> {
        let lapsed = self.entries.extract_if(|_, entry| entry.expires <= now);
        lapsed.map(|(_, entry)| entry.closing).collect()
    }

    /// Cancels again where no answer came.
    pub fn repeat(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (attempt, entry) in self.entries.iter_mut().filter(|(_, e)| e.again <= now) {
            entry.again = now + Duration::from_millis(REPEAT_MS);
            out.push(Action::Cancel(entry.closing.addr, vec![*attempt]));
        }
    }

    /// The attempts as they are reported to schedulers.
    pub fn reports(&self) -> impl Iterator<Item = Running> {
        self.entries.values().map(|entry| entry.closing.run.clone())
    }

    /// Number of attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
