//! Writes an owner's records to the log, in order.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_util::StreamExt;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::batch::Event;
use crate::batch::Fence;
use crate::batch::Platform;
use crate::batch::Record;
use crate::batch::Writer;
use crate::batch::owner::Message;
use crate::log::AppendError;

/// Time that an append may take, in milliseconds.
const APPEND_MS: u64 = 2_500;
/// Time between two attempts at an append, in milliseconds.
const RETRY_MS: u64 = 150;
/// Time in which entries gather for one append, in milliseconds.
const GATHER_MS: u64 = 8;
/// Most entries of one append.
const ENTRY_LIMIT: usize = 200;

/// Records to append together, and the number under which to tell of it.
pub(super) struct Entry {
    /// The number.
    pub receipt: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Appends entries until the reign is over.
pub(super) async fn run<P: Platform>(
    platform: Rc<P>,
    fence: Fence,
    mut queued: UnboundedReceiver<Entry>,
    inbox: UnboundedSender<Message>,
    log: Logger,
) {
    // The reign's first record had the number 0.
    let mut sequence = 1;
    while let Some(first) = queued.next().await {
        compio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let mut entries = vec![first];
        while entries.len() < ENTRY_LIMIT
            && let Ok(next) = queued.try_recv()
        {
            entries.push(next);
        }
        let records = encode(&entries, &log);
        let writer = Writer { fence, sequence };
        if !records.is_empty() && !append(&*platform, &records, writer, &log).await {
            let _ = inbox.unbounded_send(Message::Superseded);
            return;
        }
        sequence += u64::from(!records.is_empty());
        for entry in entries {
            let event = Event::Appended(entry.receipt);
            let _ = inbox.unbounded_send(Message::Event(event));
        }
    }
}

fn encode(entries: &[Entry], log: &Logger) -> Vec<Vec<u8>> {
    let records = entries.iter().flat_map(|entry| &entry.records);
    let encoded = records.filter_map(|record| {
        let bytes = record.encode();
        if let Err(err) = &bytes {
            warn!(log, "record has no encoding"; "why" => %err);
        }
        bytes.ok()
    });
    encoded.collect()
}

/// Appends until it is known to be done; returns false once a later owner has begun.
async fn append<P: Platform>(
    platform: &P,
    records: &[Vec<u8>],
    writer: Writer,
    log: &Logger,
) -> bool {
    let mut failed = false;
    loop {
        let deadline = Instant::now() + Duration::from_millis(APPEND_MS);
        match platform.append(records, Some(writer), deadline).await {
            Ok(_) => {
                if failed {
                    info!(log, "log takes records again"; "sequence" => writer.sequence);
                }
                return true;
            }
            Err(AppendError::Fenced) => return false,
            Err(err) => {
                if !failed {
                    warn!(log, "log takes no records"; "why" => %err, "sequence" => writer.sequence);
                }
                failed = true;
                compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
