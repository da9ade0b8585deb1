//! Known gates and the attempts that they run.

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

/// How long a gate that was ended may have tasks running, in milliseconds: until its state is no
/// longer fresh (2 s) and its last task lease has expired (5 s), plus 1 s for clock differences.
const LOST_GATE_MS: u64 = 8_000;

#[derive(Debug, Default)]
struct Gate {
    /// Epoch of its last report; none before the first.
    reported: Option<u64>,
    running: HashMap<AttemptId, Running>,
    /// When it can no longer have tasks running; set once it was ended.
    clear_at: Option<Instant>,
}

/// The gates known to a scheduler.
///
/// Attempts of a gate stay counted while its link is down: they are removed only by a newer report,
/// or once the gate was ended and its task leases have expired.
#[derive(Debug, Default)]
pub struct GateRegistry {
    gates: BTreeMap<Peer, Gate>,
    links: HashMap<LinkId, Peer>,
    /// Until this time, gates that were ended before this process started may have tasks running.
    unknown_until: Option<Instant>,
}

impl GateRegistry {
    /// Adds a link to a gate.
    pub fn link_up(&mut self, link: LinkId, peer: Peer) {
        self.gates.entry(peer.clone()).or_default();
        self.links.insert(link, peer);
    }

    /// Removes a lost link.
    pub fn link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Replaces the list of attempts that a gate runs.
    pub fn report(&mut self, gate: &Peer, epoch: u64, running: &[Running]) {
        let entry = self.gates.entry(gate.clone()).or_default();
        entry.reported = Some(epoch);
        entry.running = running
            .iter()
            .map(|run| (run.attempt, run.clone()))
            .collect();
    }

    /// Removes a finished attempt.
    pub fn finish(&mut self, link: LinkId, attempt: &AttemptId) {
        if let Some(peer) = self.links.get(&link)
            && let Some(gate) = self.gates.get_mut(peer)
        {
            gate.running.remove(attempt);
        }
    }

    /// Applies a newer state: adds its gates and starts the waiting time of those that were ended.
    pub fn update(&mut self, now: Instant, state: &State) {
        let clear_at = now + Duration::from_millis(LOST_GATE_MS);
        let none_ended = state.epoch == state.members.len() as u64;
        self.unknown_until
            .get_or_insert(if none_ended { now } else { clear_at });
        for (node, member) in state.members_of(Role::Gate) {
            let (node, incarnation) = (node.clone(), member.incarnation);
            self.gates.entry(Peer { node, incarnation }).or_default();
        }
        for (peer, gate) in &mut self.gates {
            if state.is_ended(&peer.node, peer.incarnation) {
                gate.clear_at.get_or_insert(clear_at);
            }
        }
    }

    /// Removes and returns the ended gates that can no longer have tasks running.
    pub fn remove_ended(&mut self, now: Instant) -> Vec<Peer> {
        let gates = self.gates.iter();
        let ended: Vec<Peer> = gates
            .filter(|(_, gate)| gate.clear_at.is_some_and(|clear_at| clear_at <= now))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &ended {
            self.gates.remove(peer);
        }
        ended
    }

    /// The gate at the other end of a link.
    #[must_use]
    pub fn gate(&self, link: LinkId) -> Option<&Peer> {
        self.links.get(&link)
    }

    /// All attempts that gates run, as last reported.
    pub fn running(&self) -> impl Iterator<Item = (&Peer, &Running)> {
        let gates = self.gates.iter();
        gates.flat_map(|(peer, gate)| gate.running.values().map(move |run| (peer, run)))
    }

    /// Whether every gate that is a member has reported with a state of at least `epoch`.
    #[must_use]
    pub fn is_complete(&self, state: &State, epoch: u64) -> bool {
        state.members_of(Role::Gate).all(|(node, member)| {
            let (node, incarnation) = (node.clone(), member.incarnation);
            let gate = self.gates.get(&Peer { node, incarnation });
            gate.and_then(|gate| gate.reported)
                .is_some_and(|at| at >= epoch)
        })
    }

    /// Epoch as of which every gate that may have tasks running has reported them; 0 while unknown
    /// gates may have any.
    #[must_use]
    pub fn adopted_epoch(&self, now: Instant, state: &State) -> u64 {
        if self
            .unknown_until
            .is_none_or(|unknown_until| now < unknown_until)
        {
            return 0;
        }
        let known = self
            .gates
            .iter()
            .filter(|(peer, gate)| {
                gate.clear_at.is_some() || state.is_member(&peer.node, peer.incarnation)
            })
            .map(|(_, gate)| gate.reported.unwrap_or(0));
        known.min().unwrap_or(state.epoch).min(state.epoch)
    }
}
