//! How far the voters have folded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::member::Voter;
use crate::member::Voters;

/// What a voter has answered.
#[derive(Debug, Clone)]
struct Answer {
    by: Voter,
    /// Offset that it had folded up to.
    offset: u64,
    /// Latest probe that it has answered.
    asked: Instant,
}

/// The other voters' answers.
#[derive(Debug, Clone)]
pub(super) struct VoterProgress {
    voters: Voters,
    answers: BTreeMap<SocketAddr, Answer>,
}

impl VoterProgress {
    pub(super) const fn new(voters: Voters) -> Self {
        Self {
            voters,
            answers: BTreeMap::new(),
        }
    }

    pub(super) const fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Notes an answer, unless it is of a process without a vote or older than the one known.
    pub(super) fn note(&mut self, by: Voter, offset: u64, asked: Instant) {
        if !self.voters.has_other(by.addr) {
            return;
        }
        let news = Answer { by, offset, asked };
        let order = |answer: &Answer| (answer.by.incarnation, answer.asked);
        let held = self.answers.get(&news.by.addr);
        if held.is_none_or(|held| order(held) <= order(&news)) {
            self.answers.insert(news.by.addr, news);
        }
    }

    /// Those that have folded the record at `offset`, if they are a majority together with `own`
    /// vote.
    pub(super) fn holders(&self, offset: u64, own: usize) -> Option<Vec<Voter>> {
        let answers = self.answers.values();
        let holding = answers.filter(|answer| answer.offset > offset);
        let holders: Vec<Voter> = holding.map(|answer| answer.by.clone()).collect();
        (holders.len() + own >= self.voters.majority()).then_some(holders)
    }

    /// Whether those of `holders` that have answered a probe of `since` or later in the same
    /// incarnation are a majority together with `own` vote.
    pub(super) fn has_confirmed(&self, holders: &[Voter], since: Instant, own: usize) -> bool {
        let answered = |holder: &&Voter| {
            let answer = self.answers.get(&holder.addr);
            answer.is_some_and(|answer| answer.by == **holder && answer.asked >= since)
        };
        let others = holders.iter().filter(answered).count();
        others + own >= self.voters.majority()
    }
}
