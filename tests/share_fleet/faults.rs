//! Fault injection: processes and links that fail and recover.

use mimosastep::gate::Gate;
use mimosastep::record::Member;
use mimosastep::record::Role;
use mimosastep::sched::Scheduler;
use mimosastep::wire::Peer;

use crate::share_fleet::Fleet;
use crate::share_fleet::Process;
use crate::share_fleet::name;
use crate::share_fleet::node_name;

impl Fleet {
    /// Starts a new incarnation of a process and adds it to the members.
    pub fn boot(&mut self, index: usize) {
        let at = (self.now + 1) * 1000 + index as u64;
        let role = self.nodes[index].role;
        let node = &mut self.nodes[index];
        node.incarnation = at;
        node.process = match role {
            Role::Sched => Process::Sched(Box::new(Scheduler::new(node_name(index), at))),
            _ => Process::Gate(Box::new(Gate::new(Peer {
                node: node_name(index),
                incarnation: at,
            }))),
        };
        (
            node.up,
            node.frozen_until,
            node.state_index,
            node.log_stopped,
        ) = (true, 0, 0, false);
        node.updated_at = 0;
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

    /// Kills a process and closes its links; it stays a member.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for pair in pairs {
            if pair.0 == index || pair.1 == index {
                self.close_link(pair);
            }
        }
    }

    /// Removes a process from the members, if its current incarnation is one.
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

    /// Marks a member as leaving.
    pub fn leave(&mut self, index: usize) {
        self.change(|state| {
            if let Some(member) = state.members.get_mut(&node_name(index)) {
                member.leaving = true;
                state.epoch += 1;
            }
        });
    }

    /// Suspends a process until `until`, in milliseconds; its messages wait.
    pub fn freeze(&mut self, index: usize, until: u64) {
        self.nodes[index].frozen_until = until;
    }

    /// Stops a process from reading the log, or lets it read again.
    pub fn stop_log_reads(&mut self, index: usize, stopped: bool) {
        self.nodes[index].log_stopped = stopped;
    }

    /// Drops all messages from one process to another until [`heal`](Self::heal), and closes the
    /// link between them.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
        self.close_link((from.min(to), from.max(to)));
    }

    /// Ends all cuts and log failures, and replaces killed processes by new incarnations.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].log_stopped = false;
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
