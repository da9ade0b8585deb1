//! Queue of records to be appended to a stream of the log, with one append in flight.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::log::AppendError;

/// Maximum size of one append, in bytes; a larger item is sent alone.
const BYTE_LIMIT: usize = 512 << 10;
/// Age of an append at which the log counts as stalled, in milliseconds.
const STALL_MS: u64 = 900;

/// Records that are appended together.
#[derive(Debug)]
pub struct QueuedRecords<T> {
    /// Identifies the item to the user of the queue.
    pub tag: T,
    /// Time until which a client's call waits; `None` for the owner's decisions, which have to be
    /// appended however long it takes.
    pub deadline: Option<Instant>,
    /// Encoded records.
    pub records: Vec<Vec<u8>>,
}

impl<T> QueuedRecords<T> {
    fn size(&self) -> usize {
        self.records.iter().map(Vec::len).sum()
    }
}

/// An append that is in flight or is to be sent again.
#[derive(Debug)]
struct InFlightAppend<T> {
    items: Vec<QueuedRecords<T>>,
    /// Whether some attempt may have reached the log, or may yet reach it.
    uncertain: bool,
}

/// Queue of one stream of the log.
///
/// At most one append is in flight; items that arrive meanwhile are combined into the next one. An
/// append of unknown outcome is repeated unchanged, with the same sequence number, until its
/// outcome is known. One that certainly was not carried out is built anew, without the calls that
/// have expired.
#[derive(Debug)]
pub struct AppendQueue<T> {
    // The owner's own records, without a deadline. They go first.
    decisions: VecDeque<QueuedRecords<T>>,
    // Records of clients' calls, with a deadline.
    calls: VecDeque<QueuedRecords<T>>,
    in_flight: Option<InFlightAppend<T>>,
    // When the oldest append without success was first sent.
    waiting_since: Option<Instant>,
    sequence: u64,
}

impl<T> AppendQueue<T> {
    /// An empty queue whose next append has the sequence number `sequence`.
    #[must_use]
    pub const fn new(sequence: u64) -> Self {
        Self {
            decisions: VecDeque::new(),
            calls: VecDeque::new(),
            in_flight: None,
            waiting_since: None,
            sequence,
        }
    }

    /// Sequence number of the append that is in flight or next.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Adds an item at the end; items without a deadline go before all others.
    pub fn push(&mut self, item: QueuedRecords<T>) {
        if item.deadline.is_some() {
            return self.calls.push_back(item);
        }
        self.decisions.push_back(item);
    }

    /// Whether the log has accepted nothing for so long that calls should be refused at once.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(STALL_MS);
        self.waiting_since.is_some_and(|since| now >= since + limit)
    }

    /// Removes the calls that certainly are not in the log and have expired, or all queued calls if
    /// the log is stalled; returns their tags.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let stalled = self.is_stalled(now);
        let expired = |item: &QueuedRecords<T>| {
            stalled || item.deadline.is_some_and(|deadline| deadline <= now)
        };
        let calls = std::mem::take(&mut self.calls);
        let (expired, rest) = calls.into_iter().partition(expired);
        self.calls = rest;
        let expired: VecDeque<QueuedRecords<T>> = expired;
        expired.into_iter().map(|item| item.tag).collect()
    }

    /// Records of the append to send now, if there are any. While an append is in flight, they are
    /// those of that append.
    pub fn next_append(&mut self, now: Instant) -> Option<Vec<Vec<u8>>> {
        if self.in_flight.is_none() {
            let items = self.collect_items();
            if items.is_empty() {
                self.waiting_since = None;
                return None;
            }
            self.in_flight = Some(InFlightAppend {
                items,
                uncertain: false,
            });
        }
        self.waiting_since.get_or_insert(now);
        let in_flight = self.in_flight.as_ref()?;
        let records = in_flight.items.iter().flat_map(|item| &item.records);
        Some(records.cloned().collect())
    }

    fn collect_items(&mut self) -> Vec<QueuedRecords<T>> {
        let mut items: Vec<QueuedRecords<T>> = Vec::new();
        let mut size = 0;
        for queue in [&mut self.decisions, &mut self.calls] {
            while let Some(item) = queue.front() {
                size += item.size();
                if size > BYTE_LIMIT && !items.is_empty() {
                    return items;
                }
                items.extend(queue.pop_front());
            }
        }
        items
    }

    /// Applies the result of an attempt; returns the tags of the items that are in the log now.
    pub fn complete(&mut self, result: &Result<(), AppendError>) -> Vec<T> {
        let Some(mut in_flight) = self.in_flight.take() else {
            return Vec::new();
        };
        match result {
            Ok(()) => {
                self.waiting_since = None;
                self.sequence += 1;
                return in_flight.items.into_iter().map(|item| item.tag).collect();
            }
            Err(AppendError::NotAppended(_)) if !in_flight.uncertain => {
                self.put_back(in_flight.items)
            }
            Err(AppendError::Unknown(_)) => {
                in_flight.uncertain = true;
                self.in_flight = Some(in_flight);
            }
            Err(_) => self.in_flight = Some(in_flight),
        }
        Vec::new()
    }

    fn put_back(&mut self, items: Vec<QueuedRecords<T>>) {
        for item in items.into_iter().rev() {
            let queue = if item.deadline.is_some() {
                &mut self.calls
            } else {
                &mut self.decisions
            };
            queue.push_front(item);
        }
    }

    /// Empties the queue; returns the tag of each item and whether it may be in the log.
    pub fn close(&mut self) -> Vec<(T, bool)> {
        self.waiting_since = None;
        let in_flight = self.in_flight.take();
        let uncertain = in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.uncertain);
        let sent = in_flight.into_iter().flat_map(|in_flight| in_flight.items);
        let mut items: Vec<(T, bool)> = sent.map(|item| (item.tag, uncertain)).collect();
        let unsent = self.decisions.drain(..).chain(self.calls.drain(..));
        items.extend(unsent.map(|item| (item.tag, false)));
        items
    }
}
