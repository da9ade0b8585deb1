//! Cancelled attempts that may still be running.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::gate::Action;
use crate::net::LinkId;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Running;

/// Time after which a task whose lease is no longer renewed has certainly ended, in milliseconds:
/// the lease plus the longest time that a renewal may be in transit.
const LEASE_EXPIRY_MS: u64 = 6_000;
/// Time after which an unanswered cancellation is sent again, in milliseconds.
const CANCEL_RETRY_MS: u64 = 1_000;

/// A cancelled attempt that still occupies its slot.
#[derive(Debug, Clone)]
pub struct CancelledAttempt {
    /// The attempt as it is reported to schedulers.
    pub run: Running,
    /// Address of its backend server.
    pub addr: SocketAddr,
    /// Link to the scheduler that granted the slot.
    pub link: LinkId,
    /// Whether the attempt may have been reported to schedulers that did not grant its slot.
    pub reported: bool,
    /// Evidence that the attempt gives about its host.
    pub evidence: Evidence,
}

#[derive(Debug)]
struct Entry {
    cancelled: CancelledAttempt,
    retry_at: Instant,
    expires_at: Instant,
}

/// All cancelled attempts of a gate that still occupy their slots.
#[derive(Debug, Default)]
pub struct CancelledAttempts {
    entries: HashMap<AttemptId, Entry>,
}

impl CancelledAttempts {
    /// Adds an attempt and requests its cancellation.
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

    /// Whether the attempt still occupies its slot.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.contains_key(attempt)
    }

    /// Removes an attempt that has certainly ended.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<CancelledAttempt> {
        self.entries.remove(attempt).map(|entry| entry.cancelled)
    }

    /// Removes and returns the attempts whose leases have expired.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<CancelledAttempt> {
        let expired = self.entries.extract_if(|_, entry| entry.expires_at <= now);
        expired.map(|(_, entry)| entry.cancelled).collect()
    }

    /// Requests cancellation again for attempts without a response.
    pub fn retry(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (attempt, entry) in self.entries.iter_mut().filter(|(_, e)| e.retry_at <= now) {
            entry.retry_at = now + Duration::from_millis(CANCEL_RETRY_MS);
            out.push(Action::Cancel(entry.cancelled.addr, vec![*attempt]));
        }
    }

    /// Marks all attempts as reported to schedulers.
    pub fn mark_reported(&mut self) {
        for entry in self.entries.values_mut() {
            entry.cancelled.reported = true;
        }
    }

    /// All attempts, as they are reported to schedulers.
    pub fn reports(&self) -> impl Iterator<Item = Running> {
        self.entries
            .values()
            .map(|entry| entry.cancelled.run.clone())
    }

    /// Number of attempts that still occupy their slots.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
