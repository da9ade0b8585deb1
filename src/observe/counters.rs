//! Plain counters of a process.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use crate::observe::MessageKind;
use crate::wire::Message;

/// Messages of one kind, one way.
#[derive(Debug, Default)]
pub struct MessageCounter {
    /// Messages.
    pub count: AtomicU64,
    /// Bytes of their frames.
    pub bytes: AtomicU64,
}

impl MessageCounter {
    fn add(&self, bytes: usize) {
        self.count.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }
}

/// What a process has counted so far; added to where things happen, read when scraped.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages sent, by kind.
    pub sent: [MessageCounter; MessageKind::COUNT],
    /// Messages received, by kind.
    pub received: [MessageCounter; MessageKind::COUNT],
    /// Refusals sent to gates, by code.
    pub refusals: Mutex<BTreeMap<&'static str, u64>>,
    /// Slots asked for by attempts after the first.
    pub retries: AtomicU64,
    /// Permits handed out to other holders.
    pub granted_permits: AtomicU64,
    /// Links that stand.
    pub links: AtomicU64,
    /// Bytes in datagrams sent on links, as of the last scrape.
    pub datagrams_out: AtomicU64,
    /// Bytes in datagrams received on links, as of the last scrape.
    pub datagrams_in: AtomicU64,
    /// Notes put on the time line.
    pub notes: AtomicU64,
    /// Notes that newer ones have displaced.
    pub dropped_notes: AtomicU64,
    /// Requests that wait for a slot.
    pub queued_requests: AtomicU64,
    /// Slots in use.
    pub used_slots: AtomicU64,
    /// Offset of the next record to fold.
    pub offset: AtomicU64,
    /// Revision of the operators' part of the state.
    pub revision: AtomicU64,
    /// Epoch of the membership.
    pub epoch: AtomicU64,
    /// Unix time in milliseconds until which the state is fresh.
    pub fresh_until: AtomicU64,
}

impl Counters {
    /// Counts a message that was sent in a frame of `bytes`.
    pub fn message_sent(&self, message: &Message, bytes: usize) {
        self.sent[MessageKind::of(message) as usize].add(bytes);
        match message {
            Message::Ask(ask) if ask.attempt.number > 1 => {
                self.retries.fetch_add(1, Relaxed);
            }
            Message::Refuse(refusal) => {
                let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
                *refusals.entry(refusal.code.as_str()).or_default() += 1;
            }
            Message::Permit(permit) => {
                self.granted_permits
                    .fetch_add(u64::from(permit.added), Relaxed);
            }
            _ => {}
        }
    }

    /// Counts a message that was received in a frame of `bytes`.
    pub fn message_received(&self, message: &Message, bytes: usize) {
        self.received[MessageKind::of(message) as usize].add(bytes);
    }

    /// Refusals so far, by code.
    #[must_use]
    pub fn refusals(&self) -> BTreeMap<&'static str, u64> {
        let refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.clone()
    }
}
