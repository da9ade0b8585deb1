//! The permits that a scheduler holds, and the ledgers that it keeps.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use crate::limit::HOLD_OFF;
use crate::limit::Holder;
use crate::limit::Ledger;
use crate::limit::Need;
use crate::member::place;
use crate::name::TeamName;
use crate::record::Role;
use crate::record::State;
use crate::sched::Action;
use crate::sched::moves::Moves;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;

/// Prefix of the placement keys of ledgers.
const LEDGER_KEY: &str = "ledger/";

/// All teams' permits on one scheduler.
#[derive(Debug)]
pub struct TeamPermits {
    me: Peer,
    state: Rc<State>,
    holders: BTreeMap<TeamName, Holder>,
    ledgers: BTreeMap<TeamName, Ledger>,
    moves: Moves,
    /// When every scheduler ended so far surely runs nothing; none before the first state.
    clear: Option<Instant>,
    /// Epoch of the last end of a scheduler.
    ended: u64,
}

impl TeamPermits {
    /// An escrow that knows no team yet.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            state: Rc::default(),
            holders: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            moves: Moves::default(),
            clear: None,
            ended: 0,
        }
    }

    /// Goes on under a newer state.
    pub fn update(&mut self, now: Instant, state: Rc<State>) {
        let clear = self.note_ends(now, &state);
        let known = self.holders.keys().chain(state.teams.keys());
        let teams: Vec<TeamName> = known.cloned().collect();
        for team in teams {
            let limit = state.teams.get(&team).map_or(0, |row| row.limit);
            let owner = ledger_of(&state, &team);
            let ledger = self
                .ledgers
                .entry(team.clone())
                .or_insert_with_key(|team| Ledger::new(team.clone()));
            ledger.update(now, limit, &state);
            if owner.as_ref() == Some(&self.me) {
                ledger.open(&state, self.ended, clear);
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

    /// Takes in a message of another scheduler.
    pub fn receive(&mut self, from: &Peer, message: &Message) {
        match message {
            Message::PermitReport(permits) => self.take_report(from, permits),
            Message::PermitGrant(permit) => self.take_permit(from, permit),
            _ => {}
        }
    }

    /// Reports what is needed and moves permits; true if this scheduler got any.
    pub fn step(
        &mut self,
        now: Instant,
        need: impl Fn(&TeamName) -> Need,
        out: &mut Vec<Action>,
    ) -> bool {
        self.report(now, &need, out);
        let got = self.settle(now, out);
        if got {
            self.report(now, &need, out);
        }
        self.moves.take_due(now, out);
        got
    }

    /// Slots that a team may occupy on this scheduler.
    #[must_use]
    pub fn allowed(&self, team: &TeamName) -> u32 {
        self.holders.get(team).map_or(0, Holder::allowed)
    }

    /// Permits of a team that this scheduler holds.
    #[must_use]
    pub fn held(&self, team: &TeamName) -> u32 {
        self.holders.get(team).map_or(0, Holder::held)
    }

    /// The ledger of a team, if this scheduler keeps it and it moves permits.
    #[must_use]
    pub fn ledger(&self, team: &TeamName) -> Option<&Ledger> {
        self.ledgers.get(team).filter(|ledger| ledger.is_open())
    }

    fn report(&mut self, now: Instant, need: &impl Fn(&TeamName) -> Need, out: &mut Vec<Action>) {
        let mut own = Vec::new();
        for (team, holder) in &mut self.holders {
            let Some(permits) = holder.report(now, need(team)) else {
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
            .for_each(|permits| self.take_report(&me, permits));
    }

    fn settle(&mut self, now: Instant, out: &mut Vec<Action>) -> bool {
        let mut own = Vec::new();
        for (team, ledger) in &mut self.ledgers {
            let told = ledger.settle(now);
            self.moves.add(team, &told, ledger.free());
            for (peer, permit) in told {
                if peer == self.me {
                    own.push(permit);
                } else {
                    out.push(Action::Peer(peer, Message::PermitGrant(permit)));
                }
            }
        }
        let me = self.me.clone();
        own.iter().for_each(|permit| self.take_permit(&me, permit));
        !own.is_empty()
    }

    fn take_report(&mut self, from: &Peer, permits: &PermitReport) {
        if let Some(ledger) = self.ledgers.get_mut(&permits.team) {
            ledger.report(from, permits);
        }
    }

    fn take_permit(&mut self, from: &Peer, permit: &PermitGrant) {
        if let Some(holder) = self.holders.get_mut(&permit.team) {
            holder.take(from, permit);
        }
    }

    /// Notes which schedulers were ended, and gives when the last one surely runs nothing.
    fn note_ends(&mut self, now: Instant, state: &State) -> Instant {
        let gone =
            schedulers(&self.state).any(|peer| !state.is_member(&peer.node, peer.incarnation));
        let first = self.clear.is_none();
        // Every change of the membership counts, so this holds only if nobody was ever ended.
        let untouched = state.epoch == state.members.len() as u64;
        if gone || (first && !untouched) {
            self.ended = state.epoch;
            self.clear = Some(now + HOLD_OFF);
        }
        *self.clear.get_or_insert(now)
    }
}

fn schedulers(state: &State) -> impl Iterator<Item = Peer> {
    state.members_of(Role::Sched).map(|(node, member)| Peer {
        node: node.clone(),
        incarnation: member.incarnation,
    })
}

fn ledger_of(state: &State, team: &TeamName) -> Option<Peer> {
    let key = [LEDGER_KEY, team.as_str()].concat();
    let node = place(state, Role::Sched, key.as_bytes())?;
    let incarnation = state.members.get(node)?.incarnation;
    let node = node.clone();
    Some(Peer { node, incarnation })
}
