//! Events and actions of gates and schedulers, and messages between them.

use std::time::Duration;

use mimosastep::gate;
use mimosastep::net::LinkId;
use mimosastep::record::Role;
use mimosastep::sched;
use mimosastep::wire::RequestId;
use mimosastep::wire::Verdict;

use crate::call::Answer;
use crate::cluster;
use crate::simulation::Defect;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    pub(super) fn notify_gate(&mut self, index: usize, event: gate::Event) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(gate) = &mut self.gates[index] {
            gate.handle(now, event, &mut out);
        }
        out.into_iter()
            .for_each(|action| self.perform(index, action));
    }

    pub(super) fn notify_sched(&mut self, index: usize, event: sched::Event) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(sched) = &mut self.scheds[index] {
            sched.handle(now, event, &mut out);
            sched.grant(now, &mut out);
        }
        for action in out {
            match action {
                sched::Action::Send(link, message) => {
                    self.send(link, 1, SimEvent::ToGate(link, message));
                }
                sched::Action::Peer(peer, message) => {
                    let from = cluster::peer(Role::Sched, index);
                    let to =
                        (0..cluster::PROCESSES).find(|i| cluster::peer(Role::Sched, *i) == peer);
                    let event = sched::Event::PermitMessage(from, message);
                    let event = SimEvent::Sched(to.expect("a scheduler"), event);
                    let at = self.now + self.delay();
                    self.push_at(at, event);
                }
                sched::Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
            }
        }
    }

    /// Sends a message over a link; messages in the same direction arrive in order.
    pub(super) fn send(&mut self, link: LinkId, direction: usize, event: SimEvent) {
        let delay = self.delay();
        let Some(ends) = self.links.get_mut(&link) else {
            return;
        };
        let at = (self.now + delay).max(ends.last_arrival[direction]);
        ends.last_arrival[direction] = at;
        self.push_at(at, event);
    }

    pub(super) fn perform(&mut self, gate: usize, action: gate::Action) {
        match action {
            gate::Action::Send(link, message) => {
                self.send(link, 0, SimEvent::ToSched(link, message));
            }
            gate::Action::Run { grant, .. } => self.send_attempt(gate, grant),
            gate::Action::Relay(request) => {
                let held = self.calls.get(&request).and_then(|call| call.held_error);
                let body = held.unwrap_or(RequestId(0));
                self.answer(request, Answer::Error(body));
            }
            gate::Action::Fail(request, failure) => {
                let mut verdict = failure.verdict;
                if self.defect == Some(Defect::UnknownAsNotRun) && verdict == Verdict::Unknown {
                    verdict = Verdict::NotRun;
                }
                self.answer(request, Answer::Failure(failure.code, verdict));
            }
            gate::Action::AbortExchange(request, addr) => {
                self.silent_connections.remove(&(gate, addr));
                if let Some(call) = self.calls.get_mut(&request) {
                    call.open_attempt = None;
                }
            }
            gate::Action::Renew(addr, attempts) => {
                let due = self.renewal_due.entry((gate, addr)).or_insert(self.now);
                if *due <= self.now {
                    *due = self.now + Duration::from_secs(1);
                    self.push_delayed(SimEvent::Renew(gate, addr, attempts));
                }
            }
            gate::Action::Cancel(addr, attempts) => {
                self.push_delayed(SimEvent::Cancel(gate, addr, attempts));
            }
            gate::Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
        }
    }

    pub(super) fn push_delayed(&mut self, event: SimEvent) {
        let at = self.now + self.delay();
        self.push_at(at, event);
    }
}
