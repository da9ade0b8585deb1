//! Scheduling decisions for all services placed on one process.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use crate::limit::Demand;
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
use crate::sched::gate_registry::GateRegistry;
use crate::sched::quota::Quota;
use crate::sched::quota::Quotas;
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

/// Retry delay of refusals because this scheduler doesn't serve the service or the gate was ended,
/// in milliseconds.
const RETRY_MS: u32 = 200;

/// State machine of a scheduler process: takes [`Event`]s, returns [`Action`]s, does no I/O.
#[derive(Debug)]
pub struct Scheduler {
    me: Peer,
    state: Rc<State>,
    fresh_until: Option<Instant>,
    gates: GateRegistry,
    team_permits: TeamPermits,
    /// As computed by the last call of `grant`.
    quotas: Quotas,
    services: BTreeMap<ServiceName, Dispatcher>,
    /// Index of the service that was last offered a grant. Services are offered grants round
    /// robin, so that one service does not use up all permits that a team has here.
    last_offered: usize,
    /// Slots of services that are now placed elsewhere. Requests that were granted such a slot use
    /// this scheduler's permits until they end.
    closed: BTreeMap<ServiceName, Slots>,
    /// Wall clock, Unix time in milliseconds; 0 until the first [`Event::Clock`].
    clock: u64,
}

impl Scheduler {
    /// Creates a scheduler without state; it grants nothing until it has a fresh state in which it
    /// is a member.
    #[must_use]
    pub fn new(node: NodeName, incarnation: u64) -> Self {
        let me = Peer { node, incarnation };
        Self {
            team_permits: TeamPermits::new(me.clone()),
            me,
            state: Rc::default(),
            fresh_until: None,
            gates: GateRegistry::default(),
            quotas: Quotas::new(),
            services: BTreeMap::new(),
            last_offered: 0,
            closed: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Applies an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.update(now, state, out),
            Event::Fresh(until) => self.fresh_until = Some(until),
            Event::Up(link, gate) => self.gates.link_up(link, gate),
            Event::Down(link) => {
                self.services.values_mut().for_each(|d| d.remove_link(link));
                self.gates.link_down(link);
            }
            Event::SlotRequest(link, ask) => self.ask(now, link, ask, out),
            Event::Cancel(link, attempt) => self.remove(link, &attempt),
            Event::Finished {
                link,
                attempt,
                evidence,
            } => {
                for dispatcher in self.services.values_mut() {
                    dispatcher.finish(now, &attempt, evidence, out);
                }
                self.remove(link, &attempt);
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

    /// Grants slots to all requests that may start now and exchanges permits with other
    /// schedulers. Call it after each batch of events.
    pub fn grant(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut quotas = self.count_quotas();
        self.grant_services(now, &mut quotas, out);
        if self.move_permits(now, &quotas, out) {
            quotas = self.count_quotas();
            self.grant_services(now, &mut quotas, out);
        }
        self.quotas = quotas;
    }

    /// Permits held by this scheduler and the ledgers that it keeps.
    #[must_use]
    pub const fn team_permits(&self) -> &TeamPermits {
        &self.team_permits
    }

    /// Number of slots that a team occupies on this scheduler, over all services.
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
            self.last_offered = (self.last_offered + 1) % self.services.len();
            let Some(dispatcher) = self.services.values_mut().nth(self.last_offered) else {
                return;
            };
            let granted = dispatcher.grant(now, &self.state, &self.gates, quotas, out);
            idle = if granted { 0 } else { idle + 1 };
        }
    }

    /// Load report for the fleet processes.
    #[must_use]
    pub fn load(&self, now: Instant) -> Message {
        Message::ServiceLoad {
            offset: self.state.offset,
            complete: self.gates.adopted_epoch(now, &self.state) >= self.state.epoch,
            services: self.services.values().map(Dispatcher::load).collect(),
        }
    }

    /// Number of queued requests and of slots in use, over all open services.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        self.services.values().fold((0, 0), |sum, dispatcher| {
            let running = dispatcher.slots().in_use() as usize;
            (sum.0 + dispatcher.waiting(), sum.1 + running)
        })
    }

    fn may_grant(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
            && self.state.is_member(&self.me.node, self.me.incarnation)
    }

    fn move_permits(&mut self, now: Instant, quotas: &Quotas, out: &mut Vec<Action>) -> bool {
        let adopted = self.gates.adopted_epoch(now, &self.state);
        let services: Vec<(&Dispatcher, u64)> = self
            .services
            .values()
            .map(|dispatcher| (dispatcher, dispatcher.weight(quotas)))
            .collect();
        let demand = |team: &TeamName| {
            let quota = quotas.get(team).copied().unwrap_or_default();
            let wanted = services
                .iter()
                .map(|(dispatcher, total)| dispatcher.demand(team, quota.weight, *total));
            Demand {
                running: quota.running,
                wanted: quota.running + wanted.sum::<u32>(),
                adopted,
            }
        };
        self.team_permits.exchange(now, demand, out)
    }

    fn count_quotas(&self) -> Quotas {
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
        let mut returns = self.state.reactivated.values();
        if returns.any(|returned| before < returned + FILLING_MS) {
            self.services
                .values_mut()
                .for_each(|dispatcher| dispatcher.update_filling(&self.state, clock));
        }
    }

    fn update(&mut self, now: Instant, state: Rc<State>, out: &mut Vec<Action>) {
        self.state = state;
        self.gates.update(now, &self.state);
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
            out.push(service_note(NoteKind::ServiceGiven, &service, &self.state));
            self.closed.insert(service, dispatcher.close(out));
        }
    }

    fn open(&mut self, service: &ServiceName, now: Instant, out: &mut Vec<Action>) -> Dispatcher {
        out.push(service_note(NoteKind::ServiceTaken, service, &self.state));
        let mut slots = self.closed.remove(service).unwrap_or_default();
        slots.set_clock(self.clock);
        Dispatcher::open(service.clone(), &self.state, now, slots, &self.gates)
    }

    fn ask(&mut self, now: Instant, link: LinkId, ask: SlotRequest, out: &mut Vec<Action>) {
        let gate = self.gates.gate(link);
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

    fn remove(&mut self, link: LinkId, attempt: &AttemptId) {
        self.gates.finish(link, attempt);
        for dispatcher in self.services.values_mut() {
            dispatcher.remove(attempt);
        }
        for slots in self.closed.values_mut() {
            slots.release(attempt);
        }
    }

    fn report(&mut self, now: Instant, link: LinkId, epoch: u64, running: &[Running]) {
        let Some(gate) = self.gates.gate(link).cloned() else {
            return;
        };
        self.gates.report(&gate, epoch, running);
        for dispatcher in self.services.values_mut() {
            dispatcher.report(now, &gate, link, running);
        }
        for slots in self.closed.values_mut() {
            slots.confirm(&gate, link, running);
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        for gate in self.gates.remove_ended(now) {
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

fn service_note(kind: NoteKind, service: &ServiceName, state: &State) -> Action {
    let schedulers = state.members_of(Role::Sched).count();
    let cause = format!("epoch {} with {schedulers} schedulers", state.epoch);
    Action::Note(Box::new(Note::new(kind, cause).service(service)))
}
