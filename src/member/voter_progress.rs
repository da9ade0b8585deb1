//! Progress of the voters in applying records.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::member::Voter;
use crate::member::Voters;

/// The latest probe reply of a voter.
#[derive(Debug, Clone)]
struct VoterReply {
    by: Voter,
    /// Offset of the next record that the voter had to apply.
    offset: u64,
    /// When the probe was sent.
    asked: Instant,
}

/// The latest probe replies of the voters other than this process.
#[derive(Debug, Clone)]
pub(super) struct VoterProgress {
    voters: Voters,
    replies: BTreeMap<SocketAddr, VoterReply>,
}

impl VoterProgress {
    pub(super) const fn new(voters: Voters) -> Self {
        Self {
            voters,
            replies: BTreeMap::new(),
        }
    }

    pub(super) const fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Records a reply, unless it comes from a process without a vote or is older than the one
    /// held.
    pub(super) fn record(&mut self, by: Voter, offset: u64, asked: Instant) {
        if !self.voters.has_other(by.addr) {
            return;
        }
        let reply = VoterReply { by, offset, asked };
        let order = |reply: &VoterReply| (reply.by.incarnation, reply.asked);
        let held = self.replies.get(&reply.by.addr);
        if held.is_none_or(|held| order(held) <= order(&reply)) {
            self.replies.insert(reply.by.addr, reply);
        }
    }

    /// Returns the voters that have applied the record at `offset`, if together with `own` votes
    /// they are a majority. `own` is 1 if this process votes for itself, else 0.
    pub(super) fn holders(&self, offset: u64, own: usize) -> Option<Vec<Voter>> {
        let replies = self.replies.values();
        let holding = replies.filter(|reply| reply.offset > offset);
        let holders: Vec<Voter> = holding.map(|reply| reply.by.clone()).collect();
        (holders.len() + own >= self.voters.majority()).then_some(holders)
    }

    /// Whether those of `holders` that have replied, in the same incarnation, to a probe sent at
    /// `since` or later are a majority together with `own` votes.
    pub(super) fn has_confirmed(&self, holders: &[Voter], since: Instant, own: usize) -> bool {
        let replied = |holder: &&Voter| {
            let reply = self.replies.get(&holder.addr);
            reply.is_some_and(|reply| reply.by == **holder && reply.asked >= since)
        };
        let others = holders.iter().filter(replied).count();
        others + own >= self.voters.majority()
    }
}
