//! All services placed on one process.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use crate::limit::Need;
use crate::member::place;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Role;
use crate::record::State;
use crate::sched::Action;
use crate::sched::Dispatcher;
use crate::sched::Event;
use crate::sched::quota::Quota;
use crate::sched::quota::Quotas;
use crate::sched::roster::Roster;
use crate::sched::slots::Slots;
use crate::sched::team_permits::TeamPermits;
use crate::upkeep::FILLING_MS;
use crate::wire::AttemptId;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::Running;
use crate::wire::SlotRequest;

/// When to ask again after a scheduler could not take a request, in milliseconds.
const RETRY_MS: u32 = 200;

/// The decisions of a scheduler process: state and events in, actions out.
#[derive(Debug)]
pub struct Scheduler {
    me: Peer,
    state: Rc<State>,
    fresh: Option<Instant>,
    roster: Roster,
    team_permits: TeamPermits,
    /// As of the last grants.
    quotas: Quotas,
    services: BTreeMap<ServiceName, Dispatcher>,
    /// Which service was last offered a grant: they take turns, so that one does not take every
    /// permit that a team has here.
    turn: usize,
    /// What still runs of services that are placed elsewhere now; it occupies this scheduler's
    /// permits until it ends.
    closed: BTreeMap<ServiceName, Slots>,
    /// Wall clock, Unix time in milliseconds; 0 if it is not known.
    clock: u64,
}

impl Scheduler {
    /// A scheduler that knows no state yet.
    #[must_use]
    pub fn new(node: NodeName, incarnation: u64) -> Self {
        let me = Peer { node, incarnation };
        Self {
            team_permits: TeamPermits::new(me.clone()),
            me,
            state: Rc::default(),
            fresh: None,
            roster: Roster::default(),
            quotas: Quotas::new(),
            services: BTreeMap::new(),
            turn: 0,
            closed: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Takes an event in and adds what follows from it to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.update(now, state, out),
            Event::Fresh(until) => self.fresh = Some(until),
            Event::Up(link, gate) => self.roster.up(link, gate),
            Event::Down(link) => {
                self.services.values_mut().for_each(|d| d.lose(link));
                self.roster.down(link);
            }
            Event::SlotRequest(link, ask) => self.ask(now, link, ask, out),
            Event::Cancel(link, attempt) => self.forget(link, &attempt),
            Event::Finished {
                link,
                attempt,
                evidence,
            } => {
                for dispatcher in self.services.values_mut() {
                    dispatcher.finish(now, &attempt, evidence, out);
                }
                self.forget(link, &attempt);
            }
            Event::Report {
                link,
                epoch,
                running,
            } => self.report(now, link, epoch, &running),
            Event::PermitMessage(from, message) => self.team_permits.receive(&from, &message),
            Event::Clock(clock) => self.set_clock(clock),
            Event::Tick => self.tick(now, out),
        }
    }

    /// Grants whatever may start now, and moves permits; to be called after a batch of events.
    pub fn grant(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut quotas = self.count();
        self.grant_services(now, &mut quotas, out);
        if self.settle(now, &quotas, out) {
            quotas = self.count();
            self.grant_services(now, &mut quotas, out);
        }
        self.quotas = quotas;
    }

    /// The permits of all teams.
    #[must_use]
    pub const fn team_permits(&self) -> &TeamPermits {
        &self.team_permits
    }

    /// Slots that a team occupies on this scheduler.
    #[must_use]
    pub fn running(&self, team: &TeamName) -> u32 {
        self.all_slots().map(|slots| slots.running(team)).sum()
    }

    fn grant_services(&mut self, now: Instant, quotas: &mut Quotas, out: &mut Vec<Action>) {
        if !self.may_grant(now) {
            return;
        }
        let mut idle = 0;
        while idle < self.services.len() {
            self.turn = (self.turn + 1) % self.services.len();
            let Some(dispatcher) = self.services.values_mut().nth(self.turn) else {
                return;
            };
            let granted = dispatcher.grant(now, &self.state, &self.roster, quotas, out);
            idle = if granted { 0 } else { idle + 1 };
        }
    }

    /// What fleet processes are told of the services' load.
    #[must_use]
    pub fn load(&self, now: Instant) -> Message {
        Message::ServiceLoad {
            offset: self.state.offset,
            complete: self.roster.adopted(now, &self.state) >= self.state.epoch,
            services: self.services.values().map(Dispatcher::load).collect(),
        }
    }

    /// Requests that wait, and slots in use, over all services.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        self.services.values().fold((0, 0), |sum, dispatcher| {
            let running = dispatcher.slots().in_use_everywhere() as usize;
            (sum.0 + dispatcher.waiting(), sum.1 + running)
        })
    }

    fn may_grant(&self, now: Instant) -> bool {
        self.fresh.is_some_and(|until| now < until)
            && self.state.is_member(&self.me.node, self.me.incarnation)
    }

    fn settle(&mut self, now: Instant, quotas: &Quotas, out: &mut Vec<Action>) -> bool {
        let adopted = self.roster.adopted(now, &self.state);
        let services: Vec<(&Dispatcher, u64)> = self
            .services
            .values()
            .map(|dispatcher| (dispatcher, dispatcher.weight(quotas)))
            .collect();
        let need = |team: &TeamName| {
            let quota = quotas.get(team).copied().unwrap_or_default();
            let wanted = services
                .iter()
                .map(|(dispatcher, total)| dispatcher.wanted(team, quota.weight, *total));
            Need {
                running: quota.running,
                wanted: quota.running + wanted.sum::<u32>(),
                adopted,
            }
        };
        self.team_permits.step(now, need, out)
    }

    fn count(&self) -> Quotas {
        let mut quotas: Quotas = self
            .state
            .teams
            .iter()
            .map(|(team, row)| {
                let quota = Quota {
                    running: 0,
                    allowed: self.team_permits.allowed(team),
                    weight: row.weight,
                    urgent: row.urgent,
                };
                (team.clone(), quota)
            })
            .collect();
        for (team, running) in self.all_slots().flat_map(Slots::teams) {
            quotas.entry(team.clone()).or_default().running += running;
        }
        quotas
    }

    fn all_slots(&self) -> impl Iterator<Item = &Slots> {
        let open = self.services.values().map(Dispatcher::slots);
        open.chain(self.closed.values())
    }

    fn set_clock(&mut self, clock: u64) {
        let before = std::mem::replace(&mut self.clock, clock);
        let mut marks = self.state.reactivated.values();
        if marks.any(|returned| before < returned + FILLING_MS) {
            self.services
                .values_mut()
                .for_each(|dispatcher| dispatcher.fill(&self.state, clock));
        }
    }

    fn update(&mut self, now: Instant, state: Rc<State>, out: &mut Vec<Action>) {
        self.state = state;
        self.roster.update(now, &self.state);
        self.team_permits.update(now, self.state.clone());
        let mut before = std::mem::take(&mut self.services);
        for service in self.state.services() {
            if place(&self.state, Role::Sched, service.as_str().as_bytes()) != Some(&self.me.node) {
                continue;
            }
            let dispatcher = match before.remove(&service) {
                Some(mut dispatcher) => {
                    dispatcher.update(&self.state);
                    dispatcher
                }
                None => self.open(&service, now, out),
            };
            self.services.insert(service, dispatcher);
        }
        for (service, dispatcher) in before {
            out.push(note(NoteKind::ServiceGiven, &service, &self.state));
            self.closed.insert(service, dispatcher.close(out));
        }
    }

    fn open(&mut self, service: &ServiceName, now: Instant, out: &mut Vec<Action>) -> Dispatcher {
        out.push(note(NoteKind::ServiceTaken, service, &self.state));
        let mut slots = self.closed.remove(service).unwrap_or_default();
        slots.set_clock(self.clock);
        Dispatcher::open(service.clone(), &self.state, now, slots, &self.roster)
    }

    fn ask(&mut self, now: Instant, link: LinkId, ask: SlotRequest, out: &mut Vec<Action>) {
        let gate = self.roster.gate(link);
        let ended = gate.is_none_or(|gate| self.state.is_ended(&gate.node, gate.incarnation));
        let dispatcher = self.services.get_mut(&ask.service);
        let Some(dispatcher) = dispatcher.filter(|_| !ended) else {
            let refusal = Refusal {
                attempt: ask.attempt,
                code: RefusalCode::Unavailable,
                retry_after: RETRY_MS,
            };
            out.push(Action::Send(link, Message::Refuse(refusal)));
            return;
        };
        dispatcher.ask(now, link, ask, &self.quotas, out);
    }

    fn forget(&mut self, link: LinkId, attempt: &AttemptId) {
        self.roster.finish(link, attempt);
        for dispatcher in self.services.values_mut() {
            dispatcher.forget(attempt);
        }
        for slots in self.closed.values_mut() {
            slots.release(attempt);
        }
    }

    fn report(&mut self, now: Instant, link: LinkId, epoch: u64, running: &[Running]) {
        let Some(gate) = self.roster.gate(link).cloned() else {
            return;
        };
        self.roster.report(&gate, epoch, running);
        for dispatcher in self.services.values_mut() {
            dispatcher.report(now, &gate, link, running);
        }
        for slots in self.closed.values_mut() {
            slots.confirm(&gate, link, running);
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        for gate in self.roster.remove_over(now) {
            for dispatcher in self.services.values_mut() {
                dispatcher.release_gate(&gate);
            }
            for slots in self.closed.values_mut() {
                slots.release_gate(&gate);
            }
        }
        self.closed.retain(|_, slots| !slots.is_empty());
        for dispatcher in self.services.values_mut() {
            dispatcher.expire(now, out);
        }
    }
}

fn note(kind: NoteKind, service: &ServiceName, state: &State) -> Action {
    let schedulers = state.members_of(Role::Sched).count();
    let cause = format!("epoch {} with {schedulers} schedulers", state.epoch);
    Action::Note(Box::new(Note::new(kind, cause).service(service)))
}
