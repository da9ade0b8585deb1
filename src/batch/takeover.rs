//! First phase of a term: fencing earlier owners and reading the log.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::warn;

use crate::batch::BatchState;
use crate::batch::Fence;
use crate::batch::Platform;
use crate::batch::Record;
use crate::batch::Stream;
use crate::batch::Writer;
use crate::log::AppendError;
use crate::log::ReadError;
use crate::name::NodeName;

/// Time between two attempts to reach the log, in milliseconds.
const RETRY_MS: u64 = 150;
/// Timeout of one attempt at the first append of a term, in milliseconds.
const APPEND_MS: u64 = 1_500;

/// Begins a term.
pub(super) struct Takeover<P> {
    pub platform: Rc<P>,
    pub fence: Fence,
    pub node: NodeName,
    pub log: Logger,
}

impl<P: Platform> Takeover<P> {
    /// Reads the log, fences earlier owners and reads what they appended meanwhile. Returns the
    /// state and the next offset of the gates' stream, or `None` if a later owner has begun or the
    /// first record can't be encoded.
    pub async fn run(&self) -> Option<(BatchState, u64)> {
        let mut owner_records = Vec::new();
        let next = self.read(Stream::Owner, 0, &mut owner_records).await;
        if !self.append_first().await {
            return None;
        }
        self.read(Stream::Owner, next, &mut owner_records).await;
        let mut gate_records = Vec::new();
        let next = self.read(Stream::Gates, 0, &mut gate_records).await;
        let state = BatchState::fold(owner_records, gate_records);
        (state.fence == self.fence).then_some((state, next))
    }

    /// Reads a stream from `next` to its end; returns the next offset.
    async fn read(&self, stream: Stream, mut next: u64, records: &mut Vec<Record>) -> u64 {
        loop {
            let batch = match self.platform.read(stream, next, 0).await {
                Ok(batch) => batch,
                Err(ReadError::Gone(first, _)) => {
                    // The oldest records have expired. Active jobs, executors and waves were
                    // rewritten to later ones.
                    next = first.max(next + 1);
                    continue;
                }
                Err(err) => {
                    warn!(self.log, "log unreachable; retrying"; "why" => %err);
                    compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                    continue;
                }
            };
            next = batch.next;
            records.extend(decode(&batch.records, &self.log));
            if batch.next >= batch.end {
                return next;
            }
        }
    }

    /// Appends the first record of the term, which fences earlier owners. Returns whether it is in
    /// the log; if not, a later owner has begun or the record can't be encoded.
    async fn append_first(&self) -> bool {
        let record = Record::TermStarted {
            fence: self.fence,
            node: self.node.clone(),
        };
        let Ok(bytes) = record.encode() else {
            return false;
        };
        let records = [bytes];
        let writer = Writer {
            fence: self.fence,
            sequence: 0,
        };
        loop {
            let deadline = Instant::now() + Duration::from_millis(APPEND_MS);
            let result = self
                .platform
                .append(Stream::Owner, &records, writer, deadline)
                .await;
            match result {
                Ok(_) => return true,
                Err(AppendError::Fenced) => return false,
                Err(err) => {
                    warn!(self.log, "first append of the term failed; retrying"; "why" => %err)
                }
            }
            compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

/// Decodes records; those that can't be decoded are logged and skipped.
pub(super) fn decode(records: &[Vec<u8>], log: &Logger) -> Vec<Record> {
    let decoded = records.iter().filter_map(|bytes| {
        let record = Record::decode(bytes);
        if let Err(err) = &record {
            warn!(log, "undecodable log record skipped"; "why" => %err, "bytes" => bytes.len());
        }
        record.ok()
    });
    decoded.collect()
}
