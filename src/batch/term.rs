//! An owner's term: runs the dispatcher and carries out its actions.

mod answers;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
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
use crate::batch::OwnerLoad;
use crate::batch::OwnerTask;
use crate::batch::PauseDetector;
use crate::batch::Platform;
use crate::batch::PollPhase;
use crate::batch::Record;
use crate::batch::Stream;
use crate::batch::appender::Appender;
use crate::batch::contact::Contact;
use crate::batch::directives_cache::DirectivesCache;
use crate::batch::inbox::Envelope;
use crate::batch::inbox::Inbox;
use crate::batch::inbox::Message;
use crate::batch::takeover::Takeover;
use crate::batch::tenure::Tenure;
use crate::batch::watchers;
use crate::name::NodeName;
use crate::observe::unix_millis;

/// Time between two polls of the dispatcher, in milliseconds.
const TICK_MS: u64 = 40;
/// Time between two polls while tasks may be waiting to be started, in milliseconds.
const DIRTY_TICK_MS: u64 = 5;
/// State shared by the tasks of a term.
pub(super) struct Term<P> {
    pub platform: Rc<P>,
    pub directives: Rc<DirectivesCache>,
    pub fence: Fence,
    pub node: NodeName,
    pub log: Logger,
    pub metrics: BatchMetrics,
    pub inbox: Inbox,
    /// When the gates' stream was last read to its end.
    pub last_read: Rc<Cell<Instant>>,
    /// Times of the last exchanges with the election, which ends the term if it names another
    /// process.
    pub contact: Rc<Contact>,
    /// Which of the election's confirmations count.
    pub tenure: Rc<RefCell<Tenure>>,
}

impl<P: Platform> Term<P> {
    /// Takes over from earlier owners and runs the dispatcher until the term ends.
    pub async fn run(self, inbox: UnboundedReceiver<Envelope>) {
        let started = Instant::now();
        let pause_detector = PauseDetector::new(now());
        let takeover = Takeover {
            platform: self.platform.clone(),
            fence: self.fence,
            node: self.node.clone(),
            log: self.log.clone(),
        };
        let Some((state, next)) = takeover.run().await else {
            return;
        };
        info!(self.log, "takeover complete"; "fence" => self.fence, "jobs" => state.jobs.len(),
            "executors" => state.assigned.len(), "took_ms" => millis(started.elapsed()));
        let mut dispatcher = Dispatcher::new(
            now(),
            self.fence,
            self.node.clone(),
            state,
            self.log.clone(),
        );
        dispatcher.set_retention(self.platform.retention());
        dispatcher.set_record_limit(self.platform.record_limit());
        dispatcher.set_lease_limit(self.platform.lease_limit());
        dispatcher.set_division(self.platform.divides_hosts());
        dispatcher.set_stop_time(now(), self.platform.stop_time());
        dispatcher.begin(now());
        // The takeover made the first append of the term, with sequence number 0.
        let appender = Appender::spawn(
            self.platform.clone(),
            Stream::Owner,
            self.fence,
            1,
            self.log.clone(),
            self.metrics.clone(),
        );
        // Dropping the handles when this task ends ends these tasks too.
        let _tasks = [
            compio::runtime::spawn(watchers::tail_log(
                self.platform.clone(),
                next,
                self.inbox.clone(),
                self.last_read.clone(),
                self.log.clone(),
            )),
            compio::runtime::spawn(watchers::watch_hosts(
                self.platform.clone(),
                self.inbox.clone(),
                self.log.clone(),
            )),
            compio::runtime::spawn(watchers::watch_executors(
                self.platform.clone(),
                self.inbox.clone(),
                self.log.clone(),
            )),
        ];
        self.run_dispatcher(dispatcher, inbox, &appender, pause_detector)
            .await;
        info!(self.log, "term ended"; "fence" => self.fence);
    }

    async fn run_dispatcher(
        &self,
        mut dispatcher: Dispatcher,
        mut inbox: UnboundedReceiver<Envelope>,
        appender: &Appender,
        mut pause_detector: PauseDetector,
    ) {
        let mut changes = 0;
        let mut load = OwnerLoad::new(Instant::now());
        loop {
            let tick = if dispatcher.is_dirty() {
                DIRTY_TICK_MS
            } else {
                TICK_MS
            };
            let tick = Duration::from_millis(tick);
            let message = match compio::time::timeout(tick, inbox.next()).await {
                Ok(Some(message)) => Some(message),
                Ok(None) => return,
                Err(_) => None,
            };
            let began = Instant::now();
            if self.directives.changes() > changes {
                changes = self.directives.changes();
                dispatcher.handle(now(), Event::Directives(self.directives.directives()));
            }
            if !self.handle_messages(&mut dispatcher, appender, message, &mut inbox, &mut load) {
                return;
            }
            load.note_spent(OwnerTask::Messages, began.elapsed());
            if let Some(summary) = load.summarize(Instant::now(), dispatcher.effort()) {
                self.metrics.record_load(&summary);
                summary.log(&self.log, dispatcher.active_jobs());
            }
            if pause_detector.observe(now()) {
                warn!(self.log, "process paused; no orders until the election is asked again";
                    "fence" => self.fence);
            }
            self.check_tenure(appender);
            let confirmed = self.tenure.borrow().confirmed();
            if !pause_detector.may_act(self.contact.asked(), confirmed) {
                dispatcher.update_backlog(now());
                continue;
            }
            dispatcher.confirm(confirmed);
            dispatcher.measure(now(), &self.metrics);
            if !self.poll(&mut dispatcher, appender, &mut load) {
                return;
            }
        }
    }

    /// Handles a message and those that follow it in the inbox; returns whether the term continues.
    fn handle_messages(
        &self,
        dispatcher: &mut Dispatcher,
        appender: &Appender,
        first: Option<Envelope>,
        inbox: &mut UnboundedReceiver<Envelope>,
        load: &mut OwnerLoad,
    ) -> bool {
        let mut next = first;
        let mut count = 0;
        let mut lag = Duration::ZERO;
        while let Some(Envelope { sent, message }) = next {
            count += 1;
            lag = lag.max(sent.elapsed());
            match message {
                Message::Event(event) => dispatcher.handle(now(), event),
                Message::Request(request, reply) => {
                    self.answer(dispatcher, appender, request, reply);
                }
                Message::Superseded => return false,
            }
            next = inbox.try_recv().ok();
        }
        load.note_round(count, lag);
        true
    }

    /// Polls the dispatcher and carries out its actions; returns whether the term continues.
    fn poll(&self, dispatcher: &mut Dispatcher, appender: &Appender, load: &mut OwnerLoad) -> bool {
        let now = now();
        for phase in PollPhase::ALL {
            let began = Instant::now();
            dispatcher.run_phase(now, phase);
            load.note_spent(OwnerTask::Poll(phase), began.elapsed());
        }
        let began = Instant::now();
        let mut actions = dispatcher.take_actions().into_iter();
        let continues = actions.all(|action| self.carry_out(action, appender));
        load.note_spent(OwnerTask::Actions, began.elapsed());
        continues
    }

    /// Takes note of the election's last confirmation. If the group has changed, appends the record
    /// without which it doesn't count.
    fn check_tenure(&self, appender: &Appender) {
        let confirmation = self.contact.confirmation();
        let Some(generation) = self.tenure.borrow_mut().observe(confirmation) else {
            return;
        };
        info!(self.log, "election changed; the log is to show that no later owner has begun";
            "fence" => self.fence, "generation" => generation);
        let inbox = self.inbox.clone();
        let tenure = self.tenure.clone();
        let on_result = move |result: Result<(), _>| match result {
            Ok(()) => tenure.borrow_mut().complete_check(),
            Err(_) => inbox.send(Message::Superseded),
        };
        let record = Record::TermContinued { generation };
        appender.append(&[record], None, Box::new(on_result));
    }

    /// Appends records that the dispatcher asked for.
    fn append(&self, appender: &Appender, append_id: u64, records: &[Record]) {
        let inbox = self.inbox.clone();
        let on_result = move |result: Result<(), _>| {
            // After an error no more records can be appended, usually because another owner has
            // begun its term.
            let message = result.map_or(Message::Superseded, |()| {
                Message::Event(Event::Appended(append_id))
            });
            inbox.send(message);
        };
        appender.append(records, None, Box::new(on_result));
    }

    /// Carries out an action; returns whether the term continues.
    fn carry_out(&self, action: Action, appender: &Appender) -> bool {
        let platform = self.platform.clone();
        let sent = Instant::now();
        match action {
            Action::StepDown => return false,
            Action::Append { append_id, records } => self.append(appender, append_id, &records),
            Action::Report { wave, state } => {
                let report = async move { platform.report(wave, state).await };
                let event = move |result: Result<(), _>| Event::Reported {
                    wave,
                    state,
                    stored: result.is_ok(),
                };
                self.spawn(async move { event(report.await) });
            }
            Action::Heartbeat(order) => self.send_order(
                // Name of heartbeats in the metrics.
                "hold",
                order,
                async move |order| platform.heartbeat(order).await,
                move |order, result| Event::HeartbeatAnswered {
                    order,
                    sent,
                    result,
                },
            ),
            Action::Start(order) => self.send_order(
                "start",
                order,
                async move |order| platform.start(order).await,
                |order, result| Event::Started { order, result },
            ),
            Action::Stop(order) => self.send_order(
                "stop",
                order,
                async move |order| platform.stop(order).await,
                |order, result| Event::Stopped { order, result },
            ),
            Action::Pace(order) => self.send_order(
                "pace",
                order,
                async move |order| platform.pace(order).await,
                |order, result| Event::Paced { order, result },
            ),
            Action::Consult(question) => self.send_order(
                "consult",
                question,
                async move |question| platform.consult(question).await,
                |question, result| Event::Advised { question, result },
            ),
            Action::Transfer(order) => self.send_order(
                "transfer",
                order,
                async move |order| platform.transfer(order).await,
                |order, result| Event::Transferred { order, result },
            ),
            Action::Maintain(order) => self.send_order(
                "maintain",
                order,
                async move |order| platform.maintain(order).await,
                |order, result| Event::Maintained { order, result },
            ),
        }
        true
    }

    /// Sends an order in a task of its own, records its latency and passes its result to the
    /// dispatcher.
    fn send_order<O: 'static, T: 'static>(
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

    /// Runs a task and passes the event that it results in to the dispatcher.
    fn spawn(&self, task: impl Future<Output = Event> + 'static) {
        let inbox = self.inbox.clone();
        // Kept in one place: the runtime moves a new task several times.
        let task = Box::pin(task);
        compio::runtime::spawn(async move {
            let event = task.await;
            inbox.send(Message::Event(event));
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
