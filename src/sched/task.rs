//! Event loop of a scheduler process.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::FutureExt;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream::select_all;

use crate::member::StateEvent;
use crate::net::Link;
use crate::net::LinkId;
use crate::net::NetEvent;
use crate::observe::Counters;
use crate::observe::Recorder;
use crate::observe::unix_millis;
use crate::record::Role;
use crate::sched::Action;
use crate::sched::Event;
use crate::sched::Scheduler;
use crate::wire::Message;
use crate::wire::Peer;

/// Interval of [`Event::Tick`], in milliseconds.
const TICK_MS: u64 = 20;
/// Ticks between two load reports to the fleet processes.
const LOAD_TICKS: u32 = 50;
/// Maximum number of further events handled before slots are granted.
const BATCH_LIMIT: usize = 256;

enum Source {
    Net(NetEvent),
    State(StateEvent),
    Tick,
}

/// Runs a [`Scheduler`]: feeds it events and executes its actions.
pub struct SchedulerTask {
    scheduler: Scheduler,
    /// Links to gates and other schedulers.
    links: HashMap<LinkId, Link>,
    /// Links to fleet processes.
    fleet: HashMap<LinkId, Link>,
    ticks: u32,
    /// When the scheduler is next sent the wall clock; none before the first time.
    clock_due: Option<Instant>,
    recorder: Recorder,
    counters: Arc<Counters>,
}

impl SchedulerTask {
    /// Starts the event loop in the background; it runs as long as the process.
    pub fn spawn(
        scheduler: Scheduler,
        net: UnboundedReceiver<NetEvent>,
        state: UnboundedReceiver<StateEvent>,
        recorder: Recorder,
        counters: Arc<Counters>,
    ) {
        let ticks = futures_util::stream::unfold((), |()| async {
            compio::time::sleep(Duration::from_millis(TICK_MS)).await;
            Some((Source::Tick, ()))
        });
        let sources = select_all([
            net.map(Source::Net).boxed_local(),
            state.map(Source::State).boxed_local(),
            ticks.boxed_local(),
        ]);
        let task = Self {
            scheduler,
            links: HashMap::new(),
            fleet: HashMap::new(),
            ticks: 0,
            clock_due: None,
            recorder,
            counters,
        };
        compio::runtime::spawn(task.run(sources)).detach();
    }

    async fn run(mut self, mut sources: impl Stream<Item = Source> + Unpin) {
        let mut actions = Vec::new();
        while let Some(first) = sources.next().await {
            let now = Instant::now();
            self.handle(now, first, &mut actions);
            for _ in 0..BATCH_LIMIT {
                let Some(Some(next)) = sources.next().now_or_never() else {
                    break;
                };
                self.handle(now, next, &mut actions);
            }
            self.scheduler.grant(now, &mut actions);
            actions.drain(..).for_each(|action| self.execute(action));
            let (waiting, running) = self.scheduler.backlog();
            self.counters.queued_requests.store(waiting as u64, Relaxed);
            self.counters.used_slots.store(running as u64, Relaxed);
        }
    }

    fn handle(&mut self, now: Instant, source: Source, out: &mut Vec<Action>) {
        if !matches!(source, Source::Net(_)) {
            self.update_clock(now, out);
        }
        let event = match source {
            Source::Net(event) => self.net_event(event),
            Source::State(StateEvent::State(state)) => Some(Event::State(state)),
            Source::State(StateEvent::Fresh(until)) => Some(Event::Fresh(until)),
            Source::Tick => {
                self.report_load(now);
                Some(Event::Tick)
            }
        };
        if let Some(event) = event {
            self.scheduler.handle(now, event, out);
        }
    }

    // The clock only drives the filling of returned data centres, so once a second is enough.
    fn update_clock(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.clock_due.is_none_or(|due| due <= now) {
            self.clock_due = Some(now + Duration::from_secs(1));
            let clock = Event::Clock(unix_millis());
            self.scheduler.handle(now, clock, out);
        }
    }

    fn report_load(&mut self, now: Instant) {
        self.ticks = (self.ticks + 1) % LOAD_TICKS;
        if self.ticks == 0 {
            let load = self.scheduler.load(now);
            self.fleet.values().for_each(|link| link.send(load.clone()));
        }
    }

    fn net_event(&mut self, event: NetEvent) -> Option<Event> {
        match event {
            NetEvent::Up { link } => self.link_up(link),
            NetEvent::Down { link } => {
                self.fleet.remove(&link);
                let peer = self.links.remove(&link)?;
                (peer.peer().role == Role::Gate).then_some(Event::Down(link))
            }
            NetEvent::Message { link, message } => message_event(&link, message),
        }
    }

    fn link_up(&mut self, link: Link) -> Option<Event> {
        let (id, peer) = (link.id(), Peer::from(link.peer()));
        let role = link.peer().role;
        let links = match role {
            Role::Fleet => &mut self.fleet,
            Role::Gate | Role::Sched => &mut self.links,
        };
        links.insert(id, link);
        (role == Role::Gate).then_some(Event::Up(id, peer))
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Send(link, message) => {
                if let Some(link) = self.links.get(&link) {
                    link.send(message);
                }
            }
            Action::Peer(peer, message) => {
                if let Some(link) = self.link_to(&peer) {
                    link.send(message);
                }
            }
            Action::Note(note) => self.recorder.record(*note),
        }
    }

    /// The newest link to another scheduler. There are two if both sides dialled each other.
    fn link_to(&self, peer: &Peer) -> Option<&Link> {
        let links = self.links.values();
        links
            .filter(|link| link.peer().role == Role::Sched && Peer::from(link.peer()) == *peer)
            .max_by_key(|link| link.id())
    }
}

fn message_event(link: &Link, message: Message) -> Option<Event> {
    match message {
        Message::SlotRequest(ask) => Some(Event::SlotRequest(link.id(), ask)),
        Message::Cancel(attempt) => Some(Event::Cancel(link.id(), attempt)),
        Message::Finished { attempt, evidence } => Some(Event::Finished {
            link: link.id(),
            attempt,
            evidence,
        }),
        Message::Report { epoch, running } => Some(Event::Report {
            link: link.id(),
            epoch,
            running,
        }),
        Message::PermitReport(_) | Message::PermitGrant(_) if link.peer().role == Role::Sched => {
            Some(Event::PermitMessage(Peer::from(link.peer()), message))
        }
        _ => None,
    }
}
