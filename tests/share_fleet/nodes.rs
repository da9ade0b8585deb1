//! What the processes learn and do.

use std::rc::Rc;
use std::time::Duration;

use mimosastep::gate;
use mimosastep::member::FRESHNESS_TTL;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::sched;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use rand::RngExt;

use crate::share_fleet::Body;
use crate::share_fleet::Defect;
use crate::share_fleet::Fleet;
use crate::share_fleet::POLL;
use crate::share_fleet::Work;

impl Fleet {
    pub(super) fn learn(&mut self, index: usize) {
        let due = (self.now + index as u64 * 7).is_multiple_of(POLL);
        if !due || !self.live(index) || self.nodes[index].deaf {
            return;
        }
        let asked = self.now.saturating_sub(self.rng.random_range(1..40));
        let known = self.states.iter().rposition(|(at, _)| *at <= asked);
        let offset = known.unwrap_or(0).max(self.nodes[index].offset);
        if offset > self.nodes[index].offset || self.nodes[index].learned == 0 {
            let state = Rc::clone(&self.states[offset].1);
            self.nodes[index].offset = offset;
            self.nodes[index].learned = self.now;
            self.tell_state(index, state);
        }
        let fresh = self.at(asked) + FRESHNESS_TTL;
        match self.nodes[index].role {
            Role::Gate => self.tell_gate(index, gate::Event::Fresh(fresh)),
            _ => self.tell_sched(index, sched::Event::Fresh(fresh)),
        }
    }

    pub(super) fn tell_state(&mut self, index: usize, state: Rc<State>) {
        if self.nodes[index].role == Role::Gate {
            return self.tell_gate(index, gate::Event::State(state));
        }
        let epoch = state.epoch;
        let early = self.fault == Defect::NoHoldOff;
        let back = if early { 10_000 } else { 0 };
        let mut out = Vec::new();
        let now = self.at(self.now) - Duration::from_millis(back);
        if let Body::Sched(scheduler) = &mut self.nodes[index].body {
            scheduler.handle(now, sched::Event::State(state.clone()), &mut out);
        }
        self.carry_out(index, out);
        if self.fault == Defect::NoWait {
            self.forge_reports(index, &state, epoch);
        }
        self.tell_sched(index, sched::Event::Tick);
    }

    /// Makes a ledger believe that every holder has reported that it holds nothing.
    pub(super) fn forge_reports(&mut self, index: usize, state: &State, epoch: u64) {
        for (node, member) in state.members_of(Role::Sched) {
            let peer = Peer {
                node: node.clone(),
                incarnation: member.incarnation,
            };
            for team in state.teams.keys() {
                let permits = mimosastep::wire::Permits {
                    team: team.clone(),
                    epoch,
                    number: 1,
                    seen: 0,
                    held: 0,
                    wanted: 0,
                    adopted: epoch,
                    target: u32::MAX,
                    frozen: false,
                };
                let message = Message::Permits(permits);
                self.tell_sched(index, sched::Event::Permits(peer.clone(), message));
            }
        }
    }

    pub(super) fn tick(&mut self, index: usize) {
        if !self.live(index) {
            return;
        }
        match self.nodes[index].role {
            Role::Gate => self.tell_gate(index, gate::Event::Tick),
            _ => self.tell_sched(index, sched::Event::Tick),
        }
    }

    pub(super) fn tell_sched(&mut self, index: usize, event: sched::Event) {
        let now = self.at(self.now);
        let mut out = Vec::new();
        if let Body::Sched(scheduler) = &mut self.nodes[index].body {
            scheduler.handle(now, event, &mut out);
            scheduler.grant(now, &mut out);
        }
        self.carry_out(index, out);
    }

    pub(super) fn carry_out(&mut self, index: usize, out: Vec<sched::Action>) {
        for action in out {
            match action {
                sched::Action::Send(link, message) => {
                    if let Some(to) = self.far_end(index, link.0) {
                        self.send(index, to, link.0, message);
                    }
                }
                sched::Action::Peer(peer, message) => self.send_peer(index, &peer, message),
                sched::Action::Note(_) => {}
            }
        }
    }

    pub(super) fn tell_gate(&mut self, index: usize, event: gate::Event) {
        let now = self.at(self.now);
        let mut out = Vec::new();
        if let Body::Gate(gate) = &mut self.nodes[index].body {
            gate.handle(now, event, &mut out);
        }
        for action in out {
            match action {
                gate::Action::Send(link, message) => {
                    if let Some(to) = self.far_end(index, link.0) {
                        self.send(index, to, link.0, message);
                    }
                }
                gate::Action::Run { grant, team } => {
                    self.run(index, grant.attempt, grant.host, team)
                }
                gate::Action::Renew(_, attempts) => self.renew(&attempts),
                gate::Action::Cancel(_, attempts) => {
                    for attempt in attempts {
                        self.wasted += u64::from(self.tasks.remove(&attempt).is_some());
                        let at = (index, self.nodes[index].incarnation);
                        self.schedule(self.now + 2, Work::Settled { at, attempt });
                    }
                }
                gate::Action::Fail(request, failure) => {
                    self.refused += 1;
                    let after = failure.retry_after.unwrap_or(0);
                    self.settle(request, Some(after.into()));
                }
                gate::Action::Relay(_)
                | gate::Action::AbortExchange(..)
                | gate::Action::Note(_) => {}
            }
        }
    }
}
