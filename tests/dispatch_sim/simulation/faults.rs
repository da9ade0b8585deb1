//! Fault injection: links, members, backend servers and data centres.

use std::rc::Rc;

use mimosastep::gate;
use mimosastep::net::LinkId;
use mimosastep::record::Role;
use mimosastep::sched;
use rand::RngExt;

use crate::call::JobKind;
use crate::cluster;
use crate::simulation::Fault;
use crate::simulation::LinkEnds;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    pub(super) fn connect(&mut self, gate: usize, sched: usize) {
        if self.gates[gate].is_none() || self.scheds[sched].is_none() {
            return;
        }
        self.serial += 1;
        let link = LinkId(self.serial);
        let ends = LinkEnds {
            gate,
            sched,
            last_arrival: [self.now; 2],
        };
        self.links.insert(link, ends);
        let event = sched::Event::Up(link, cluster::peer(Role::Gate, gate));
        self.notify_sched(sched, event);
        let event = gate::Event::Up {
            link,
            node: cluster::node(Role::Sched, sched),
            incarnation: 1,
        };
        self.notify_gate(gate, event);
    }

    /// Closes a link. Each end notices at its own time within `within` milliseconds; then a new
    /// link is opened.
    pub(super) fn drop_link(&mut self, link: LinkId, within: u64) {
        let Some(ends) = self.links.remove(&link) else {
            return;
        };
        let (first, second) = (
            self.rng.random_range(0..within),
            self.rng.random_range(0..within),
        );
        self.push(first, SimEvent::Gate(ends.gate, gate::Event::Down(link)));
        self.push(
            second,
            SimEvent::Sched(ends.sched, sched::Event::Down(link)),
        );
        self.push(within, SimEvent::Connect(ends.gate, ends.sched));
    }

    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::DropLink => {
                let links: Vec<LinkId> = self.links.keys().copied().collect();
                if !links.is_empty() {
                    let link = links[self.rng.random_range(0..links.len())];
                    self.drop_link(link, 200);
                }
            }
            Fault::SilenceConnections(addr) => {
                (0..cluster::PROCESSES).for_each(|gate| {
                    self.silent_connections.insert((gate, addr));
                });
            }
            Fault::ModifyBackend(addr, modify) => {
                let backend = self.backends.get_mut(&addr).expect("a backend server");
                modify(backend);
            }
            Fault::MarkDc(index, active) => {
                match active {
                    true => self.inactive_since.remove(&index),
                    false => self.inactive_since.insert(index, self.now),
                };
                let state = Rc::make_mut(&mut self.state);
                state.dcs.insert(cluster::dc(index), active);
                self.publish_state();
            }
            Fault::KillSched(index) => {
                self.scheds[index] = None;
                self.drop_links(|ends| ends.sched == index);
                self.remove_member(Role::Sched, index);
            }
            Fault::KillGate(index) => {
                self.gates[index] = None;
                self.drop_links(|ends| ends.gate == index);
                self.remove_member(Role::Gate, index);
                for call in self.calls.values_mut().filter(|call| call.gate == index) {
                    call.abandoned |= call.answers.is_empty();
                }
            }
            Fault::StallState(index, span) => self.stalled_until[index] = self.now + span,
            Fault::Burst(count) => {
                for _ in 0..count {
                    let request = self.submit(JobKind::Abandoned);
                    let after = self.rng.random_range(100..200);
                    self.push(after, SimEvent::CallerGone(request));
                }
            }
        }
    }

    pub(super) fn drop_links(&mut self, is_selected: impl Fn(&LinkEnds) -> bool) {
        let links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, ends)| is_selected(ends))
            .map(|(link, _)| *link)
            .collect();
        links
            .into_iter()
            .for_each(|link| self.drop_link(link, 2_000));
    }

    pub(super) fn remove_member(&mut self, role: Role, index: usize) {
        let state = Rc::make_mut(&mut self.state);
        state.members.remove(&cluster::node(role, index));
        state.epoch += 1;
        self.publish_state();
    }
}
