//! The part that all running processes have in common.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::Stream;
use futures_util::StreamExt;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::intake::IntakeEvent;
use crate::intake::Listener;
use crate::log::LogClient;
use crate::member::Follower;
use crate::member::StateEvent;
use crate::member::Voters;
use crate::name::NodeName;
use crate::net::Mesh;
use crate::net::NetEvent;
use crate::net::TimelineSource;
use crate::node::MembershipEnd;
use crate::node::NodeError;
use crate::node::incarnation;
use crate::observe::Counters;
use crate::observe::IntakeLog;
use crate::observe::Metrics;
use crate::observe::Recorder;
use crate::observe::open_stderr_log;
use crate::observe::update_state_counters;
use crate::record::Change;
use crate::record::Member;
use crate::record::Role;
use crate::record::State;
use crate::settings::NodeSettings;
use crate::wire::Hello;

/// Name of the group of links to the fleet processes.
const FLEET_GROUP: &str = "fleet";
/// Name of the group of links to the schedulers.
const SCHED_GROUP: &str = "sched";
/// Pause between two attempts to join.
const JOIN_RETRY_MS: u64 = 500;
/// Time limit for each append of a leaving process.
const LEAVE_TIMEOUT_MS: u64 = 2_000;
/// Time that the other processes have to react to a leave before the membership ends.
const LEAVE_GRACE_MS: u64 = 500;

/// Links, replicated state and membership of a process.
pub struct Node {
    hello: Hello,
    member: Member,
    mesh: Rc<Mesh>,
    follower: Follower,
    dispatch: Option<UnboundedReceiver<NetEvent>>,
    ready: Rc<Cell<bool>>,
    watcher: JoinHandle<()>,
    /// Dropped to stop the watcher.
    stop: oneshot::Sender<()>,
    log: Logger,
    recorder: Recorder,
    counters: Arc<Counters>,
    metrics: Metrics,
}

impl Node {
    /// Binds the address for links and starts to follow the log.
    ///
    /// # Errors
    /// [`NodeError::Net`] if the address cannot be bound or the certificate cannot be used,
    /// [`NodeError::Io`] if the log client or the metrics cannot be set up.
    pub async fn spawn(settings: &NodeSettings, role: Role) -> Result<Self, NodeError> {
        let log = open_stderr_log(&settings.node, role);
        let hello = Hello {
            node: settings.node.clone(),
            incarnation: incarnation::next(),
            role,
        };
        let identity = settings.tls.identity()?;
        let mesh = Mesh::bind(settings.listen, identity, hello.clone(), log.clone()).await?;
        let events = mesh
            .take_events()
            .ok_or_else(|| NodeError::Io(std::io::Error::other("link events are already taken")))?;
        mesh.dial(FLEET_GROUP, settings.fleet.clone());
        let recorder = mesh.recorder();
        let own = (role == Role::Fleet).then(|| mesh.local_addr());
        let voters = Voters::new(settings.fleet.iter().copied(), own);
        let follower = Follower::spawn(
            hello.clone(),
            voters,
            LogClient::new(&settings.log.to_string()).map_err(std::io::Error::other)?,
            events.state,
            recorder.clone(),
            log.clone(),
        );
        let member = Member {
            role,
            incarnation: hello.incarnation,
            addr: mesh.local_addr(),
            dc: settings.dc.clone(),
            leaving: false,
        };
        let mesh = Rc::new(mesh);
        let ready = Rc::new(Cell::new(false));
        let watcher = Watcher {
            hello: hello.clone(),
            seeds: settings.fleet.clone(),
            mesh: mesh.clone(),
            ready: ready.clone(),
            joined: false,
            fresh_until: None,
        };
        let (stop, stopped) = oneshot::channel();
        let watcher = spawn(watcher.run(follower.subscribe().take_until(stopped)));
        let counters = mesh.counters();
        let monitoring = update_state_counters(Arc::clone(&counters), follower.subscribe());
        spawn(monitoring).detach();
        let metrics = Metrics::open(&counters, mesh.refresh()).map_err(std::io::Error::other)?;
        info!(log, "started"; "addr" => %member.addr, "incarnation" => member.incarnation);
        Ok(Self {
            hello,
            member,
            mesh,
            follower,
            dispatch: Some(events.dispatch),
            ready,
            watcher,
            stop,
            log,
            recorder,
            counters,
            metrics,
        })
    }

    /// Name of the process, from its settings.
    #[must_use]
    pub const fn name(&self) -> &NodeName {
        &self.hello.node
    }

    /// Distinguishes this process from earlier ones of the same name.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.hello.incarnation
    }

    /// Records entries of this process on the timeline.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// Collects the timeline of all connected processes.
    #[must_use]
    pub fn timeline(&self) -> TimelineSource {
        self.mesh.timeline()
    }

    /// Counters of the process, which the metrics export.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Metrics of the process, including those of its links.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        self.metrics.clone()
    }

    /// Counts and logs what is done to HTTP connections for lack of memory or connections.
    #[must_use]
    pub fn intake_observer(&self) -> Rc<dyn Fn(IntakeEvent)> {
        let metrics = self.metrics();
        let log = IntakeLog::new(Listener::Front, self.log.clone());
        Rc::new(move |event| {
            metrics.record_intake(event);
            log.record(event, Instant::now());
        })
    }

    /// Logger with the name and role of the process.
    pub const fn log(&self) -> &Logger {
        &self.log
    }

    /// The link events that do not concern the replicated state; an empty stream after the first
    /// call.
    pub fn take_events(&mut self) -> UnboundedReceiver<NetEvent> {
        self.dispatch
            .take()
            .unwrap_or_else(|| futures_channel::mpsc::unbounded().1)
    }

    /// Subscribes to changes of the state and its freshness.
    #[must_use]
    pub fn subscribe(&self) -> UnboundedReceiver<StateEvent> {
        self.follower.subscribe()
    }

    /// Handle for reading the state and for appending records to the platform's log.
    #[must_use]
    pub fn follower(&self) -> Follower {
        self.follower.clone()
    }

    /// Shared flag that is true while the process is a member and its state is recent.
    #[must_use]
    pub fn readiness(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    /// Joins the membership in the background, and retries until the log accepts the record.
    pub fn join(&self) {
        let follower = self.follower();
        let change = Change::Join {
            node: self.hello.node.clone(),
            member: self.member.clone(),
        };
        let log = self.log.clone();
        spawn(async move {
            let applied = loop {
                match follower.append(None, change.clone()).await {
                    Ok(applied) => break applied,
                    Err(err) => warn!(log, "cannot join; retrying"; "error" => %err),
                }
                compio::time::sleep(Duration::from_millis(JOIN_RETRY_MS)).await;
            };
            match applied.outcome.result() {
                Ok(_) => info!(log, "joined"),
                Err(reject) => warn!(log, "join rejected"; "why" => %reject),
            }
        })
        .detach();
    }

    /// Waits until the membership has ended although the process did not leave.
    pub async fn ended(&self) -> MembershipEnd {
        let Hello {
            node, incarnation, ..
        } = &self.hello;
        let mut events = self.subscribe();
        loop {
            match events.next().await {
                Some(StateEvent::State(state)) if state.is_ended(node, *incarnation) => {
                    let last = state.incarnations.get(node);
                    incarnation::record_used(last.copied().unwrap_or(0));
                    let replaced = state.members.contains_key(node);
                    let ended = if replaced {
                        MembershipEnd::Replaced
                    } else {
                        MembershipEnd::Suspected
                    };
                    warn!(self.log, "membership ended"; "why" => ?ended);
                    return ended;
                }
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Leaves the membership, waits for the other processes to react and closes the links.
    pub async fn leave(self) {
        let node = self.hello.node.clone();
        let incarnation = self.hello.incarnation;
        let leave = Change::Leave {
            node: node.clone(),
            incarnation,
        };
        self.append(leave).await;
        compio::time::sleep(Duration::from_millis(LEAVE_GRACE_MS)).await;
        self.append(Change::End { node, incarnation }).await;
        info!(self.log, "stopped");
        drop(self.stop);
        let _ = self.watcher.await;
        if let Ok(mesh) = Rc::try_unwrap(self.mesh) {
            mesh.close().await;
        }
    }

    async fn append(&self, change: Change) {
        let deadline = Instant::now() + Duration::from_millis(LEAVE_TIMEOUT_MS);
        let follower = self.follower();
        let append = follower.append(None, change);
        match compio::time::timeout_at(deadline, append).await {
            Ok(Ok(_)) => {}
            Ok(Err(err)) => warn!(self.log, "cannot record leave"; "error" => %err),
            Err(_) => warn!(self.log, "recording leave timed out"),
        }
    }
}

/// Updates the link targets and the readiness from the state.
struct Watcher {
    hello: Hello,
    seeds: Vec<SocketAddr>,
    mesh: Rc<Mesh>,
    ready: Rc<Cell<bool>>,
    joined: bool,
    fresh_until: Option<Instant>,
}

impl Watcher {
    async fn run(mut self, events: impl Stream<Item = StateEvent>) {
        let mut events = pin!(events);
        while let Some(event) = events.next().await {
            match event {
                StateEvent::State(state) => self.update(&state),
                StateEvent::Fresh(until) => self.fresh_until = Some(until),
            }
            let fresh = self.fresh_until.is_some_and(|until| Instant::now() < until);
            self.ready.set(self.joined && fresh);
        }
    }

    fn update(&mut self, state: &State) {
        let member = state.members.get(&self.hello.node);
        self.joined = member.is_some_and(|m| m.incarnation == self.hello.incarnation && !m.leaving);
        let fleet = addresses(state, Role::Fleet);
        self.mesh
            .dial(FLEET_GROUP, [fleet, self.seeds.clone()].concat());
        if self.hello.role != Role::Fleet {
            self.mesh.dial(SCHED_GROUP, addresses(state, Role::Sched));
        }
    }
}

fn addresses(state: &State, role: Role) -> Vec<SocketAddr> {
    state
        .members_of(role)
        .map(|(_, member)| member.addr)
        .collect()
}
