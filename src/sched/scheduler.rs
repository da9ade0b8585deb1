//! All services placed on one process.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use crate::member::place;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::net::LinkId;
use crate::record::Role;
use crate::record::State;
use crate::sched::Action;
use crate::sched::Dispatcher;
use crate::sched::Event;
use crate::wire::Ask;
use crate::wire::AttemptId;
use crate::wire::Message;
use crate::wire::Refusal;
use crate::wire::RefusalCode;

/// When to ask again after a scheduler could not take a request, in milliseconds.
const RETRY_MS: u32 = 200;

/// The decisions of a scheduler process: state and events in, actions out.
#[derive(Debug)]
pub struct Scheduler {
    node: NodeName,
    incarnation: u64,
    state: Rc<State>,
    fresh: Option<Instant>,
    services: BTreeMap<ServiceName, Dispatcher>,
}

impl Scheduler {
    /// A scheduler that knows no state yet.
    #[must_use]
    pub fn new(node: NodeName, incarnation: u64) -> Self {
        Self {
            node,
            incarnation,
            state: Rc::default(),
            fresh: None,
            services: BTreeMap::new(),
        }
    }

    /// Takes an event in and adds what follows from it to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.update(now, state, out),
            Event::Fresh(until) => self.fresh = Some(until),
            Event::Down(link) => self.services.values_mut().for_each(|d| d.lose(now, link)),
            Event::Ask(link, ask) => self.ask(now, link, ask, out),
            Event::Cancel(attempt) => self.forget(&attempt),
            Event::Finished { attempt, evidence } => {
                self.services
                    .values_mut()
                    .for_each(|d| d.finish(now, &attempt, evidence, out));
            }
            Event::Report {
                link,
                epoch,
                running,
            } => {
                self.services
                    .values_mut()
                    .for_each(|d| d.report(link, epoch, &running));
            }
            Event::Tick => self.services.values_mut().for_each(|d| d.expire(now, out)),
        }
    }

    /// Grants whatever may start now; to be called after a batch of events.
    pub fn grant(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.may_grant(now) {
            return;
        }
        let gates = self.state.members_of(Role::Gate).count();
        for dispatcher in self.services.values_mut() {
            dispatcher.grant(now, gates, out);
        }
    }

    /// Requests that wait, and slots in use, over all services.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        self.services
            .values()
            .map(Dispatcher::load)
            .fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
    }

    fn may_grant(&self, now: Instant) -> bool {
        let member = self.state.members.get(&self.node);
        self.fresh.is_some_and(|until| now < until)
            && member.is_some_and(|m| m.incarnation == self.incarnation)
    }

    fn update(&mut self, now: Instant, state: Rc<State>, out: &mut Vec<Action>) {
        self.state = state;
        let mut before = std::mem::take(&mut self.services);
        for service in self.state.services() {
            if place(&self.state, Role::Sched, service.as_str().as_bytes()) != Some(&self.node) {
                continue;
            }
            let dispatcher = match before.remove(&service) {
                Some(mut dispatcher) => {
                    dispatcher.update(self.state.clone());
                    dispatcher
                }
                None => Dispatcher::open(service.clone(), self.state.clone(), now),
            };
            self.services.insert(service, dispatcher);
        }
        before
            .into_values()
            .for_each(|dispatcher| dispatcher.close(out));
    }

    fn ask(&mut self, now: Instant, link: LinkId, ask: Ask, out: &mut Vec<Action>) {
        let Some(dispatcher) = self.services.get_mut(&ask.service) else {
            let refusal = Refusal {
                attempt: ask.attempt,
                code: RefusalCode::Unavailable,
                retry_after: RETRY_MS,
            };
            out.push(Action::Send(link, Message::Refuse(refusal)));
            return;
        };
        dispatcher.ask(now, link, ask, out);
    }

    fn forget(&mut self, attempt: &AttemptId) {
        self.services
            .values_mut()
            .for_each(|dispatcher| dispatcher.forget(attempt));
    }
}
