//! The task that owns a gate's decisions.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use futures_util::stream::select_all;
use http_body_util::Full;
use hyper::Request;

use crate::gate::Action;
use crate::gate::Event;
use crate::gate::Failure;
use crate::gate::Gate;
use crate::gate::attempt::LEASE_MS;
use crate::gate::backend::Backend;
use crate::gate::step::Input;
use crate::gate::step::Step;
use crate::member::StateEvent;
use crate::name::TeamName;
use crate::net::Link;
use crate::net::LinkId;
use crate::net::NetEvent;
use crate::observe::Recorder;
use crate::record::Role;
use crate::wire::AttemptId;
use crate::wire::Grant;
use crate::wire::Message;
use crate::wire::RequestId;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// Ticks between two renewals of task leases.
const RENEW_TICKS: u32 = 20;
/// Idle connections kept to one backend server.
const IDLE_LIMIT: usize = 6;
/// Events taken in before the actions are carried out.
const BATCH_LIMIT: usize = 128;
/// Longest that a renewal or cancellation may take, in milliseconds.
const CONTROL_MS: u64 = 1_000;

enum Source {
    Net(NetEvent),
    State(StateEvent),
    Input(Input),
    Tick,
}

/// Owns the gate's decisions, the links to schedulers and the idle connections.
pub struct GateTask {
    gate: Gate,
    links: HashMap<LinkId, Link>,
    steps: HashMap<RequestId, UnboundedSender<Step>>,
    idle: HashMap<SocketAddr, Vec<Backend>>,
    ready: Rc<Cell<bool>>,
    pending: Rc<Cell<usize>>,
    ticks: u32,
    recorder: Recorder,
}

impl GateTask {
    /// Starts the task.
    pub fn spawn(
        gate: Gate,
        net: UnboundedReceiver<NetEvent>,
        state: UnboundedReceiver<StateEvent>,
        inputs: UnboundedReceiver<Input>,
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
            idle: HashMap::new(),
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
            self.take(now, first, &mut actions);
            for _ in 0..BATCH_LIMIT {
                let Some(Some(next)) = sources.next().now_or_never() else {
                    break;
                };
                self.take(now, next, &mut actions);
            }
            actions.drain(..).for_each(|action| self.carry_out(action));
            self.ready.set(self.gate.ready(now));
            self.pending.set(self.gate.pending());
        }
    }

    fn take(&mut self, now: Instant, source: Source, out: &mut Vec<Action>) {
        let event = match source {
            Source::Net(event) => self.net_event(event),
            Source::State(StateEvent::State(state)) => Some(Event::State(state)),
            Source::State(StateEvent::Fresh(until)) => Some(Event::Fresh(until)),
            Source::Input(input) => Some(self.input(input)),
            Source::Tick => {
                self.ticks += 1;
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

    fn input(&mut self, input: Input) -> Event {
        match input {
            Input::Submit(submission, steps) => {
                self.steps.insert(submission.request, steps);
                Event::Submit(submission)
            }
            Input::Ended {
                attempt,
                ended,
                backend,
            } => {
                if let Some(backend) = backend {
                    self.keep(backend);
                }
                if let crate::gate::Ended::Answered { .. } = ended {
                    self.steps.remove(&attempt.request);
                }
                Event::Ended(attempt, ended)
            }
            Input::Gone(request) => {
                self.steps.remove(&request);
                Event::Gone(request)
            }
            Input::Stop => Event::Stop,
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send(link, message) => {
                if let Some(link) = self.links.get(&link) {
                    link.send(message);
                }
            }
            Action::Run { grant, team } => self.start(grant, team),
            Action::Fail(request, failure) => self.fail(request, failure),
            Action::Renew(addr, attempts) => {
                if self.ticks.is_multiple_of(RENEW_TICKS) {
                    post(addr, "/leases", lease_body(&attempts));
                }
            }
            Action::Cancel(addr, attempts) => post(addr, "/cancel", cancel_body(&attempts)),
            Action::Note(note) => self.recorder.record(*note),
        }
    }

    fn start(&mut self, grant: Grant, team: TeamName) {
        let Some(steps) = self.steps.get(&grant.attempt.request) else {
            return;
        };
        let backend = self.idle.get_mut(&grant.addr).and_then(take_idle);
        let _ = steps.unbounded_send(Step::Run {
            grant,
            team,
            backend,
        });
    }

    fn fail(&mut self, request: RequestId, failure: Failure) {
        if let Some(steps) = self.steps.remove(&request) {
            let _ = steps.unbounded_send(Step::Fail(failure));
        }
    }

    fn keep(&mut self, backend: Backend) {
        let idle = self.idle.entry(backend.addr()).or_default();
        if idle.len() < IDLE_LIMIT {
            idle.push(backend);
        }
    }
}

fn take_idle(idle: &mut Vec<Backend>) -> Option<Backend> {
    while let Some(backend) = idle.pop() {
        if backend.is_idle() {
            return Some(backend);
        }
    }
    None
}

fn ticks() -> LocalBoxStream<'static, ()> {
    futures_util::stream::unfold((), |()| async {
        compio::time::sleep(Duration::from_millis(TICK_MS)).await;
        Some(((), ()))
    })
    .boxed_local()
}

fn names(attempts: &[AttemptId]) -> Vec<String> {
    attempts.iter().map(ToString::to_string).collect()
}

fn lease_body(attempts: &[AttemptId]) -> Bytes {
    let body = serde_json::json!({ "attempts": names(attempts), "lease_ms": LEASE_MS });
    Bytes::from(body.to_string())
}

fn cancel_body(attempts: &[AttemptId]) -> Bytes {
    Bytes::from(serde_json::json!({ "attempts": names(attempts) }).to_string())
}

/// Sends a control request on a connection of its own, in a task of its own.
fn post(addr: SocketAddr, path: &'static str, body: Bytes) {
    let exchange = async move {
        let mut backend = Backend::open(addr).await.ok()?;
        let request = Request::post(path)
            .header(hyper::header::HOST, addr.to_string())
            .body(Full::new(body))
            .ok()?;
        backend.exchange(request).await.ok()
    };
    compio::runtime::spawn(async move {
        let _ = compio::time::timeout(Duration::from_millis(CONTROL_MS), exchange).await;
    })
    .detach();
}
