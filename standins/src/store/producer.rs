//! Producers of a partition.

use std::collections::VecDeque;

use serde_json::Value;
use serde_json::json;

/// Number of recent appends per producer whose repetition is recognised.
const MAX_RECENT_APPENDS: usize = 5;

/// A producer that numbers its appends, so that a repeated one is stored once.
#[derive(Default)]
pub(super) struct Producer {
    epoch: u64,
    /// Expected sequence number of the next append; `None` accepts any, after a change of epoch.
    next: Option<u64>,
    /// Sequence numbers and offsets of the most recent appends.
    recent: VecDeque<(u64, u64)>,
}

impl Producer {
    /// Checks the sequence number of an append. Returns the offset of the first append if this one
    /// repeats it, or the body of the refusal.
    pub(super) fn check(&mut self, epoch: u64, sequence: u64) -> Result<Option<u64>, Value> {
        if epoch < self.epoch {
            return Err(json!({ "reason": "fenced" }));
        }
        self.advance(epoch);
        if let Some((_, offset)) = self.recent.iter().find(|(number, _)| *number == sequence) {
            return Ok(Some(*offset));
        }
        match self.next {
            Some(next) if next != sequence => Err(json!({ "reason": "seq", "expected": next })),
            _ => Ok(None),
        }
    }

    /// Begins a new numbering if the epoch is later than the one that it has.
    pub(super) fn advance(&mut self, epoch: u64) {
        if epoch > self.epoch {
            *self = Self {
                epoch,
                ..Self::default()
            };
        }
    }

    /// Notes an append and its offset.
    pub(super) fn record(&mut self, sequence: u64, offset: u64) {
        self.next = Some(sequence + 1);
        self.recent.push_back((sequence, offset));
        if self.recent.len() > MAX_RECENT_APPENDS {
            self.recent.pop_front();
        }
    }
}
