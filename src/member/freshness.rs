//! Freshness of a process's state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::member::FreshnessEvent;
use crate::member::Voter;
use crate::member::Voters;

/// Time for which a state stays fresh after the instant as of which it is known to be complete.
pub const FRESHNESS_TTL: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct ProbeReply {
    by: Option<Voter>,
    asked: Instant,
    offset: u64,
    age: Option<Duration>,
}

/// A voter's reply that this process has caught up with.
#[derive(Debug, Clone)]
struct Vote {
    by: Voter,
    asked: Instant,
}

/// Tracks how recent this process's state is.
///
/// An operator's change is in force once a majority of the voters have applied it and then, in the
/// same incarnations, have answered one more probe. A state is complete as of an instant, that is,
/// it includes every change in force at that instant, if
/// - the log was asked for its head at that instant, and all records before the head are applied;
/// - a fleet process asked the log at that instant, and all records that it has applied are
///   applied here;
/// - a majority of the voters were probed at that instant or later, and all records that they had
///   applied are applied here. This also holds while the log is down: of every change in force, at
///   least one voter of any majority has applied the record.
///
/// A process loses its state when it restarts, so a voter has no vote until its state was complete
/// as of an instant after its start.
///
/// Instants are those at which a request was sent, never those of its reply, and the result is a
/// deadline: a process that was suspended resumes with a deadline that has passed.
#[derive(Debug, Clone)]
pub struct Freshness {
    voters: Voters,
    start: Instant,
    offset: u64,
    /// Latest instant as of which the log, directly or through a fleet process, confirmed that the
    /// state is complete.
    log_confirmed: Option<Instant>,
    /// By address, the latest reply of each voter that this process has caught up with.
    votes: BTreeMap<SocketAddr, Vote>,
    /// Replies of processes that have applied more records than this one.
    pending: Vec<ProbeReply>,
    /// Time of the last event.
    last_event: Instant,
    /// Whether the state was complete as of an instant after the start.
    recovered: bool,
}

impl Freshness {
    /// Creates the tracker of a process that starts at `now` with an empty state.
    #[must_use]
    pub const fn new(now: Instant, voters: Voters) -> Self {
        Self {
            voters,
            start: now,
            offset: 0,
            log_confirmed: None,
            votes: BTreeMap::new(),
            pending: Vec::new(),
            last_event: now,
            recovered: false,
        }
    }

    /// Takes account of an event observed at `now`.
    pub fn observe(&mut self, now: Instant, event: FreshnessEvent) {
        self.last_event = self.last_event.max(now);
        match event {
            FreshnessEvent::Head { asked } => {
                self.log_confirmed = self.log_confirmed.max(Some(asked))
            }
            FreshnessEvent::RecordApplied { offset } => self.offset = offset,
            FreshnessEvent::ProbeReply {
                by,
                asked,
                offset,
                age,
            } => self.pending.push(ProbeReply {
                by,
                asked,
                offset,
                age,
            }),
        }
        self.count_replies(now);
        self.recovered |= self.complete_as_of() >= Some(self.start);
    }

    /// Whether the log, directly or through a fleet process, confirmed the state less than half of
    /// [`FRESHNESS_TTL`] ago, so that frequent probes are not needed.
    #[must_use]
    pub fn has_log_contact(&self, now: Instant) -> bool {
        self.log_confirmed
            .is_some_and(|confirmed| now < confirmed + FRESHNESS_TTL / 2)
    }

    /// Deadline until which the state is fresh; `None` if it never was.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        self.complete_as_of().map(|instant| instant + FRESHNESS_TTL)
    }

    /// Whether the state was complete as of an instant after the start, as a voter's must be before
    /// it may reply to probes.
    #[must_use]
    pub const fn is_recovered(&self) -> bool {
        self.recovered
    }

    fn complete_as_of(&self) -> Option<Instant> {
        self.log_confirmed.max(self.majority_as_of())
    }

    fn count_replies(&mut self, now: Instant) {
        let replies = std::mem::take(&mut self.pending);
        let (reached, pending) = replies
            .into_iter()
            .filter(|reply| now < reply.asked + FRESHNESS_TTL)
            .partition(|reply: &ProbeReply| reply.offset <= self.offset);
        self.pending = pending;
        reached
            .into_iter()
            .for_each(|reply| self.count_reply(reply));
    }

    fn count_reply(&mut self, reply: ProbeReply) {
        let log_asked = reply.age.and_then(|age| reply.asked.checked_sub(age));
        self.log_confirmed = self.log_confirmed.max(log_asked);
        let other = |by: &Voter| self.voters.has_other(by.addr);
        if let Some(by) = reply.by.filter(other) {
            let asked = reply.asked;
            self.record_vote(Vote { by, asked });
        }
    }

    /// Counts each voter once, even if it is reached at several addresses, and only its latest
    /// incarnation.
    fn record_vote(&mut self, vote: Vote) {
        self.votes
            .retain(|addr, held| *addr == vote.by.addr || held.by.node != vote.by.node);
        let order = |vote: &Vote| (vote.by.incarnation, vote.asked);
        let held = self.votes.get(&vote.by.addr);
        if held.is_none_or(|held| order(held) < order(&vote)) {
            self.votes.insert(vote.by.addr, vote);
        }
    }

    /// Latest instant such that this process has caught up with the replies of a majority of the
    /// voters to probes sent then or later.
    fn majority_as_of(&self) -> Option<Instant> {
        let own = self.voters.own().filter(|_| self.recovered);
        let others = self.votes.values().map(|vote| vote.asked);
        let mut instants: Vec<Instant> = others.chain(own.map(|_| self.last_event)).collect();
        instants.sort_unstable_by(|a, b| b.cmp(a));
        instants.get(self.voters.majority() - 1).copied()
    }
}
