//! Until when a process may rely on its state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::member::FreshnessEvent;
use crate::member::Voter;
use crate::member::Voters;

/// How long a state stays fresh after the instant for which it is known to be complete.
pub const FRESHNESS_TTL: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Vouch {
    by: Option<Voter>,
    asked: Instant,
    offset: u64,
    age: Option<Duration>,
}

/// A voter's last word that counts.
#[derive(Debug, Clone)]
struct Vote {
    by: Voter,
    asked: Instant,
}

/// How recent this process's state is.
///
/// An operator's change is in force once a majority of the voters have folded it and then, in the
/// same incarnations, have answered one more probe. So a state is complete as of an instant if
/// - the log was asked at that instant, and all it told is folded;
/// - a fleet process asked the log at that instant, and all that it has folded is folded here;
/// - a majority of the voters were asked at that instant or later, and all that they had folded
///   is folded here. That holds with the log down too: one of them has every change in force.
///
/// A process keeps nothing when it restarts, so a voter has no vote until its own state was
/// complete as of an instant after its start.
///
/// Instants are those of the question, never of the answer, and the result is a deadline: a
/// process that was frozen wakes with a deadline that has passed.
#[derive(Debug, Clone)]
pub struct Freshness {
    voters: Voters,
    start: Instant,
    offset: u64,
    /// Latest instant for which the log, or a process that asked it, showed the state complete.
    known: Option<Instant>,
    /// By address, the latest instant as of which all that the voter had folded is folded here.
    counted: BTreeMap<SocketAddr, Vote>,
    /// Answers of processes that have folded further.
    ahead: Vec<Vouch>,
    /// When this process last observed anything.
    observed: Instant,
    /// Whether the state was complete as of an instant after the start.
    recovered: bool,
}

impl Freshness {
    /// A process that starts at `now` and knows nothing yet.
    #[must_use]
    pub const fn new(now: Instant, voters: Voters) -> Self {
        Self {
            voters,
            start: now,
            offset: 0,
            known: None,
            counted: BTreeMap::new(),
            ahead: Vec::new(),
            observed: now,
            recovered: false,
        }
    }

    /// Takes in what was learned at `now`.
    pub fn observe(&mut self, now: Instant, event: FreshnessEvent) {
        self.observed = self.observed.max(now);
        match event {
            FreshnessEvent::Head { asked } => self.known = self.known.max(Some(asked)),
            FreshnessEvent::RecordApplied { offset } => self.offset = offset,
            FreshnessEvent::ProbeReply {
                by,
                asked,
                offset,
                age,
            } => self.ahead.push(Vouch {
                by,
                asked,
                offset,
                age,
            }),
        }
        self.count(now);
        self.recovered |= self.complete() >= Some(self.start);
    }

    /// Whether the log, or a voter that asked it, showed the state complete so lately that
    /// probes need not be frequent.
    #[must_use]
    pub fn has_log_contact(&self, now: Instant) -> bool {
        self.known
            .is_some_and(|known| now < known + FRESHNESS_TTL / 2)
    }

    /// The deadline until which the state is fresh; none if it never was.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        self.complete().map(|instant| instant + FRESHNESS_TTL)
    }

    /// Whether others may count this process's word, if it is a voter.
    #[must_use]
    pub const fn is_recovered(&self) -> bool {
        self.recovered
    }

    fn complete(&self) -> Option<Instant> {
        self.known.max(self.majority())
    }

    fn count(&mut self, now: Instant) {
        let waiting = std::mem::take(&mut self.ahead);
        let (reached, ahead) = waiting
            .into_iter()
            .filter(|vouch| now < vouch.asked + FRESHNESS_TTL)
            .partition(|vouch: &Vouch| vouch.offset <= self.offset);
        self.ahead = ahead;
        reached.into_iter().for_each(|vouch| self.count_one(vouch));
    }

    fn count_one(&mut self, vouch: Vouch) {
        let told = vouch.age.and_then(|age| vouch.asked.checked_sub(age));
        self.known = self.known.max(told);
        let other = |by: &Voter| self.voters.has_other(by.addr);
        if let Some(by) = vouch.by.filter(other) {
            let asked = vouch.asked;
            self.vote(Vote { by, asked });
        }
    }

    /// Counts a voter once, whatever addresses lead to it, and its newest incarnation only.
    fn vote(&mut self, vote: Vote) {
        self.counted
            .retain(|addr, held| *addr == vote.by.addr || held.by.node != vote.by.node);
        let order = |vote: &Vote| (vote.by.incarnation, vote.asked);
        let held = self.counted.get(&vote.by.addr);
        if held.is_none_or(|held| order(held) < order(&vote)) {
            self.counted.insert(vote.by.addr, vote);
        }
    }

    /// Latest instant as of which a majority of the voters had folded nothing more.
    fn majority(&self) -> Option<Instant> {
        let own = self.voters.own().filter(|_| self.recovered);
        let others = self.counted.values().map(|vote| vote.asked);
        let mut instants: Vec<Instant> = others.chain(own.map(|_| self.observed)).collect();
        instants.sort_unstable_by(|a, b| b.cmp(a));
        instants.get(self.voters.majority() - 1).copied()
    }
}
