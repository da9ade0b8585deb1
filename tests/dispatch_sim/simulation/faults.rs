//! Links and members that fail.

use std::rc::Rc;

use mimosastep::gate;
use mimosastep::net::LinkId;
use mimosastep::record::Role;
use mimosastep::sched;
use rand::RngExt;

use crate::call::Job;
use crate::cluster;
use crate::simulation::Fault;
use crate::simulation::Item;
use crate::simulation::LinkEnds;
use crate::simulation::Simulation;

impl Simulation {
    pub(super) fn connect(&mut self, gate: usize, sched: usize) {
        if self.gates[gate].is_none() || self.scheds[sched].is_none() {
            return;
        }
        self.number += 1;
        let link = LinkId(self.number);
        let ends = LinkEnds {
            gate,
            sched,
            last: [self.now; 2],
        };
        self.links.insert(link, ends);
        let event = sched::Event::Up(link, cluster::peer(Role::Gate, gate));
        self.sched(sched, event);
        let event = gate::Event::Up {
            link,
            node: cluster::node(Role::Sched, sched),
            incarnation: 1,
        };
        self.gate(gate, event);
    }

    /// Ends a link; its ends hear of it at different times.
    pub(super) fn lose(&mut self, link: LinkId, within: u64) {
        let Some(ends) = self.links.remove(&link) else {
            return;
        };
        let (first, second) = (
            self.rng.random_range(0..within),
            self.rng.random_range(0..within),
        );
        self.push(first, Item::Gate(ends.gate, gate::Event::Down(link)));
        self.push(second, Item::Sched(ends.sched, sched::Event::Down(link)));
        self.push(within, Item::Connect(ends.gate, ends.sched));
    }

    pub(super) fn break_down(&mut self, fault: Fault) {
        match fault {
            Fault::LoseLink => {
                let links: Vec<LinkId> = self.links.keys().copied().collect();
                if !links.is_empty() {
                    let link = links[self.rng.random_range(0..links.len())];
                    self.lose(link, 200);
                }
            }
            Fault::Silence(addr) => {
                (0..cluster::PROCESSES).for_each(|gate| {
                    self.silent.insert((gate, addr));
                });
            }
            Fault::Alter(addr, alter) => {
                let backend = self.backends.get_mut(&addr).expect("a backend server");
                alter(backend);
            }
            Fault::MarkDc(index, active) => {
                match active {
                    true => self.out_since.remove(&index),
                    false => self.out_since.insert(index, self.now),
                };
                let state = Rc::make_mut(&mut self.state);
                state.dcs.insert(cluster::dc(index), active);
                self.publish();
            }
            Fault::KillSched(index) => {
                self.scheds[index] = None;
                self.end_links(|ends| ends.sched == index);
                self.end_member(Role::Sched, index);
            }
            Fault::KillGate(index) => {
                self.gates[index] = None;
                self.end_links(|ends| ends.gate == index);
                self.end_member(Role::Gate, index);
                for call in self.calls.values_mut().filter(|call| call.gate == index) {
                    call.gone |= call.answers.is_empty();
                }
            }
            Fault::CutGate(index, span) => self.cut_until[index] = self.now + span,
            Fault::Wave(count) => {
                for _ in 0..count {
                    let request = self.submit(Job::Withdrawn);
                    let after = self.rng.random_range(100..200);
                    self.push(after, Item::Gone(request));
                }
            }
        }
    }

    pub(super) fn end_links(&mut self, of: impl Fn(&LinkEnds) -> bool) {
        let links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, ends)| of(ends))
            .map(|(link, _)| *link)
            .collect();
        links.into_iter().for_each(|link| self.lose(link, 2_000));
    }

    pub(super) fn end_member(&mut self, role: Role, index: usize) {
        let state = Rc::make_mut(&mut self.state);
        state.members.remove(&cluster::node(role, index));
        state.epoch += 1;
        self.publish();
    }
}
