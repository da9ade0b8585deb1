//! The running owner: decisions, and the tasks that carry them out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::JoinHandle;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_channel::oneshot;
use futures_util::StreamExt;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Answer;
use crate::batch::Ask;
use crate::batch::Book;
use crate::batch::Dispatcher;
use crate::batch::Event;
use crate::batch::Fence;
use crate::batch::Meters;
use crate::batch::Now;
use crate::batch::Platform;
use crate::batch::Record;
use crate::batch::Watch;
use crate::batch::Writer;
use crate::batch::view::View;
use crate::batch::writer;
use crate::batch::writer::Entry;
use crate::log::AppendError;
use crate::log::ReadError;
use crate::name::NodeName;
use crate::observe::unix_millis;

/// Time between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 40;
/// Longest that one read of the log waits for a record, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Time between two reads of the log, in milliseconds.
const PACE_MS: u64 = 15;
/// Time between two attempts to reach the store, in milliseconds.
const RETRY_MS: u64 = 150;
/// Time between two reads of the list of executors, in milliseconds.
const LIST_MS: u64 = 200;
/// Time between two reads of the list of hosts, in milliseconds.
const HOSTS_MS: u64 = 700;
/// Time that the first append of a reign may take, in milliseconds.
const APPEND_MS: u64 = 1_500;
/// Age from which on the log as read is too old to deny that a job exists, in milliseconds.
const STALE_MS: u64 = 2_000;

/// What reaches the owner's task.
pub(super) enum Message {
    /// It learns something.
    Event(Event),
    /// A gate asks.
    Ask(Ask, oneshot::Sender<Answer>),
    /// Another owner has begun.
    Superseded,
}

/// The running owner of all jobs; dropping it ends its reign.
pub struct Owner {
    fence: Fence,
    inbox: UnboundedSender<Message>,
    task: JoinHandle<()>,
}

impl Owner {
    /// Starts a reign: reads the log, takes the executors over and decides from then on.
    pub fn spawn<P: Platform>(
        platform: Rc<P>,
        view: Rc<View>,
        fence: Fence,
        node: NodeName,
        log: Logger,
        meters: Meters,
    ) -> Self {
        let (inbox, received) = unbounded();
        let reign = Reign {
            platform,
            view,
            fence,
            node,
            log,
            meters,
            inbox: inbox.clone(),
            read: Rc::new(Cell::new(Instant::now())),
        };
        let task = compio::runtime::spawn(reign.run(received));
        Self { fence, inbox, task }
    }

    /// Number of its reign.
    #[must_use]
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether it has ended by itself.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }

    /// Asks it; `None` if it has ended.
    pub fn ask(&self, ask: Ask) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        // If the owner has ended, the sender is dropped and the receiver learns of it.
        let _ = self.inbox.unbounded_send(Message::Ask(ask, sender));
        receiver
    }
}

/// What the owner's tasks share.
struct Reign<P> {
    platform: Rc<P>,
    view: Rc<View>,
    fence: Fence,
    node: NodeName,
    log: Logger,
    meters: Meters,
    inbox: UnboundedSender<Message>,
    read: Rc<Cell<Instant>>,
}

impl<P: Platform> Reign<P> {
    async fn run(self, inbox: UnboundedReceiver<Message>) {
        let begun = Instant::now();
        let Some((book, next)) = self.take_over().await else {
            return;
        };
        info!(self.log, "owner"; "fence" => self.fence, "jobs" => book.jobs.len(),
            "executors" => book.engaged.len(), "took_ms" => millis(begun.elapsed()));
        let mut dispatcher =
            Dispatcher::new(now(), self.fence, self.node.clone(), book, self.log.clone());
        dispatcher.retain(self.platform.retention());
        dispatcher.settle(now(), self.platform.stop_time());
        dispatcher.begin(now());
        let (entries, queued) = unbounded();
        let writer = writer::run(
            self.platform.clone(),
            self.fence,
            queued,
            self.inbox.clone(),
            self.log.clone(),
        );
        // Dropped with this task, they end with it.
        let _tasks = [
            compio::runtime::spawn(writer),
            compio::runtime::spawn(tail(
                self.platform.clone(),
                next,
                self.inbox.clone(),
                self.read.clone(),
                self.log.clone(),
            )),
            compio::runtime::spawn(hosts(
                self.platform.clone(),
                self.inbox.clone(),
                self.log.clone(),
            )),
            compio::runtime::spawn(list(
                self.platform.clone(),
                self.inbox.clone(),
                self.log.clone(),
            )),
        ];
        self.decide(dispatcher, inbox, entries).await;
        info!(self.log, "owner no more"; "fence" => self.fence);
    }

    /// Reads the log to its end, shuts out earlier owners, and reads what they wrote last.
    async fn take_over(&self) -> Option<(Book, u64)> {
        let mut book = Book::default();
        let mut next = 0;
        self.fold(&mut book, &mut next, false).await;
        if !self.begin().await {
            return None;
        }
        self.fold(&mut book, &mut next, true).await;
        (book.fence == self.fence).then_some((book, next))
    }

    /// Applies records up to the log's end, or up to this reign's own first.
    async fn fold(&self, book: &mut Book, next: &mut u64, own: bool) {
        loop {
            let batch = match self.platform.read(*next, 0).await {
                Ok(batch) => batch,
                Err(ReadError::Gone(first, _)) => {
                    *next = first.max(*next + 1);
                    continue;
                }
                Err(err) => {
                    warn!(self.log, "log out of reach"; "why" => %err);
                    compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                    continue;
                }
            };
            *next = batch.next;
            for record in decode(&batch.records, &self.log) {
                book.apply(record);
            }
            let ended = batch.next >= batch.end;
            if ended && (!own || book.fence >= self.fence) {
                return;
            }
        }
    }

    /// Appends this reign's first record; returns whether it is in the log.
    async fn begin(&self) -> bool {
        let record = Record::Took {
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
            let result = self.platform.append(&records, Some(writer), deadline).await;
            match result {
                Ok(_) => return true,
                Err(AppendError::Fenced) => return false,
                Err(err) => warn!(self.log, "reign not begun yet"; "why" => %err),
            }
            compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }

    async fn decide(
        &self,
        mut dispatcher: Dispatcher,
        mut inbox: UnboundedReceiver<Message>,
        entries: UnboundedSender<Entry>,
    ) {
        let mut changes = 0;
        let tick = Duration::from_millis(TICK_MS);
        loop {
            let mut message = match compio::time::timeout(tick, inbox.next()).await {
                Ok(Some(message)) => Some(message),
                Ok(None) => return,
                Err(_) => None,
            };
            if self.view.changes() > changes {
                changes = self.view.changes();
                dispatcher.handle(now(), Event::Orders(self.view.orders()));
            }
            while let Some(one) = message {
                match one {
                    Message::Event(event) => dispatcher.handle(now(), event),
                    Message::Ask(ask, reply) => {
                        // A gate that has given up needs no answer.
                        let _ = reply.send(self.answer(&dispatcher, &ask));
                    }
                    Message::Superseded => return,
                }
                message = inbox.try_recv().ok();
            }
            dispatcher.measure(&self.meters);
            for action in dispatcher.poll(now()) {
                if !self.act(action, &entries) {
                    return;
                }
            }
        }
    }

    fn answer(&self, dispatcher: &Dispatcher, ask: &Ask) -> Answer {
        let answer = dispatcher.answer(ask);
        let stale = self.read.get().elapsed() > Duration::from_millis(STALE_MS);
        match answer {
            Answer::State(None) if stale => Answer::Unsure,
            answer => answer,
        }
    }

    /// Carries an action out; returns whether the reign goes on.
    fn act(&self, action: Action, entries: &UnboundedSender<Entry>) -> bool {
        let platform = self.platform.clone();
        let inbox = self.inbox.clone();
        let meters = self.meters.clone();
        let start = Instant::now();
        match action {
            Action::Abdicate => return false,
            Action::Append { receipt, records } => {
                return entries.unbounded_send(Entry { receipt, records }).is_ok();
            }
            Action::Hold(order) => spawn(inbox, async move {
                let result = platform.hold(&order).await;
                meters.note_order("hold", start, result.as_ref().err().copied());
                Event::Held {
                    order,
                    sent: start,
                    result,
                }
            }),
            Action::Start(order) => spawn(inbox, async move {
                let result = platform.start(&order).await;
                meters.note_order("start", start, result.as_ref().err().copied());
                Event::Started { order, result }
            }),
            Action::Consult(question) => spawn(inbox, async move {
                let result = platform.consult(&question).await;
                meters.note_order("consult", start, result.as_ref().err().copied());
                Event::Advised { question, result }
            }),
            Action::Pace(order) => spawn(inbox, async move {
                let result = platform.pace(&order).await;
                meters.note_order("pace", start, result.as_ref().err().copied());
                Event::Paced { order, result }
            }),
            Action::Transfer(order) => spawn(inbox, async move {
                let result = platform.transfer(&order).await;
                meters.note_order("transfer", start, result.as_ref().err().copied());
                Event::Transferred { order, result }
            }),
            Action::Maintain(order) => spawn(inbox, async move {
                let result = platform.maintain(&order).await;
                meters.note_order("maintain", start, result.as_ref().err().copied());
                Event::Maintained { order, result }
            }),
            Action::Report { wave, state } => spawn(inbox, async move {
                let told = platform.report(wave, state).await.is_ok();
                Event::Reported { wave, state, told }
            }),
            Action::Stop(order) => spawn(inbox, async move {
                let result = platform.stop(&order).await;
                meters.note_order("stop", start, result.as_ref().err().copied());
                Event::Stopped { order, result }
            }),
        }
        true
    }
}

/// Runs an order in a task of its own and tells the owner of its outcome.
fn spawn(inbox: UnboundedSender<Message>, order: impl Future<Output = Event> + 'static) {
    compio::runtime::spawn(async move {
        let event = order.await;
        // An owner whose reign is over needs no outcome.
        let _ = inbox.unbounded_send(Message::Event(event));
    })
    .detach();
}

/// Tells the owner of the records that follow in the log.
async fn tail<P: Platform>(
    platform: Rc<P>,
    mut next: u64,
    inbox: UnboundedSender<Message>,
    read: Rc<Cell<Instant>>,
    log: Logger,
) {
    loop {
        let asked = Instant::now();
        match platform.read(next, WAIT_MS).await {
            Ok(batch) => {
                next = batch.next;
                read.set(asked);
                let records = decode(&batch.records, &log);
                if !records.is_empty() {
                    let event = Event::Records(records);
                    let _ = inbox.unbounded_send(Message::Event(event));
                }
                compio::time::sleep(Duration::from_millis(PACE_MS)).await;
            }
            Err(ReadError::Gone(first, _)) => {
                warn!(log, "records expired unread"; "from" => next, "to" => first);
                next = first.max(next);
            }
            Err(err) => {
                warn!(log, "log out of reach"; "why" => %err);
                compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Tells the owner of the executors.
async fn list<P: Platform>(platform: Rc<P>, inbox: UnboundedSender<Message>, log: Logger) {
    let mut watch = platform.executors();
    loop {
        match watch.next().await {
            Ok(Some(list)) => {
                let event = Event::Executors(list);
                let _ = inbox.unbounded_send(Message::Event(event));
            }
            Ok(None) => {}
            Err(err) => warn!(log, "list of executors out of reach"; "why" => %err),
        }
        compio::time::sleep(Duration::from_millis(LIST_MS)).await;
    }
}

/// Tells the owner of the hosts.
async fn hosts<P: Platform>(platform: Rc<P>, inbox: UnboundedSender<Message>, log: Logger) {
    loop {
        match platform.hosts().await {
            Ok(list) => {
                let _ = inbox.unbounded_send(Message::Event(Event::Hosts(list)));
            }
            Err(err) => warn!(log, "list of hosts out of reach"; "why" => %err),
        }
        compio::time::sleep(Duration::from_millis(HOSTS_MS)).await;
    }
}

fn decode(records: &[Vec<u8>], log: &Logger) -> Vec<Record> {
    let decoded = records.iter().filter_map(|bytes| {
        let record = Record::decode(bytes);
        if let Err(err) = &record {
            warn!(log, "record not understood"; "why" => %err, "bytes" => bytes.len());
        }
        record.ok()
    });
    decoded.collect()
}

fn now() -> Now {
    Now {
        at: Instant::now(),
        unix: unix_millis(),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
