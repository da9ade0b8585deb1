//! Until when a process may rely on its state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::member::FreshnessEvent;
use crate::member::Voter;

/// How long a state stays fresh after the instant for which it is known to be complete.
pub const FRESH_FOR: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Vouch {
    by: Voter,
    asked: Instant,
    offset: u64,
    age: Option<Duration>,
}

/// How recent this process's state is.
///
/// An operator's change is acknowledged once it is in the log and a majority of the voters, the
/// fleet members, have folded it. So a state is complete as of an instant if
/// - the log was asked at that instant, and all it told is folded;
/// - a voter asked the log at that instant, and all that the voter has folded is folded here;
/// - a majority of the voters were asked at that instant or later, and all that they had folded
///   is folded here. That holds with the log down too: one of them has every acknowledged change.
///
/// Instants are those of the question, never of the answer, and the result is a deadline: a
/// process that was frozen wakes with a deadline that has passed.
#[derive(Debug, Clone)]
pub struct Freshness {
    me: Voter,
    offset: u64,
    voters: BTreeSet<Voter>,
    /// Latest instant for which the log, or a voter that asked it, showed the state complete.
    known: Option<Instant>,
    /// By voter, the latest instant as of which all it had folded is folded here.
    counted: BTreeMap<Voter, Instant>,
    /// Answers of processes that have folded further.
    ahead: Vec<Vouch>,
    /// When this process last observed anything.
    observed: Option<Instant>,
}

impl Freshness {
    /// A process that knows nothing yet.
    #[must_use]
    pub fn new(me: Voter) -> Self {
        Self {
            me,
            offset: 0,
            voters: BTreeSet::new(),
            known: None,
            counted: BTreeMap::new(),
            ahead: Vec::new(),
            observed: None,
        }
    }

    /// Takes in what was learned at `now`.
    pub fn observe(&mut self, now: Instant, event: FreshnessEvent) {
        self.observed = self.observed.max(Some(now));
        match event {
            FreshnessEvent::Head { asked } => self.known = self.known.max(Some(asked)),
            FreshnessEvent::Folded { offset, voters } => {
                self.offset = offset;
                self.voters = voters;
            }
            FreshnessEvent::Vouched {
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
    }

    /// The deadline until which the state is fresh; none if it never was.
    #[must_use]
    pub fn until(&self) -> Option<Instant> {
        let complete = self.known.max(self.majority());
        complete.map(|instant| instant + FRESH_FOR)
    }

    fn count(&mut self, now: Instant) {
        let waiting = std::mem::take(&mut self.ahead);
        let (reached, ahead) = waiting
            .into_iter()
            .filter(|vouch| now < vouch.asked + FRESH_FOR)
            .partition(|vouch: &Vouch| vouch.offset <= self.offset);
        self.ahead = ahead;
        reached.into_iter().for_each(|vouch| self.count_one(vouch));
    }

    fn count_one(&mut self, vouch: Vouch) {
        let told = vouch.age.and_then(|age| vouch.asked.checked_sub(age));
        self.known = self.known.max(told);
        let latest = self.counted.entry(vouch.by).or_insert(vouch.asked);
        *latest = vouch.asked.max(*latest);
    }

    /// Latest instant as of which a majority of the voters had folded nothing more.
    fn majority(&self) -> Option<Instant> {
        let mut instants: Vec<Instant> = self
            .voters
            .iter()
            .filter_map(|voter| self.as_of(voter))
            .collect();
        instants.sort_unstable_by(|a, b| b.cmp(a));
        instants.get(self.voters.len() / 2).copied()
    }

    fn as_of(&self, voter: &Voter) -> Option<Instant> {
        if *voter == self.me {
            return self.observed;
        }
        self.counted.get(voter).copied()
    }
}
