//! Processes and links that fail and come back.

use mimosastep::gate::Gate;
use mimosastep::record::Member;
use mimosastep::record::Role;
use mimosastep::sched::Scheduler;
use mimosastep::wire::Peer;

use crate::share_fleet::Body;
use crate::share_fleet::Fleet;
use crate::share_fleet::name;
use crate::share_fleet::node_name;

impl Fleet {
    /// Starts a process afresh and lets it join.
    pub fn boot(&mut self, index: usize) {
        let at = (self.now + 1) * 1000 + index as u64;
        let role = self.nodes[index].role;
        let node = &mut self.nodes[index];
        node.incarnation = at;
        node.body = match role {
            Role::Sched => Body::Sched(Box::new(Scheduler::new(node_name(index), at))),
            _ => Body::Gate(Box::new(Gate::new(Peer {
                node: node_name(index),
                incarnation: at,
            }))),
        };
        (node.up, node.frozen, node.offset, node.deaf) = (true, 0, 0, false);
        node.learned = 0;
        let member = Member {
            role,
            incarnation: at,
            addr: ([127, 0, 0, 1], index as u16 + 1).into(),
            dc: name("a"),
            leaving: false,
        };
        self.change(|state| {
            state.incarnations.insert(node_name(index), at);
            state.members.insert(node_name(index), member);
            state.epoch += 1;
        });
    }

    /// Kills a process; its links break.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for pair in pairs {
            if pair.0 == index || pair.1 == index {
                self.unlink(pair);
            }
        }
    }

    /// Ends the membership of a process.
    pub fn remove_member(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.change(|state| {
            let member = state.members.get(&node_name(index));
            if member.is_some_and(|member| member.incarnation == incarnation) {
                state.members.remove(&node_name(index));
                state.epoch += 1;
            }
        });
    }

    pub fn leave(&mut self, index: usize) {
        self.change(|state| {
            if let Some(member) = state.members.get_mut(&node_name(index)) {
                member.leaving = true;
                state.epoch += 1;
            }
        });
    }

    pub fn freeze(&mut self, index: usize, until: u64) {
        self.nodes[index].frozen = until;
    }

    /// Cuts a process off from the log, or ends that.
    pub fn deafen(&mut self, index: usize, deaf: bool) {
        self.nodes[index].deaf = deaf;
    }

    /// Loses everything from one process to another from now on; both notice.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
        self.unlink((from.min(to), from.max(to)));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].deaf = false;
            if !self.nodes[index].up {
                self.remove_member(index);
                self.boot(index);
            }
        }
    }

    pub fn is_member(&self, index: usize) -> bool {
        let member = self.state().members.get(&node_name(index));
        member.is_some_and(|member| member.incarnation == self.nodes[index].incarnation)
    }
}
