//! Records that wait to be appended to a stream of the log, one append at a time.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::log::AppendError;

/// Most bytes of one append.
const BYTE_LIMIT: usize = 512 << 10;
/// Age of an append from which on the log counts as stalled, in milliseconds.
const STALL_MS: u64 = 900;

/// Records to append together.
#[derive(Debug)]
pub struct QueuedRecords<T> {
    /// By whom and what for, as the line's user knows it.
    pub tag: T,
    /// Until when a call waits for it; `None` if it has to be appended however long it takes.
    pub deadline: Option<Instant>,
    /// The records' bytes.
    pub records: Vec<Vec<u8>>,
}

impl<T> QueuedRecords<T> {
    fn size(&self) -> usize {
        self.records.iter().map(Vec::len).sum()
    }
}

/// An append that is on its way, or is to be sent again.
#[derive(Debug)]
struct Flight<T> {
    items: Vec<QueuedRecords<T>>,
    /// Some attempt may have been carried out, or may yet be.
    doubtful: bool,
}

/// What waits for one stream of the log.
///
/// One append is on its way at a time, and what comes meanwhile goes together in the next one. An
/// append of unknown outcome is repeated as it is, under its number, until its outcome is known.
/// One that surely was not carried out is formed anew, without the calls that have given up.
#[derive(Debug)]
pub struct AppendQueue<T> {
    decisions: VecDeque<QueuedRecords<T>>,
    calls: VecDeque<QueuedRecords<T>>,
    flight: Option<Flight<T>>,
    // Since when the log has not taken what it was sent.
    waiting: Option<Instant>,
    sequence: u64,
}

impl<T> AppendQueue<T> {
    /// An empty line whose next append has the number `sequence`.
    #[must_use]
    pub const fn new(sequence: u64) -> Self {
        Self {
            decisions: VecDeque::new(),
            calls: VecDeque::new(),
            flight: None,
            waiting: None,
            sequence,
        }
    }

    /// Number of the append that is next or on its way.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Adds records at the end.
    pub fn push(&mut self, item: QueuedRecords<T>) {
        if item.deadline.is_some() {
            return self.calls.push_back(item);
        }
        self.decisions.push_back(item);
    }

    /// Whether the log has taken nothing for so long that calls had better come back later.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(STALL_MS);
        self.waiting.is_some_and(|since| now >= since + limit)
    }

    /// Takes the calls out that surely aren't in the log and won't be in time.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let stalled = self.is_stalled(now);
        let late = |item: &QueuedRecords<T>| {
            stalled || item.deadline.is_some_and(|deadline| deadline <= now)
        };
        let calls = std::mem::take(&mut self.calls);
        let (late, rest) = calls.into_iter().partition(late);
        self.calls = rest;
        let late: VecDeque<QueuedRecords<T>> = late;
        late.into_iter().map(|item| item.tag).collect()
    }

    /// The records of the append to send now, if there are any.
    pub fn next_append(&mut self, now: Instant) -> Option<Vec<Vec<u8>>> {
        if self.flight.is_none() {
            let items = self.gather();
            if items.is_empty() {
                self.waiting = None;
                return None;
            }
            self.flight = Some(Flight {
                items,
                doubtful: false,
            });
        }
        self.waiting.get_or_insert(now);
        let flight = self.flight.as_ref()?;
        let records = flight.items.iter().flat_map(|item| &item.records);
        Some(records.cloned().collect())
    }

    fn gather(&mut self) -> Vec<QueuedRecords<T>> {
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

    /// The append was answered, or not; gives the items whose outcome is known now.
    pub fn complete(&mut self, result: &Result<(), AppendError>) -> Vec<T> {
        let Some(mut flight) = self.flight.take() else {
            return Vec::new();
        };
        match result {
            Ok(()) => {
                self.waiting = None;
                self.sequence += 1;
                return flight.items.into_iter().map(|item| item.tag).collect();
            }
            Err(AppendError::NotAppended(_)) if !flight.doubtful => self.put_back(flight.items),
            Err(AppendError::Unknown(_)) => {
                flight.doubtful = true;
                self.flight = Some(flight);
            }
            Err(_) => self.flight = Some(flight),
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

    /// Ends the line: gives all items, each with whether it may be in the log.
    pub fn close(&mut self) -> Vec<(T, bool)> {
        self.waiting = None;
        let flight = self.flight.take();
        let doubtful = flight.as_ref().is_some_and(|flight| flight.doubtful);
        let sent = flight.into_iter().flat_map(|flight| flight.items);
        let mut items: Vec<(T, bool)> = sent.map(|item| (item.tag, doubtful)).collect();
        let unsent = self.decisions.drain(..).chain(self.calls.drain(..));
        items.extend(unsent.map(|item| (item.tag, false)));
        items
    }
}
