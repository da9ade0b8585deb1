//! Tasks that watch the log, the executors and the hosts for an owner.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::warn;

use crate::batch::Event;
use crate::batch::Platform;
use crate::batch::Stream;
use crate::batch::Watch;
use crate::batch::inbox::Inbox;
use crate::batch::inbox::Message;
use crate::batch::takeover::decode;
use crate::log::ReadError;

/// Maximum time for which a read of the log waits for a record, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Time between two reads of the log, in milliseconds.
const READ_INTERVAL_MS: u64 = 15;
/// Time between two attempts to reach the log, in milliseconds.
const RETRY_MS: u64 = 150;
/// Time between two reads of the list of executors, in milliseconds.
const EXECUTORS_INTERVAL_MS: u64 = 200;
/// Time between two reads of the list of hosts, in milliseconds.
const HOSTS_INTERVAL_MS: u64 = 700;

/// Passes the records of the gates' stream to the owner. `last_read` is the time of the last read
/// that reached the end of the stream.
pub(super) async fn tail_log<P: Platform>(
    platform: Rc<P>,
    mut next: u64,
    inbox: Inbox,
    last_read: Rc<Cell<Instant>>,
    log: Logger,
) {
    loop {
        let asked = Instant::now();
        match platform.read(Stream::Gates, next, WAIT_MS).await {
            Ok(batch) => {
                next = batch.next;
                let more = next < batch.end;
                let records = decode(&batch.records, &log);
                if !batch.records.is_empty() {
                    let event = Event::Records { records, more };
                    inbox.send(Message::Event(event));
                }
                if !more {
                    last_read.set(asked);
                    compio::time::sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
                }
            }
            Err(ReadError::Gone(first, _)) => {
                warn!(log, "log records expired unread; skipping them";
                    "from" => next, "to" => first);
                next = first.max(next);
            }
            Err(err) => {
                warn!(log, "log unreachable; retrying"; "why" => %err);
                compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Passes changes of the list of executors to the owner.
pub(super) async fn watch_executors<P: Platform>(platform: Rc<P>, inbox: Inbox, log: Logger) {
    let mut watch = platform.executors();
    loop {
        match watch.next().await {
            Ok(Some(list)) => {
                let event = Event::Executors(list);
                inbox.send(Message::Event(event));
            }
            Ok(None) => {}
            Err(err) => warn!(log, "list of executors unreachable; retrying"; "why" => %err),
        }
        compio::time::sleep(Duration::from_millis(EXECUTORS_INTERVAL_MS)).await;
    }
}

/// Passes the list of hosts to the owner.
pub(super) async fn watch_hosts<P: Platform>(platform: Rc<P>, inbox: Inbox, log: Logger) {
    loop {
        match platform.hosts().await {
            Ok(list) => {
                inbox.send(Message::Event(Event::Hosts(list)));
            }
            Err(err) => warn!(log, "list of hosts unreachable; retrying"; "why" => %err),
        }
        compio::time::sleep(Duration::from_millis(HOSTS_INTERVAL_MS)).await;
    }
}
