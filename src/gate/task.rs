//! The task that runs the gate's decision logic.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use futures_util::stream::select_all;

use crate::gate::Action;
use crate::gate::AttemptOutcome;
use crate::gate::Event;
use crate::gate::Gate;
use crate::gate::step::Input;
use crate::gate::step::Step;
use crate::gate::task_controls::TaskControls;
use crate::http::BackendConnection;
use crate::http::IdleConnections;
use crate::member::StateEvent;
use crate::net::Link;
use crate::net::LinkId;
use crate::net::NetEvent;
use crate::observe::Recorder;
use crate::record::Role;
use crate::wire::Message;
use crate::wire::RequestId;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// Number of ticks between two renewals of task leases.
const RENEW_TICKS: u32 = 20;
/// Maximum number of further events that are handled before the actions are executed.
const MAX_BATCH_EVENTS: usize = 128;

enum Source {
    Net(NetEvent),
    State(StateEvent),
    Input(Input),
    Tick,
}

/// Passes events to the [`Gate`] and executes its actions. Owns the links to schedulers and the
/// idle connections to backend servers.
pub struct GateTask {
    gate: Gate,
    links: HashMap<LinkId, Link>,
    steps: HashMap<RequestId, UnboundedSender<Step>>,
    idle: IdleConnections,
    controls: TaskControls,
    ready: Rc<Cell<bool>>,
    pending: Rc<Cell<usize>>,
    ticks: u32,
    recorder: Recorder,
}

impl GateTask {
    /// Spawns the task, which sets `ready` and `pending` after each batch of events.
    pub fn spawn(
        gate: Gate,
        net: UnboundedReceiver<NetEvent>,
        state: UnboundedReceiver<StateEvent>,
        (sender, inputs): (UnboundedSender<Input>, UnboundedReceiver<Input>),
        ready: Rc<Cell<bool>>,
        pending: Rc<Cell<usize>>,
        recorder: Recorder,
    ) {
        let sources = select_all([
            net.map(Source::Net).boxed_local(),
            state.map(Source::State).boxed_local(),
            inputs.map(Source::Input).boxed_local(),
            ticks().map(|()| Source::Tick).boxed_local(),
        ]);
        let task = Self {
            gate,
            links: HashMap::new(),
            steps: HashMap::new(),
            idle: IdleConnections::default(),
            controls: TaskControls::new(sender),
            ready,
            pending,
            ticks: 0,
            recorder,
        };
        compio::runtime::spawn(task.run(sources)).detach();
    }

    async fn run(mut self, mut sources: impl futures_util::Stream<Item = Source> + Unpin) {
        let mut actions = Vec::new();
        while let Some(first) = sources.next().await {
            let now = Instant::now();
            self.handle_source(now, first, &mut actions);
            for _ in 0..MAX_BATCH_EVENTS {
                let Some(Some(next)) = sources.next().now_or_never() else {
                    break;
                };
                self.handle_source(now, next, &mut actions);
            }
            actions
                .drain(..)
                .for_each(|action| self.execute(now, action));
            self.controls.flush();
            self.ready.set(self.gate.is_ready(now));
            self.pending.set(self.gate.pending());
        }
    }

    fn handle_source(&mut self, now: Instant, source: Source, out: &mut Vec<Action>) {
        let event = match source {
            Source::Net(event) => self.net_event(event),
            Source::State(StateEvent::State(state)) => Some(Event::State(state)),
            Source::State(StateEvent::Fresh(until)) => Some(Event::Fresh(until)),
            Source::Input(input) => return self.input(now, input, out),
            Source::Tick => {
                self.ticks += 1;
                self.idle.expire(now);
                Some(Event::Tick)
            }
        };
        if let Some(event) = event {
            self.gate.handle(now, event, out);
        }
    }

    fn net_event(&mut self, event: NetEvent) -> Option<Event> {
        match event {
            NetEvent::Up { link } => {
                let peer = link.peer();
                if peer.role != Role::Sched {
                    return None;
                }
                let event = Event::Up {
                    link: link.id(),
                    node: peer.node.clone(),
                    incarnation: peer.incarnation,
                };
                self.links.insert(link.id(), link);
                Some(event)
            }
            NetEvent::Down { link } => {
                self.links.remove(&link)?;
                Some(Event::Down(link))
            }
            NetEvent::Message { link, message } => match message {
                Message::Grant(grant) => Some(Event::Grant(link.id(), grant)),
                Message::Refuse(refusal) => Some(Event::Refuse(link.id(), refusal)),
                _ => None,
            },
        }
    }

    fn input(&mut self, now: Instant, input: Input, out: &mut Vec<Action>) {
        let event = match input {
            Input::Submit(submission, steps) => {
                self.steps.insert(submission.request, steps);
                Event::Submit(submission)
            }
            Input::AttemptEnded {
                attempt,
                outcome,
                addr,
                backend,
            } => {
                self.keep_connection(now, addr, outcome, backend);
                if outcome == AttemptOutcome::Answered {
                    self.steps.remove(&attempt.request);
                }
                Event::AttemptEnded(attempt, outcome)
            }
            Input::UnknownAttempts(attempts) => Event::UnknownAttempts(attempts),
            Input::CancelResult { addr, results } => {
                self.controls.finish_cancellation(addr);
                for (attempt, result) in results {
                    self.gate
                        .handle(now, Event::CancelResult(attempt, result), out);
                }
                return;
            }
            Input::CallerGone(request) => {
                self.steps.remove(&request);
                Event::CallerGone(request)
            }
            Input::Stop => Event::Stop,
        };
        self.gate.handle(now, event, out);
    }

    fn execute(&mut self, now: Instant, action: Action) {
        match action {
            Action::Send(link, message) => {
                if let Some(link) = self.links.get(&link) {
                    link.send(message);
                }
            }
            Action::Run { grant, team } => {
                let backend = self.idle.take(now, grant.addr);
                let step = Step::Run {
                    grant: grant.clone(),
                    team,
                    backend,
                };
                self.send_step(grant.attempt.request, step);
            }
            Action::AbortExchange(request, addr) => {
                self.idle.drop_all(addr);
                self.send_step(request, Step::AbortExchange);
            }
            Action::Relay(request) => {
                self.send_step(request, Step::Relay);
                self.steps.remove(&request);
            }
            Action::Fail(request, failure) => {
                self.send_step(request, Step::Fail(failure));
                self.steps.remove(&request);
            }
            Action::Renew(addr, attempts) => {
                if self.ticks.is_multiple_of(RENEW_TICKS) {
                    self.controls.renew(addr, attempts);
                }
            }
            Action::Cancel(addr, attempts) => self.controls.cancel(addr, attempts),
            Action::Note(note) => self.recorder.record(*note),
        }
    }

    fn send_step(&self, request: RequestId, step: Step) {
        if let Some(steps) = self.steps.get(&request) {
            let _ = steps.unbounded_send(step);
        }
    }

    /// Keeps a connection for reuse. After an attempt without a response, closes all idle
    /// connections to that server.
    fn keep_connection(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        outcome: AttemptOutcome,
        backend: Option<BackendConnection>,
    ) {
        match backend {
            Some(backend) => self.idle.put(now, backend),
            None if outcome == AttemptOutcome::Unknown => self.idle.drop_all(addr),
            None => {}
        }
    }
}

fn ticks() -> LocalBoxStream<'static, ()> {
    futures_util::stream::unfold((), |()| async {
        compio::time::sleep(Duration::from_millis(TICK_MS)).await;
        Some(((), ()))
    })
    .boxed_local()
}
