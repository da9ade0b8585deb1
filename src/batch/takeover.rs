//! What an owner does before it decides anything.

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

/// Time between two attempts to reach the store, in milliseconds.
const RETRY_MS: u64 = 150;
/// Time that the first append of a term may take, in milliseconds.
const APPEND_MS: u64 = 1_500;

/// Begins a term: what lies in the log is read, and earlier owners are shut out.
pub(super) struct Takeover<P> {
    pub platform: Rc<P>,
    pub fence: Fence,
    pub node: NodeName,
    pub log: Logger,
}

impl<P: Platform> Takeover<P> {
    /// Reads the log to its end, shuts out earlier owners, and reads what they wrote last.
    pub async fn run(&self) -> Option<(BatchState, u64)> {
        let mut owners = Vec::new();
        let next = self.read(Stream::Owner, 0, &mut owners).await;
        if !self.begin().await {
            return None;
        }
        self.read(Stream::Owner, next, &mut owners).await;
        let mut gates = Vec::new();
        let next = self.read(Stream::Gates, 0, &mut gates).await;
        let state = BatchState::fold(owners, gates);
        (state.fence == self.fence).then_some((state, next))
    }

    /// Reads a stream's records from `next` on to its end; returns from where they go on.
    async fn read(&self, stream: Stream, mut next: u64, records: &mut Vec<Record>) -> u64 {
        loop {
            let batch = match self.platform.read(stream, next, 0).await {
                Ok(batch) => batch,
                Err(ReadError::Gone(first, _)) => {
                    next = first.max(next + 1);
                    continue;
                }
                Err(err) => {
                    warn!(self.log, "log out of reach"; "why" => %err);
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

    /// Appends this term's first record; returns whether it is in the log.
    async fn begin(&self) -> bool {
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
                Err(err) => warn!(self.log, "term not begun yet"; "why" => %err),
            }
            compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

/// The records of the log; those that can't be read are left out, with a line.
pub(super) fn decode(records: &[Vec<u8>], log: &Logger) -> Vec<Record> {
    let decoded = records.iter().filter_map(|bytes| {
        let record = Record::decode(bytes);
        if let Err(err) = &record {
            warn!(log, "record not understood"; "why" => %err, "bytes" => bytes.len());
        }
        record.ok()
    });
    decoded.collect()
}
