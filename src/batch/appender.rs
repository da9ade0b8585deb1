//! Appends records to a stream of the log, in order.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::JoinHandle;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use slog::Logger;
use slog::info;
use slog::warn;

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
/// Time in which records gather for one append, in milliseconds.
const GATHER_MS: u64 = 8;

/// Is told what became of records.
pub(super) type Reply = Box<dyn FnOnce(Result<(), AppendError>)>;

/// A stream's running appender; dropping it ends it.
pub(super) struct Appender {
    queue: UnboundedSender<QueuedRecords<Reply>>,
    _task: JoinHandle<()>,
}

impl Appender {
    /// Appends to `stream` as the writer `fence`, from the number `sequence` on.
    pub fn spawn<P: Platform>(
        platform: Rc<P>,
        stream: Stream,
        fence: Fence,
        sequence: u64,
        log: Logger,
    ) -> Self {
        let (queue, queued) = unbounded();
        let task = Task {
            platform,
            stream,
            fence,
            queued,
            line: AppendQueue::new(sequence),
            time: AdaptiveTimeout::default(),
            failing: false,
            log,
        };
        Self {
            queue,
            _task: compio::runtime::spawn(task.run()),
        }
    }

    /// Appends records and tells `reply` of it. With `deadline`, it is told by then unless the
    /// records may be on their way into the log.
    pub fn append(&self, records: &[Record], deadline: Option<Instant>, reply: Reply) {
        let records: Result<Vec<_>, _> = records.iter().map(Record::encode).collect();
        let records = match records {
            Ok(records) => records,
            Err(err) => return reply(Err(AppendError::NotAppended(err.to_string()))),
        };
        let item = QueuedRecords {
            tag: reply,
            deadline,
            records,
        };
        if let Err(err) = self.queue.unbounded_send(item) {
            let reply = err.into_inner().tag;
            reply(Err(AppendError::Fenced));
        }
    }
}

struct Task<P> {
    platform: Rc<P>,
    stream: Stream,
    fence: Fence,
    queued: UnboundedReceiver<QueuedRecords<Reply>>,
    line: AppendQueue<Reply>,
    time: AdaptiveTimeout,
    failing: bool,
    log: Logger,
}

impl<P: Platform> Task<P> {
    async fn run(mut self) {
        while let Some(first) = self.queued.next().await {
            self.line.push(first);
            pause(GATHER_MS).await;
            while let Some(records) = self.collect() {
                if !self.advance(&records).await {
                    return;
                }
            }
        }
    }

    /// Takes over what has come meanwhile; returns the records to send.
    fn collect(&mut self) -> Option<Vec<Vec<u8>>> {
        while let Ok(item) = self.queued.try_recv() {
            self.line.push(item);
        }
        let now = Instant::now();
        for reply in self.line.take_expired(now) {
            reply(Err(busy()));
        }
        self.line.next_append(now)
    }

    /// Sends records; returns whether this writer may go on.
    async fn advance(&mut self, records: &[Vec<u8>]) -> bool {
        let result = self.send(records).await;
        for reply in self.line.complete(&result) {
            reply(Ok(()));
        }
        match result {
            Ok(()) => self.note_success(),
            Err(AppendError::Fenced) => return self.fenced(),
            Err(err) => {
                self.note_failure(&err);
                pause(RETRY_MS).await;
            }
        }
        true
    }

    /// Sends one append, and answers the calls meanwhile that can't be stored in time.
    async fn send(&mut self, records: &[Vec<u8>]) -> Result<(), AppendError> {
        let writer = Writer {
            fence: self.fence,
            sequence: self.line.sequence(),
        };
        let begun = Instant::now();
        let deadline = begun + self.time.timeout();
        let sent = self.platform.append(self.stream, records, writer, deadline);
        let result = watch(sent, &mut self.queued, &mut self.line).await;
        match &result {
            Err(AppendError::Unknown(_)) => self.time.record_timeout(),
            _ => self.time.record_answer(begun.elapsed()),
        }
        result
    }

    /// Another writer has begun; returns whether this one starts anew.
    fn fenced(&mut self) -> bool {
        for (reply, doubtful) in self.line.close() {
            let unknown = || AppendError::Unknown("a later writer has begun".to_owned());
            let err = if doubtful {
                unknown()
            } else {
                AppendError::Fenced
            };
            reply(Err(err));
        }
        // Gates each write under a name of their own, so nobody has taken it over.
        let renews = self.stream == Stream::Gates;
        if renews {
            self.fence += 1;
            self.line = AppendQueue::new(0);
        }
        renews
    }

    fn note_success(&mut self) {
        if self.failing {
            info!(self.log, "log takes records again"; "stream" => ?self.stream,
                "sequence" => self.line.sequence());
        }
        self.failing = false;
    }

    fn note_failure(&mut self, err: &AppendError) {
        if !self.failing {
            warn!(self.log, "log takes no records"; "stream" => ?self.stream, "why" => %err,
                "sequence" => self.line.sequence());
        }
        self.failing = true;
    }
}

/// Waits for the end of an append, and tells calls that wait behind it if it takes too long.
async fn watch(
    append: impl Future<Output = Result<u64, AppendError>>,
    queued: &mut UnboundedReceiver<QueuedRecords<Reply>>,
    line: &mut AppendQueue<Reply>,
) -> Result<(), AppendError> {
    let mut append = std::pin::pin!(append);
    loop {
        let look = Duration::from_millis(RETRY_MS);
        if let Ok(result) = compio::time::timeout(look, append.as_mut()).await {
            return result.map(drop);
        }
        while let Ok(item) = queued.try_recv() {
            line.push(item);
        }
        for reply in line.take_expired(Instant::now()) {
            reply(Err(busy()));
        }
    }
}

fn busy() -> AppendError {
    AppendError::NotAppended("the log takes no records now".to_owned())
}

async fn pause(ms: u64) {
    compio::time::sleep(Duration::from_millis(ms)).await;
}
