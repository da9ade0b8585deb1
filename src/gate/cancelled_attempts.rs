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
const LEASE_EXPIRY_MS: u64 = 6_000;
/// Time between two cancellations of the same attempt, in milliseconds.
const CANCEL_RETRY_MS: u64 = 1_000;

/// An attempt that was given up and still occupies its slot.
#[derive(Debug, Clone)]
pub struct CancelledAttempt {
    /// The attempt.
    pub run: Running,
    /// Address of its backend server.
    pub addr: SocketAddr,
    /// Link to the scheduler that granted the slot.
    pub link: LinkId,
    /// Whether schedulers that did not grant it may have been told of it.
    pub reported: bool,
    /// What it says about its host.
    pub evidence: Evidence,
}

#[derive(Debug)]
struct Entry {
    cancelled: CancelledAttempt,
    retry_at: Instant,
    expires_at: Instant,
}

/// All attempts that were given up and still occupy their slots.
#[derive(Debug, Default)]
pub struct CancelledAttempts {
    entries: HashMap<AttemptId, Entry>,
}

impl CancelledAttempts {
    /// Takes an attempt in, and cancels it.
    pub fn add(&mut self, now: Instant, cancelled: CancelledAttempt, out: &mut Vec<Action>) {
        let attempt = cancelled.run.attempt;
        out.push(Action::Cancel(cancelled.addr, vec![attempt]));
        let entry = Entry {
            cancelled,
            retry_at: now + Duration::from_millis(CANCEL_RETRY_MS),
            expires_at: now + Duration::from_millis(LEASE_EXPIRY_MS),
        };
        self.entries.insert(attempt, entry);
    }

    /// Whether it has an attempt.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.contains_key(attempt)
    }

    /// Takes an attempt out that has surely ended.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<CancelledAttempt> {
        self.entries.remove(attempt).map(|entry| entry.cancelled)
    }

    /// Takes out the attempts whose leases have lapsed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<CancelledAttempt> {
        let expired = self.entries.extract_if(|_, entry| entry.expires_at <= now);
        expired.map(|(_, entry)| entry.cancelled).collect()
    }

    /// Cancels again where no answer came.
    pub fn retry(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (attempt, entry) in self.entries.iter_mut().filter(|(_, e)| e.retry_at <= now) {
            entry.retry_at = now + Duration::from_millis(CANCEL_RETRY_MS);
            out.push(Action::Cancel(entry.cancelled.addr, vec![*attempt]));
        }
    }

    /// Takes in that schedulers are told of all attempts.
    pub fn mark_reported(&mut self) {
        for entry in self.entries.values_mut() {
            entry.cancelled.reported = true;
        }
    }

    /// The attempts as they are reported to schedulers.
    pub fn reports(&self) -> impl Iterator<Item = Running> {
        self.entries
            .values()
            .map(|entry| entry.cancelled.run.clone())
    }

    /// Number of attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
