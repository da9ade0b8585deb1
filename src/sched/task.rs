//! The task that owns a scheduler's decisions.

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
use crate::record::Role;
use crate::sched::Action;
use crate::sched::Event;
use crate::sched::Scheduler;
use crate::wire::Message;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 20;
/// Events taken in before slots are granted.
const BATCH_LIMIT: usize = 256;

enum Source {
    Net(NetEvent),
    State(StateEvent),
    Tick,
}

/// Owns the scheduler's decisions and the links to gates.
pub struct SchedTask {
    scheduler: Scheduler,
    links: HashMap<LinkId, Link>,
    recorder: Recorder,
    counters: Arc<Counters>,
}

impl SchedTask {
    /// Starts the task.
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
            recorder,
            counters,
        };
        compio::runtime::spawn(task.run(sources)).detach();
    }

    async fn run(mut self, mut sources: impl Stream<Item = Source> + Unpin) {
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
            self.scheduler.grant(now, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(action));
            let (waiting, running) = self.scheduler.load();
            self.counters.waiting.store(waiting as u64, Relaxed);
            self.counters.running.store(running as u64, Relaxed);
        }
    }

    fn take(&mut self, now: Instant, source: Source, out: &mut Vec<Action>) {
        let event = match source {
            Source::Net(event) => self.net_event(event),
            Source::State(StateEvent::State(state)) => Some(Event::State(state)),
            Source::State(StateEvent::Fresh(until)) => Some(Event::Fresh(until)),
            Source::Tick => Some(Event::Tick),
        };
        if let Some(event) = event {
            self.scheduler.handle(now, event, out);
        }
    }

    fn net_event(&mut self, event: NetEvent) -> Option<Event> {
        match event {
            NetEvent::Up { link } => {
                if link.peer().role == Role::Gate {
                    self.links.insert(link.id(), link);
                }
                None
            }
            NetEvent::Down { link } => {
                self.links.remove(&link)?;
                Some(Event::Down(link))
            }
            NetEvent::Message { link, message } => match message {
                Message::Ask(ask) => Some(Event::Ask(link.id(), ask)),
                Message::Cancel(attempt) => Some(Event::Cancel(attempt)),
                Message::Finished { attempt, evidence } => {
                    Some(Event::Finished { attempt, evidence })
                }
                Message::Report { epoch, running } => Some(Event::Report {
                    link: link.id(),
                    epoch,
                    running,
                }),
                _ => None,
            },
        }
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Send(link, message) => {
                if let Some(link) = self.links.get(&link) {
                    link.send(message);
                }
            }
            Action::Note(note) => self.recorder.record(*note),
        }
    }
}
