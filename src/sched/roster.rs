//! The gates and what they run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::net::LinkId;
use crate::record::Role;
use crate::record::State;
use crate::wire::AttemptId;
use crate::wire::Peer;
use crate::wire::Running;

/// How long a gate that was ended may have tasks running: until its state is no longer fresh (2 s)
/// and its last task lease is over (5 s), and 1 s for the clocks; in milliseconds.
const LOST_GATE_MS: u64 = 8_000;

#[derive(Debug, Default)]
struct Gate {
    /// Epoch of its last report.
    reported: Option<u64>,
    running: HashMap<AttemptId, Running>,
    /// When its tasks are surely over, once it was ended.
    ends: Option<Instant>,
}

/// The gates as a scheduler knows them.
///
/// What a gate runs stays counted while its link is down: only a newer report, or the end of its
/// membership and of its task leases, frees it.
#[derive(Debug, Default)]
pub struct Roster {
    gates: BTreeMap<Peer, Gate>,
    links: HashMap<LinkId, Peer>,
    /// Until then, gates that this process never knew may have tasks running.
    settles: Option<Instant>,
}

impl Roster {
    /// Takes in a new link.
    pub fn up(&mut self, link: LinkId, peer: Peer) {
        self.gates.entry(peer.clone()).or_default();
        self.links.insert(link, peer);
    }

    /// Takes in the loss of a link.
    pub fn down(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Takes in everything that a gate runs.
    pub fn report(&mut self, gate: &Peer, epoch: u64, running: &[Running]) {
        let entry = self.gates.entry(gate.clone()).or_default();
        entry.reported = Some(epoch);
        entry.running = running
            .iter()
            .map(|run| (run.attempt, run.clone()))
            .collect();
    }

    /// Takes in the end of an attempt.
    pub fn finish(&mut self, link: LinkId, attempt: &AttemptId) {
        if let Some(peer) = self.links.get(&link)
            && let Some(gate) = self.gates.get_mut(peer)
        {
            gate.running.remove(attempt);
        }
    }

    /// Goes on under a newer state.
    pub fn update(&mut self, now: Instant, state: &State) {
        let ends = now + Duration::from_millis(LOST_GATE_MS);
        let untouched = state.epoch == state.members.len() as u64;
        self.settles
            .get_or_insert(if untouched { now } else { ends });
        for (node, member) in state.members_of(Role::Gate) {
            let (node, incarnation) = (node.clone(), member.incarnation);
            self.gates.entry(Peer { node, incarnation }).or_default();
        }
        for (peer, gate) in &mut self.gates {
            if state.is_ended(&peer.node, peer.incarnation) {
                gate.ends.get_or_insert(ends);
            }
        }
    }

    /// Takes out the gates whose tasks are surely over.
    pub fn remove_over(&mut self, now: Instant) -> Vec<Peer> {
        let gates = self.gates.iter();
        let over: Vec<Peer> = gates
            .filter(|(_, gate)| gate.ends.is_some_and(|ends| ends <= now))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &over {
            self.gates.remove(peer);
        }
        over
    }

    /// The gate at the other end of a link.
    #[must_use]
    pub fn gate(&self, link: LinkId) -> Option<&Peer> {
        self.links.get(&link)
    }

    /// Everything that gates run, as last reported.
    pub fn running(&self) -> impl Iterator<Item = (&Peer, &Running)> {
        let gates = self.gates.iter();
        gates.flat_map(|(peer, gate)| gate.running.values().map(move |run| (peer, run)))
    }

    /// Whether every gate that is a member has reported as of an epoch.
    #[must_use]
    pub fn is_complete(&self, state: &State, epoch: u64) -> bool {
        state.members_of(Role::Gate).all(|(node, member)| {
            let (node, incarnation) = (node.clone(), member.incarnation);
            let gate = self.gates.get(&Peer { node, incarnation });
            gate.and_then(|gate| gate.reported)
                .is_some_and(|at| at >= epoch)
        })
    }

    /// Epoch as of which all that any gate may run is known.
    #[must_use]
    pub fn adopted(&self, now: Instant, state: &State) -> u64 {
        if self.settles.is_none_or(|settles| now < settles) {
            return 0;
        }
        let known = self
            .gates
            .iter()
            .filter(|(peer, gate)| {
                gate.ends.is_some() || state.is_member(&peer.node, peer.incarnation)
            })
            .map(|(_, gate)| gate.reported.unwrap_or(0));
        known.min().unwrap_or(state.epoch).min(state.epoch)
    }
}
