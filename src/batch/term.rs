//! An owner's term: decisions, and the tasks that carry them out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::StreamExt;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::BatchMetrics;
use crate::batch::Dispatcher;
use crate::batch::Event;
use crate::batch::Fence;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::PauseDetector;
use crate::batch::Platform;
use crate::batch::Record;
use crate::batch::Stream;
use crate::batch::appender::Appender;
use crate::batch::contact::Contact;
use crate::batch::directives_cache::DirectivesCache;
use crate::batch::owner::Message;
use crate::batch::takeover::Takeover;
use crate::batch::watchers;
use crate::log::AppendError;
use crate::name::NodeName;
use crate::observe::unix_millis;

/// Time between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 40;
/// The same while tasks may wait to be started.
const DIRTY_MS: u64 = 5;
/// Age from which on the log as read is too old to deny that a job exists, in milliseconds.
const STALE_MS: u64 = 2_000;

/// What the owner's tasks share.
pub(super) struct Term<P> {
    pub platform: Rc<P>,
    pub view: Rc<DirectivesCache>,
    pub fence: Fence,
    pub node: NodeName,
    pub log: Logger,
    pub metrics: BatchMetrics,
    pub inbox: UnboundedSender<Message>,
    pub read: Rc<Cell<Instant>>,
    /// The election's last answers; it ends the term if it names another process.
    pub contact: Rc<Contact>,
}

impl<P: Platform> Term<P> {
    /// Takes over and decides until the term is over.
    pub async fn run(self, inbox: UnboundedReceiver<Message>) {
        let begun = Instant::now();
        let pause = PauseDetector::new(now());
        let takeover = Takeover {
            platform: self.platform.clone(),
            fence: self.fence,
            node: self.node.clone(),
            log: self.log.clone(),
        };
        let Some((state, next)) = takeover.run().await else {
            return;
        };
        info!(self.log, "owner"; "fence" => self.fence, "jobs" => state.jobs.len(),
            "executors" => state.assigned.len(), "took_ms" => millis(begun.elapsed()));
        let mut dispatcher = Dispatcher::new(
            now(),
            self.fence,
            self.node.clone(),
            state,
            self.log.clone(),
        );
        dispatcher.retain(self.platform.retention());
        dispatcher.set_stop_time(now(), self.platform.stop_time());
        dispatcher.begin(now());
        // The term's first record had the number 0.
        let appender = Appender::spawn(
            self.platform.clone(),
            Stream::Owner,
            self.fence,
            1,
            self.log.clone(),
        );
        // Dropped with this task, they end with it.
        let _tasks = [
            compio::runtime::spawn(watchers::tail(
                self.platform.clone(),
                next,
                self.inbox.clone(),
                self.read.clone(),
                self.log.clone(),
            )),
            compio::runtime::spawn(watchers::hosts(
                self.platform.clone(),
                self.inbox.clone(),
                self.log.clone(),
            )),
            compio::runtime::spawn(watchers::executors(
                self.platform.clone(),
                self.inbox.clone(),
                self.log.clone(),
            )),
        ];
        self.decide(dispatcher, inbox, &appender, pause).await;
        info!(self.log, "owner no more"; "fence" => self.fence);
    }

    async fn decide(
        &self,
        mut dispatcher: Dispatcher,
        mut inbox: UnboundedReceiver<Message>,
        appender: &Appender,
        mut pause: PauseDetector,
    ) {
        let mut changes = 0;
        loop {
            let tick = if dispatcher.is_dirty() {
                DIRTY_MS
            } else {
                TICK_MS
            };
            let tick = Duration::from_millis(tick);
            let mut message = match compio::time::timeout(tick, inbox.next()).await {
                Ok(Some(message)) => Some(message),
                Ok(None) => return,
                Err(_) => None,
            };
            if self.view.changes() > changes {
                changes = self.view.changes();
                dispatcher.handle(now(), Event::Directives(self.view.directives()));
            }
            while let Some(one) = message {
                match one {
                    Message::Event(event) => dispatcher.handle(now(), event),
                    Message::OwnerRequest(ask, reply) => {
                        self.answer(&mut dispatcher, appender, ask, reply)
                    }
                    Message::Superseded => return,
                }
                message = inbox.try_recv().ok();
            }
            if pause.observe(now()) {
                warn!(self.log, "paused"; "fence" => self.fence);
            }
            let confirmed = self.contact.confirmed();
            if !pause.may_act(self.contact.asked(), confirmed) {
                continue;
            }
            dispatcher.confirm(confirmed);
            dispatcher.measure(now(), &self.metrics);
            for action in dispatcher.poll(now()) {
                if !self.act(action, appender) {
                    return;
                }
            }
        }
    }

    /// Answers a gate, at once or when its records are in the log.
    fn answer(
        &self,
        dispatcher: &mut Dispatcher,
        appender: &Appender,
        ask: OwnerRequest,
        reply: oneshot::Sender<OwnerResponse>,
    ) {
        let answer = dispatcher.answer(&ask);
        let stale = self.read.get().elapsed() > Duration::from_millis(STALE_MS);
        let (records, wait) = match (ask, answer) {
            (OwnerRequest::Accept(job, wait), OwnerResponse::Unknown) => {
                let grant = (job.id, dispatcher.initial_partitions(&job));
                let grant = Record::Granted(vec![grant]);
                (vec![Record::Accepted(job), grant], wait)
            }
            (OwnerRequest::Cancel(id, wait), _) => (vec![Record::Cancelled(id)], wait),
            (_, answer) => {
                let unsure = stale && answer == OwnerResponse::State(None);
                // A gate that has given up needs no answer.
                let _ = reply.send(if unsure {
                    OwnerResponse::Unknown
                } else {
                    answer
                });
                return;
            }
        };
        let until = Instant::now() + Duration::from_millis(wait);
        let inbox = self.inbox.clone();
        let stored = records.clone();
        let told = move |result| {
            let answer = match result {
                Ok(()) => {
                    // The owner must know of it before the client does.
                    let _ = inbox.unbounded_send(Message::Event(Event::Stored(stored)));
                    OwnerResponse::Stored
                }
                Err(AppendError::NotAppended(_)) => OwnerResponse::Busy,
                Err(AppendError::Unknown(_)) => OwnerResponse::Unknown,
                Err(AppendError::Fenced) => OwnerResponse::Superseded,
            };
            let _ = reply.send(answer);
        };
        appender.append(&records, Some(until), Box::new(told));
    }

    /// Appends records of this owner's own.
    fn append(&self, appender: &Appender, append_id: u64, records: &[Record]) {
        let inbox = self.inbox.clone();
        let told = move |result: Result<(), _>| {
            let message = result.map_or(Message::Superseded, |()| {
                Message::Event(Event::Appended(append_id))
            });
            // An owner whose term is over needs no outcome.
            let _ = inbox.unbounded_send(message);
        };
        appender.append(records, None, Box::new(told));
    }

    /// Carries an action out; returns whether the term goes on.
    fn act(&self, action: Action, appender: &Appender) -> bool {
        let site = self.platform.clone();
        let sent = Instant::now();
        match action {
            Action::StepDown => return false,
            Action::Append { append_id, records } => self.append(appender, append_id, &records),
            Action::Report { wave, state } => {
                let report = async move { site.report(wave, state).await };
                let event = move |told: Result<(), _>| Event::Reported {
                    wave,
                    state,
                    told: told.is_ok(),
                };
                self.spawn(async move { event(report.await) });
            }
            Action::Heartbeat(order) => self.order(
                "hold",
                order,
                async move |order| site.heartbeat(order).await,
                move |order, result| Event::HeartbeatAnswered {
                    order,
                    sent,
                    result,
                },
            ),
            Action::Start(order) => self.order(
                "start",
                order,
                async move |order| site.start(order).await,
                |order, result| Event::Started { order, result },
            ),
            Action::Stop(order) => self.order(
                "stop",
                order,
                async move |order| site.stop(order).await,
                |order, result| Event::Stopped { order, result },
            ),
            Action::Pace(order) => self.order(
                "pace",
                order,
                async move |order| site.pace(order).await,
                |order, result| Event::Paced { order, result },
            ),
            Action::Consult(question) => self.order(
                "consult",
                question,
                async move |question| site.consult(question).await,
                |question, result| Event::Advised { question, result },
            ),
            Action::Transfer(order) => self.order(
                "transfer",
                order,
                async move |order| site.transfer(order).await,
                |order, result| Event::Transferred { order, result },
            ),
            Action::Maintain(order) => self.order(
                "maintain",
                order,
                async move |order| site.maintain(order).await,
                |order, result| Event::Maintained { order, result },
            ),
        }
        true
    }

    /// Gives an order in a task of its own, measures it, and tells the owner of its outcome.
    fn order<O: 'static, T: 'static>(
        &self,
        kind: &'static str,
        order: O,
        send: impl AsyncFnOnce(&O) -> Result<T, OrderError> + 'static,
        event: impl FnOnce(O, Result<T, OrderError>) -> Event + 'static,
    ) {
        let metrics = self.metrics.clone();
        let start = Instant::now();
        self.spawn(async move {
            let result = send(&order).await;
            metrics.record_order(kind, start, result.as_ref().err().copied());
            event(order, result)
        });
    }

    /// Runs a task whose outcome the owner is told.
    fn spawn(&self, task: impl Future<Output = Event> + 'static) {
        let inbox = self.inbox.clone();
        compio::runtime::spawn(async move {
            let event = task.await;
            // An owner whose term is over needs no outcome.
            let _ = inbox.unbounded_send(Message::Event(event));
        })
        .detach();
    }
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
