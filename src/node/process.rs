//! The common part of a running process.

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

use crate::log::LogClient;
use crate::member::Follower;
use crate::member::StateEvent;
use crate::member::Voters;
use crate::name::NodeName;
use crate::net::Mesh;
use crate::net::NetEvent;
use crate::net::TimelineSource;
use crate::node::Ended;
use crate::node::NodeError;
use crate::node::incarnation;
use crate::observe::Counters;
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

/// Group of links to the fleet processes.
const FLEET_GROUP: &str = "fleet";
/// Group of links to the schedulers.
const SCHED_GROUP: &str = "sched";
/// Time between two tries to join, in milliseconds.
const JOIN_MS: u64 = 500;
/// Longest that a leaving process waits for the log, in milliseconds.
const LEAVE_MS: u64 = 2_000;
/// Time for the other processes to act on a leave, in milliseconds.
const HANDOVER_MS: u64 = 500;

/// Links, state and membership of a process.
pub struct Node {
    hello: Hello,
    member: Member,
    mesh: Rc<Mesh>,
    follower: Follower,
    core: Option<UnboundedReceiver<NetEvent>>,
    ready: Rc<Cell<bool>>,
    watch: JoinHandle<()>,
    /// Dropped to end the watch.
    quit: oneshot::Sender<()>,
    log: Logger,
    recorder: Recorder,
    counters: Arc<Counters>,
    metrics: Metrics,
}

impl Node {
    /// Binds the address for other processes and starts to follow the log.
    ///
    /// # Errors
    /// `NodeError::Net` if the address cannot be bound or the certificate cannot be used.
    pub async fn spawn(settings: &NodeSettings, role: Role) -> Result<Self, NodeError> {
        let log = open_stderr_log(&settings.node, role);
        let hello = Hello {
            node: settings.node.clone(),
            incarnation: incarnation::next(),
            role,
        };
        let identity = settings.tls.identity()?;
        let mesh = Mesh::bind(settings.listen, identity, hello.clone(), log.clone()).await?;
        let events = mesh.take_events().ok_or_else(|| {
            NodeError::Io(std::io::Error::other("the events of the links were taken"))
        })?;
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
        let watch = Watch {
            hello: hello.clone(),
            seeds: settings.fleet.clone(),
            mesh: mesh.clone(),
            ready: ready.clone(),
            joined: false,
            fresh: None,
        };
        let (quit, ending) = oneshot::channel();
        let watch = spawn(watch.run(follower.subscribe().take_until(ending)));
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
            core: Some(events.core),
            ready,
            watch,
            quit,
            log,
            recorder,
            counters,
            metrics,
        })
    }

    /// Name of the process.
    #[must_use]
    pub const fn name(&self) -> &NodeName {
        &self.hello.node
    }

    /// Incarnation of the process.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.hello.incarnation
    }

    /// Where decisions are put on the time line.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// The time line over all processes.
    #[must_use]
    pub fn timeline(&self) -> TimelineSource {
        self.mesh.timeline()
    }

    /// What the process has counted.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Metrics of the process.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        self.metrics.clone()
    }

    /// Log of the process.
    pub const fn log(&self) -> &Logger {
        &self.log
    }

    /// The events of links that are not about the state; empty after the first call.
    pub fn take_events(&mut self) -> UnboundedReceiver<NetEvent> {
        self.core
            .take()
            .unwrap_or_else(|| futures_channel::mpsc::unbounded().1)
    }

    /// The state and its freshness, from now on.
    #[must_use]
    pub fn subscribe(&self) -> UnboundedReceiver<StateEvent> {
        self.follower.subscribe()
    }

    /// The state, and the way to append records to the platform's log.
    #[must_use]
    pub fn follower(&self) -> Follower {
        self.follower.clone()
    }

    /// True while the process is a member and its state is recent.
    #[must_use]
    pub fn readiness(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    /// Joins the membership in the background, as often as it takes.
    pub fn announce(&self) {
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
                    Err(err) => warn!(log, "cannot join yet"; "error" => %err),
                }
                compio::time::sleep(Duration::from_millis(JOIN_MS)).await;
            };
            match applied.outcome.result() {
                Ok(_) => info!(log, "joined"),
                Err(reject) => warn!(log, "join rejected"; "why" => %reject),
            }
        })
        .detach();
    }

    /// Waits until the membership has ended without this process's doing.
    pub async fn ended(&self) -> Ended {
        let Hello {
            node, incarnation, ..
        } = &self.hello;
        let mut events = self.subscribe();
        loop {
            match events.next().await {
                Some(StateEvent::State(state)) if state.is_ended(node, *incarnation) => {
                    let last = state.incarnations.get(node);
                    incarnation::note(last.copied().unwrap_or(0));
                    let replaced = state.members.contains_key(node);
                    let ended = if replaced {
                        Ended::Replaced
                    } else {
                        Ended::Suspected
                    };
                    warn!(self.log, "membership ended"; "why" => ?ended);
                    return ended;
                }
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Leaves the membership and closes the links.
    pub async fn leave(self) {
        let node = self.hello.node.clone();
        let incarnation = self.hello.incarnation;
        let leave = Change::Leave {
            node: node.clone(),
            incarnation,
        };
        self.tell(leave).await;
        compio::time::sleep(Duration::from_millis(HANDOVER_MS)).await;
        self.tell(Change::End { node, incarnation }).await;
        info!(self.log, "stopped");
        drop(self.quit);
        let _ = self.watch.await;
        if let Ok(mesh) = Rc::try_unwrap(self.mesh) {
            mesh.close().await;
        }
    }

    async fn tell(&self, change: Change) {
        let deadline = Instant::now() + Duration::from_millis(LEAVE_MS);
        let follower = self.follower();
        let append = follower.append(None, change);
        match compio::time::timeout_at(deadline, append).await {
            Ok(Ok(_)) => {}
            Ok(Err(err)) => warn!(self.log, "cannot say that it leaves"; "error" => %err),
            Err(_) => warn!(self.log, "cannot say that it leaves in time"),
        }
    }
}

/// Keeps the wanted links and the readiness up to date.
struct Watch {
    hello: Hello,
    seeds: Vec<SocketAddr>,
    mesh: Rc<Mesh>,
    ready: Rc<Cell<bool>>,
    joined: bool,
    fresh: Option<Instant>,
}

impl Watch {
    async fn run(mut self, events: impl Stream<Item = StateEvent>) {
        let mut events = pin!(events);
        while let Some(event) = events.next().await {
            match event {
                StateEvent::State(state) => self.update(&state),
                StateEvent::Fresh(until) => self.fresh = Some(until),
            }
            let fresh = self.fresh.is_some_and(|until| Instant::now() < until);
            self.ready.set(self.joined && fresh);
        }
    }

    fn update(&mut self, state: &State) {
        let me = state.members.get(&self.hello.node);
        self.joined = me.is_some_and(|m| m.incarnation == self.hello.incarnation && !m.leaving);
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
