//! Events and actions of the processes.

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

use crate::share_fleet::Defect;
use crate::share_fleet::Fleet;
use crate::share_fleet::POLL_MS;
use crate::share_fleet::Process;
use crate::share_fleet::SimEvent;

impl Fleet {
    pub(super) fn read_log(&mut self, index: usize) {
        let due = (self.now + index as u64 * 7).is_multiple_of(POLL_MS);
        if !due || !self.is_running(index) || self.nodes[index].log_stopped {
            return;
        }
        let read_at = self.now.saturating_sub(self.rng.random_range(1..40));
        let known = self.states.iter().rposition(|(at, _)| *at <= read_at);
        let offset = known.unwrap_or(0).max(self.nodes[index].state_index);
        if offset > self.nodes[index].state_index || self.nodes[index].updated_at == 0 {
            let state = Rc::clone(&self.states[offset].1);
            self.nodes[index].state_index = offset;
            self.nodes[index].updated_at = self.now;
            self.notify_state(index, state);
        }
        let fresh = self.instant(read_at) + FRESHNESS_TTL;
        match self.nodes[index].role {
            Role::Gate => self.notify_gate(index, gate::Event::Fresh(fresh)),
            _ => self.notify_sched(index, sched::Event::Fresh(fresh)),
        }
    }

    pub(super) fn notify_state(&mut self, index: usize, state: Rc<State>) {
        if self.nodes[index].role == Role::Gate {
            return self.notify_gate(index, gate::Event::State(state));
        }
        let epoch = state.epoch;
        let skip_hold_off = self.defect == Defect::NoHoldOff;
        let early_ms = if skip_hold_off { 10_000 } else { 0 };
        let mut out = Vec::new();
        let now = self.instant(self.now) - Duration::from_millis(early_ms);
        if let Process::Sched(scheduler) = &mut self.nodes[index].process {
            scheduler.handle(now, sched::Event::State(state.clone()), &mut out);
        }
        self.perform(index, out);
        if self.defect == Defect::SkipReports {
            self.forge_reports(index, &state, epoch);
        }
        self.notify_sched(index, sched::Event::Tick);
    }

    /// Sends a ledger a forged report of each holder, which says that it holds nothing.
    pub(super) fn forge_reports(&mut self, index: usize, state: &State, epoch: u64) {
        for (node, member) in state.members_of(Role::Sched) {
            let peer = Peer {
                node: node.clone(),
                incarnation: member.incarnation,
            };
            for team in state.teams.keys() {
                let permits = mimosastep::wire::PermitReport {
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
                let message = Message::PermitReport(permits);
                self.notify_sched(index, sched::Event::PermitMessage(peer.clone(), message));
            }
        }
    }

    pub(super) fn tick(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        match self.nodes[index].role {
            Role::Gate => self.notify_gate(index, gate::Event::Tick),
            _ => self.notify_sched(index, sched::Event::Tick),
        }
    }

    pub(super) fn notify_sched(&mut self, index: usize, event: sched::Event) {
        let now = self.instant(self.now);
        let mut out = Vec::new();
        if let Process::Sched(scheduler) = &mut self.nodes[index].process {
            scheduler.handle(now, event, &mut out);
            scheduler.grant(now, &mut out);
        }
        self.perform(index, out);
    }

    pub(super) fn perform(&mut self, index: usize, out: Vec<sched::Action>) {
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

    pub(super) fn notify_gate(&mut self, index: usize, event: gate::Event) {
        let now = self.instant(self.now);
        let mut out = Vec::new();
        if let Process::Gate(gate) = &mut self.nodes[index].process {
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
                    self.start_task(index, grant.attempt, grant.host, team)
                }
                gate::Action::Renew(_, attempts) => self.renew(&attempts),
                gate::Action::Cancel(_, attempts) => {
                    for attempt in attempts {
                        self.cancelled += u64::from(self.tasks.remove(&attempt).is_some());
                        let at = (index, self.nodes[index].incarnation);
                        self.schedule(self.now + 2, SimEvent::Cancelled { at, attempt });
                    }
                }
                gate::Action::Fail(request, failure) => {
                    self.refused += 1;
                    let after = failure.retry_after.unwrap_or(0);
                    self.record_outcome(request, Some(after.into()));
                }
                gate::Action::Relay(_)
                | gate::Action::AbortExchange(..)
                | gate::Action::Note(_) => {}
            }
        }
    }
}
