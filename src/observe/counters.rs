//! Atomic counters behind the metrics of a process.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use crate::observe::MessageKind;
use crate::wire::Message;

/// Traffic of one kind of message in one direction.
#[derive(Debug, Default)]
pub struct MessageCounter {
    /// Number of messages.
    pub count: AtomicU64,
    /// Total size of their frames in bytes.
    pub bytes: AtomicU64,
}

impl MessageCounter {
    fn add(&self, bytes: usize) {
        self.count.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }
}

/// Counters and gauges of a process: updated as events occur and read on each scrape.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages sent, indexed by [`MessageKind`].
    pub sent: [MessageCounter; MessageKind::COUNT],
    /// Messages received, indexed by [`MessageKind`].
    pub received: [MessageCounter; MessageKind::COUNT],
    /// Refusals sent to gates, by refusal code.
    pub refusals: Mutex<BTreeMap<&'static str, u64>>,
    /// Slot requests sent for retries, that is for attempts after the first.
    pub retries: AtomicU64,
    /// Permits granted to other processes.
    pub granted_permits: AtomicU64,
    /// Open links, as of the last scrape.
    pub links: AtomicU64,
    /// Bytes of UDP datagrams sent on links, as of the last scrape.
    pub datagrams_out: AtomicU64,
    /// Bytes of UDP datagrams received on links, as of the last scrape.
    pub datagrams_in: AtomicU64,
    /// Notes recorded on the timeline.
    pub notes: AtomicU64,
    /// Notes dropped because the timeline was full.
    pub dropped_notes: AtomicU64,
    /// Requests queued for a slot.
    pub queued_requests: AtomicU64,
    /// Slots in use.
    pub used_slots: AtomicU64,
    /// Log offset of the next record to apply to the state.
    pub offset: AtomicU64,
    /// Revision of the part of the state that operators change.
    pub revision: AtomicU64,
    /// Membership epoch of the state.
    pub epoch: AtomicU64,
    /// Unix time in milliseconds until which the state counts as fresh; 0 until first reported.
    pub fresh_until: AtomicU64,
}

impl Counters {
    /// Counts a sent message; `bytes` is the size of its frame.
    pub fn message_sent(&self, message: &Message, bytes: usize) {
        self.sent[MessageKind::of(message) as usize].add(bytes);
        match message {
            Message::SlotRequest(ask) if ask.attempt.number > 1 => {
                self.retries.fetch_add(1, Relaxed);
            }
            Message::Refuse(refusal) => {
                let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
                *refusals.entry(refusal.code.as_str()).or_default() += 1;
            }
            Message::PermitGrant(permit) => {
                self.granted_permits
                    .fetch_add(u64::from(permit.added), Relaxed);
            }
            _ => {}
        }
    }

    /// Counts a received message; `bytes` is the size of its frame.
    pub fn message_received(&self, message: &Message, bytes: usize) {
        self.received[MessageKind::of(message) as usize].add(bytes);
    }

    /// Snapshot of the refusals sent so far, by refusal code.
    #[must_use]
    pub fn refusals(&self) -> BTreeMap<&'static str, u64> {
        let refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.clone()
    }
}
