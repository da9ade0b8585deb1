//! Background task that appends records to a stream of the log, in order.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::JoinHandle;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;

use crate::batch::BatchMetrics;
use crate::batch::Fence;
use crate::batch::Platform;
use crate::batch::Record;
use crate::batch::Stream;
use crate::batch::Writer;
use crate::batch::adaptive_timeout::AdaptiveTimeout;
use crate::batch::append_queue::AppendQueue;
use crate::batch::append_queue::QueuedRecords;
use crate::log::AppendError;

/// Time between two attempts at an append, in milliseconds.
const RETRY_MS: u64 = 150;
/// Time for which records are collected into one append, in milliseconds.
const GATHER_MS: u64 = 8;

/// Called with the outcome of an append.
pub(super) type Reply = Box<dyn FnOnce(Result<(), AppendError>)>;

/// Handle to the running appender of a stream; dropping it ends the task.
pub(super) struct Appender {
    sender: UnboundedSender<QueuedRecords<Reply>>,
    /// Most bytes of a record.
    limit: Box<dyn Fn() -> usize>,
    log: Logger,
    metrics: BatchMetrics,
    _task: JoinHandle<()>,
}

impl Appender {
    /// Starts an appender that writes to `stream` as the writer `fence`; its first append has the
    /// sequence number `sequence`.
    pub fn spawn<P: Platform>(
        platform: Rc<P>,
        stream: Stream,
        fence: Fence,
        sequence: u64,
        log: Logger,
        metrics: BatchMetrics,
    ) -> Self {
        let (sender, received) = unbounded();
        let limited = platform.clone();
        let limit = Box::new(move || limited.record_limit());
        let own_log = log.clone();
        let task = AppendTask {
            platform,
            stream,
            fence,
            received,
            queue: AppendQueue::new(sequence),
            timeout: AdaptiveTimeout::default(),
            failing: false,
            log,
        };
        Self {
            sender,
            limit,
            log: own_log,
            metrics,
            _task: compio::runtime::spawn(task.run()),
        }
    }

    /// Appends records and calls `reply` with the outcome. If there is a deadline, that happens by
    /// then, unless the records are part of an append in flight. The log never accepts a record above
    /// its size limit. Records that include one are not sent: with a deadline, `reply` gets an error,
    /// without one, it is never called.
    pub fn append(&self, records: &[Record], deadline: Option<Instant>, reply: Reply) {
        let records: Result<Vec<_>, _> = records.iter().map(Record::encode).collect();
        let records = match records {
            Ok(records) => records,
            Err(err) => return reply(Err(AppendError::NotAppended(err.to_string()))),
        };
        if let Some(size) = self.excess(&records) {
            self.metrics.count_oversized();
            error!(self.log, "record exceeds the log's limit; it is not written"; "bytes" => size,
                "limit" => (self.limit)());
            if deadline.is_some() {
                reply(Err(AppendError::NotAppended(format!(
                    "a record has {size} bytes"
                ))));
            }
            return;
        }
        let item = QueuedRecords {
            tag: reply,
            deadline,
            records,
        };
        if let Err(err) = self.sender.unbounded_send(item) {
            let reply = err.into_inner().tag;
            reply(Err(AppendError::Fenced));
        }
    }

    /// Returns the size of the first record that exceeds the log's limit.
    fn excess(&self, records: &[Vec<u8>]) -> Option<usize> {
        let limit = (self.limit)();
        records.iter().map(Vec::len).find(|&size| size > limit)
    }
}

struct AppendTask<P> {
    platform: Rc<P>,
    stream: Stream,
    fence: Fence,
    received: UnboundedReceiver<QueuedRecords<Reply>>,
    queue: AppendQueue<Reply>,
    timeout: AdaptiveTimeout,
    failing: bool,
    log: Logger,
}

impl<P: Platform> AppendTask<P> {
    async fn run(mut self) {
        while let Some(first) = self.received.next().await {
            self.queue.push(first);
            sleep(GATHER_MS).await;
            while let Some(records) = self.collect() {
                if !self.advance(&records).await {
                    return;
                }
            }
        }
    }

    /// Queues the items that have arrived and rejects expired calls; returns the records to send.
    fn collect(&mut self) -> Option<Vec<Vec<u8>>> {
        while let Ok(item) = self.received.try_recv() {
            self.queue.push(item);
        }
        let now = Instant::now();
        for reply in self.queue.take_expired(now) {
            reply(Err(not_accepting()));
        }
        self.queue.next_append(now)
    }

    /// Sends one append and applies its result; returns whether this writer may continue.
    async fn advance(&mut self, records: &[Vec<u8>]) -> bool {
        let result = self.send(records).await;
        for reply in self.queue.complete(&result) {
            reply(Ok(()));
        }
        match result {
            Ok(()) => self.note_success(),
            Err(AppendError::Fenced) => return self.handle_fenced(),
            Err(err) => {
                self.note_failure(&err);
                sleep(RETRY_MS).await;
            }
        }
        true
    }

    /// Sends one append. While it is in flight, rejects queued calls that expire.
    async fn send(&mut self, records: &[Vec<u8>]) -> Result<(), AppendError> {
        let writer = Writer {
            fence: self.fence,
            sequence: self.queue.sequence(),
        };
        let started = Instant::now();
        let deadline = started + self.timeout.timeout();
        let sent = self.platform.append(self.stream, records, writer, deadline);
        let result = await_append(sent, &mut self.received, &mut self.queue).await;
        match &result {
            Err(AppendError::Unknown(_)) => self.timeout.record_timeout(),
            _ => self.timeout.record_answer(started.elapsed()),
        }
        result
    }

    /// Handles being fenced by a later writer; returns whether this one continues with a new fence.
    fn handle_fenced(&mut self) -> bool {
        for (reply, uncertain) in self.queue.close() {
            let unknown = || AppendError::Unknown("a later writer has fenced this one".to_owned());
            let err = if uncertain {
                unknown()
            } else {
                AppendError::Fenced
            };
            reply(Err(err));
        }
        // Each gate process writes under its own producer name, so no other process has taken over
        // its stream: the log refused the sequence number. A higher fence begins a new sequence.
        let renews = self.stream == Stream::Gates;
        if renews {
            self.fence += 1;
            self.queue = AppendQueue::new(0);
        }
        renews
    }

    fn note_success(&mut self) {
        if self.failing {
            info!(self.log, "log accepts appends again"; "stream" => ?self.stream,
                "sequence" => self.queue.sequence());
        }
        self.failing = false;
    }

    fn note_failure(&mut self, err: &AppendError) {
        if !self.failing {
            warn!(self.log, "append to the log failed; retrying"; "stream" => ?self.stream,
                "why" => %err, "sequence" => self.queue.sequence());
        }
        self.failing = true;
    }
}

/// Waits for an append in flight, and meanwhile rejects the calls queued behind it that expire.
async fn await_append(
    append: impl Future<Output = Result<u64, AppendError>>,
    received: &mut UnboundedReceiver<QueuedRecords<Reply>>,
    queue: &mut AppendQueue<Reply>,
) -> Result<(), AppendError> {
    let mut append = std::pin::pin!(append);
    loop {
        let interval = Duration::from_millis(RETRY_MS);
        if let Ok(result) = compio::time::timeout(interval, append.as_mut()).await {
            return result.map(drop);
        }
        while let Ok(item) = received.try_recv() {
            queue.push(item);
        }
        for reply in queue.take_expired(Instant::now()) {
            reply(Err(not_accepting()));
        }
    }
}

fn not_accepting() -> AppendError {
    AppendError::NotAppended("the log is not accepting appends".to_owned())
}

async fn sleep(ms: u64) {
    compio::time::sleep(Duration::from_millis(ms)).await;
}
