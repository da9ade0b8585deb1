//! What gates and schedulers do, and tell each other.

use std::time::Duration;

use mimosastep::gate;
use mimosastep::net::LinkId;
use mimosastep::record::Role;
use mimosastep::sched;
use mimosastep::wire::RequestId;
use mimosastep::wire::Verdict;

use crate::call::Answer;
use crate::cluster;
use crate::simulation::Break;
use crate::simulation::Item;
use crate::simulation::Simulation;

impl Simulation {
    pub(super) fn gate(&mut self, index: usize, event: gate::Event) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(gate) = &mut self.gates[index] {
            gate.handle(now, event, &mut out);
        }
        out.into_iter().for_each(|action| self.act(index, action));
    }

    pub(super) fn sched(&mut self, index: usize, event: sched::Event) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(sched) = &mut self.scheds[index] {
            sched.handle(now, event, &mut out);
            sched.grant(now, &mut out);
        }
        for action in out {
            match action {
                sched::Action::Send(link, message) => {
                    self.send(link, 1, Item::ToGate(link, message));
                }
                sched::Action::Peer(peer, message) => {
                    let from = cluster::peer(Role::Sched, index);
                    let to =
                        (0..cluster::PROCESSES).find(|i| cluster::peer(Role::Sched, *i) == peer);
                    let event = sched::Event::Permits(from, message);
                    let item = Item::Sched(to.expect("a scheduler"), event);
                    let at = self.now + self.delay();
                    self.push_at(at, item);
                }
                sched::Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
            }
        }
    }

    /// Puts a message on a link, behind those that are on their way in the same direction.
    pub(super) fn send(&mut self, link: LinkId, direction: usize, item: Item) {
        let delay = self.delay();
        let Some(ends) = self.links.get_mut(&link) else {
            return;
        };
        let at = (self.now + delay).max(ends.last[direction]);
        ends.last[direction] = at;
        self.push_at(at, item);
    }

    pub(super) fn act(&mut self, gate: usize, action: gate::Action) {
        match action {
            gate::Action::Send(link, message) => {
                self.send(link, 0, Item::ToSched(link, message));
            }
            gate::Action::Run { grant, .. } => self.start(gate, grant),
            gate::Action::Relay(request) => {
                let held = self.calls.get(&request).and_then(|call| call.held);
                let body = held.unwrap_or(RequestId(0));
                self.answer(request, Answer::Error(body));
            }
            gate::Action::Fail(request, failure) => {
                let mut verdict = failure.verdict;
                if self.broken == Some(Break::UnknownIsNotRun) && verdict == Verdict::Unknown {
                    verdict = Verdict::NotRun;
                }
                self.answer(request, Answer::Failure(failure.code, verdict));
            }
            gate::Action::AbortExchange(request, addr) => {
                self.silent.remove(&(gate, addr));
                if let Some(call) = self.calls.get_mut(&request) {
                    call.open = None;
                }
            }
            gate::Action::Renew(addr, attempts) => {
                let due = self.renewed.entry((gate, addr)).or_insert(self.now);
                if *due <= self.now {
                    *due = self.now + Duration::from_secs(1);
                    self.control(Item::Renew(gate, addr, attempts));
                }
            }
            gate::Action::Cancel(addr, attempts) => {
                self.control(Item::Cancel(gate, addr, attempts));
            }
            gate::Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
        }
    }

    pub(super) fn control(&mut self, item: Item) {
        let at = self.now + self.delay();
        self.push_at(at, item);
    }
}
