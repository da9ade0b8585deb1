//! The permits of all teams that a scheduler holds, and the ledgers that it keeps.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use crate::limit::Demand;
use crate::limit::Holder;
use crate::limit::Ledger;
use crate::limit::RECLAIM_DELAY;
use crate::member::place;
use crate::name::TeamName;
use crate::record::Role;
use crate::record::State;
use crate::sched::Action;
use crate::sched::transfer_notes::TransferNotes;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;

/// Prefix of the keys by which ledgers are placed on schedulers.
const LEDGER_KEY: &str = "ledger/";

/// Permit holders of all teams on one scheduler, and the ledgers of the teams placed on it.
#[derive(Debug)]
pub struct TeamPermits {
    me: Peer,
    state: Rc<State>,
    holders: BTreeMap<TeamName, Holder>,
    ledgers: BTreeMap<TeamName, Ledger>,
    transfers: TransferNotes,
    /// When no scheduler that was ended so far can have anything running; none before the first
    /// state.
    clear_at: Option<Instant>,
    /// Epoch at which a scheduler was last ended.
    ended_epoch: u64,
}

impl TeamPermits {
    /// Creates an instance without teams.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            state: Rc::default(),
            holders: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            transfers: TransferNotes::default(),
            clear_at: None,
            ended_epoch: 0,
        }
    }

    /// Applies a newer state: limits, ledger owners and ended schedulers. A team without a row has
    /// the limit 0.
    pub fn update(&mut self, now: Instant, state: Rc<State>) {
        let clear_at = self.track_ends(now, &state);
        let known = self.holders.keys().chain(state.teams.keys());
        let teams: Vec<TeamName> = known.cloned().collect();
        for team in teams {
            let limit = state.teams.get(&team).map_or(0, |row| row.limit);
            let owner = ledger_owner(&state, &team);
            let ledger = self
                .ledgers
                .entry(team.clone())
                .or_insert_with_key(|team| Ledger::new(team.clone()));
            ledger.update(now, limit, &state);
            if owner.as_ref() == Some(&self.me) {
                ledger.open(&state, self.ended_epoch, clear_at);
            } else {
                ledger.close();
            }
            let holder = self.holders.entry(team);
            holder
                .or_insert_with_key(|team| Holder::new(team.clone()))
                .update(state.epoch, limit, owner);
        }
        self.state = state;
    }

    /// Handles a permit message of another scheduler; other messages are ignored.
    pub fn receive(&mut self, from: &Peer, message: &Message) {
        match message {
            Message::PermitReport(permits) => self.apply_report(from, permits),
            Message::PermitGrant(permit) => self.apply_permit(from, permit),
            _ => {}
        }
    }

    /// Reports demand to the ledgers and moves permits of the ledgers kept here. Returns whether
    /// this scheduler received a permit message from one of them.
    pub fn exchange(
        &mut self,
        now: Instant,
        demand: impl Fn(&TeamName) -> Demand,
        out: &mut Vec<Action>,
    ) -> bool {
        self.report(now, &demand, out);
        let received = self.rebalance(now, out);
        if received {
            self.report(now, &demand, out);
        }
        self.transfers.take_due(now, out);
        received
    }

    /// Number of slots that a team may occupy on this scheduler.
    #[must_use]
    pub fn allowed(&self, team: &TeamName) -> u32 {
        self.holders.get(team).map_or(0, Holder::allowed)
    }

    /// Number of permits of a team that this scheduler holds.
    #[must_use]
    pub fn held(&self, team: &TeamName) -> u32 {
        self.holders.get(team).map_or(0, Holder::held)
    }

    /// The ledger of a team, if this scheduler keeps it and all holders have reported to it.
    #[must_use]
    pub fn ledger(&self, team: &TeamName) -> Option<&Ledger> {
        self.ledgers.get(team).filter(|ledger| ledger.is_open())
    }

    fn report(
        &mut self,
        now: Instant,
        demand: &impl Fn(&TeamName) -> Demand,
        out: &mut Vec<Action>,
    ) {
        let mut own = Vec::new();
        for (team, holder) in &mut self.holders {
            let Some(permits) = holder.report(now, demand(team)) else {
                continue;
            };
            match holder.ledger() {
                Some(ledger) if *ledger == self.me => own.push(permits),
                Some(ledger) => {
                    out.push(Action::Peer(ledger.clone(), Message::PermitReport(permits)))
                }
                None => {}
            }
        }
        let me = self.me.clone();
        own.iter()
            .for_each(|permits| self.apply_report(&me, permits));
    }

    fn rebalance(&mut self, now: Instant, out: &mut Vec<Action>) -> bool {
        let mut own = Vec::new();
        for (team, ledger) in &mut self.ledgers {
            let messages = ledger.rebalance(now);
            self.transfers.add(team, &messages, ledger.free());
            for (peer, permit) in messages {
                if peer == self.me {
                    own.push(permit);
                } else {
                    out.push(Action::Peer(peer, Message::PermitGrant(permit)));
                }
            }
        }
        let me = self.me.clone();
        own.iter().for_each(|permit| self.apply_permit(&me, permit));
        !own.is_empty()
    }

    fn apply_report(&mut self, from: &Peer, permits: &PermitReport) {
        if let Some(ledger) = self.ledgers.get_mut(&permits.team) {
            ledger.report(from, permits);
        }
    }

    fn apply_permit(&mut self, from: &Peer, permit: &PermitGrant) {
        if let Some(holder) = self.holders.get_mut(&permit.team) {
            holder.accept(from, permit);
        }
    }

    /// Detects schedulers that were ended, and returns the time from which none of them can have
    /// anything running.
    fn track_ends(&mut self, now: Instant, state: &State) -> Instant {
        let any_gone =
            schedulers(&self.state).any(|peer| !state.is_member(&peer.node, peer.incarnation));
        let first = self.clear_at.is_none();
        // Every membership change increments the epoch, so this holds only if none was ever ended.
        let none_ended = state.epoch == state.members.len() as u64;
        if any_gone || (first && !none_ended) {
            self.ended_epoch = state.epoch;
            self.clear_at = Some(now + RECLAIM_DELAY);
        }
        *self.clear_at.get_or_insert(now)
    }
}

fn schedulers(state: &State) -> impl Iterator<Item = Peer> {
    state.members_of(Role::Sched).map(|(node, member)| Peer {
        node: node.clone(),
        incarnation: member.incarnation,
    })
}

fn ledger_owner(state: &State, team: &TeamName) -> Option<Peer> {
    let key = [LEDGER_KEY, team.as_str()].concat();
    let node = place(state, Role::Sched, key.as_bytes())?;
    let incarnation = state.members.get(node)?.incarnation;
    let node = node.clone();
    Some(Peer { node, incarnation })
}
