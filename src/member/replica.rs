//! The local replica of the state, and what is known about the replicas of other processes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::member::Freshness;
use crate::member::FreshnessEvent;
use crate::member::Voter;
use crate::member::Voters;
use crate::member::notes::note_for;
use crate::member::voter_progress::VoterProgress;
use crate::name::NodeName;
use crate::observe::Note;
use crate::record::CHECKPOINT_RECORDS;
use crate::record::DecodeError;
use crate::record::Record;
use crate::record::Role;
use crate::record::State;
use crate::wire::Hello;
use crate::wire::Message;

/// Maximum number of encoded records cached for peers to fetch, or to search for a snapshot.
pub const MAX_CACHED_RECORDS: usize = 4096;

/// Number of records since the last snapshot after which the next one is due.
pub const SNAPSHOT_RECORDS: u64 = 2000;

/// Time since the last snapshot after which the next one is due, so that the log always holds a
/// snapshot even if few records are written.
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);

/// Maximum number of records in one message.
const MAX_BATCH_RECORDS: usize = 256;

/// Total size of records at which a message is full, in bytes; its last record may exceed it.
const BATCH_BYTES: usize = 256 * 1024;

/// The state, the latest records that led to it, and its freshness. Time is passed in by the
/// caller.
#[derive(Debug, Clone)]
pub struct Replica {
    me: Hello,
    state: Rc<State>,
    cached: VecDeque<(u64, Vec<u8>)>,
    freshness: Freshness,
    /// When the latest request to the log was sent whose reported head has been reached.
    log_asked: Option<Instant>,
    /// Oldest offset that the log still holds.
    log_start: u64,
    /// Offset of the accepted snapshot from which `snapshot_due` is counted.
    snapshot_offset: u64,
    /// When the next snapshot is due at the latest.
    snapshot_due: Instant,
    /// The state at the last checkpoint.
    checkpoint_state: Rc<State>,
    /// Time line notes about the records applied since the last [`take_notes`](Self::take_notes).
    notes: Vec<Note>,
    voter_progress: VoterProgress,
    /// Next offset of each fleet process, as of its latest reply.
    peer_offsets: BTreeMap<NodeName, u64>,
}

impl Replica {
    /// Creates an empty replica for the process `me`, which starts at `now`.
    #[must_use]
    pub fn new(now: Instant, me: Hello, voters: Voters) -> Self {
        Self {
            freshness: Freshness::new(now, voters.clone()),
            me,
            state: Rc::default(),
            cached: VecDeque::new(),
            log_asked: None,
            log_start: 0,
            snapshot_offset: 0,
            snapshot_due: now + SNAPSHOT_INTERVAL,
            checkpoint_state: Rc::default(),
            notes: Vec::new(),
            voter_progress: VoterProgress::new(voters),
            peer_offsets: BTreeMap::new(),
        }
    }

    /// The current state, shared: a clone does not follow later changes.
    #[must_use]
    pub const fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// Deadline until which the state is fresh; `None` if it never was.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        self.freshness.fresh_until()
    }

    /// Whether the log confirmed the state recently enough that frequent probes are not needed.
    #[must_use]
    pub fn has_log_contact(&self, now: Instant) -> bool {
        self.freshness.has_log_contact(now)
    }

    /// Applies records in order. Skips those applied before, and stops at a gap.
    pub fn apply(&mut self, now: Instant, records: impl IntoIterator<Item = (u64, Vec<u8>)>) {
        let before = self.state.offset;
        for (offset, data) in records {
            if offset > self.state.offset {
                break;
            }
            if offset == self.state.offset {
                if offset.is_multiple_of(CHECKPOINT_RECORDS) {
                    self.checkpoint_state = Rc::clone(&self.state);
                }
                let outcome = Rc::make_mut(&mut self.state).apply(offset, &data);
                let record = Record::decode(&data).ok();
                self.notes
                    .extend(record.and_then(|record| note_for(&record, &outcome)));
                self.cache(offset, data);
            }
        }
        if self.state.offset != before {
            self.on_state_advanced(now);
        }
    }

    /// Removes and returns the time line notes about the records applied since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Replaces the state by that of a snapshot, if the snapshot has a higher offset.
    ///
    /// # Errors
    /// A [`DecodeError`] if `bytes` are not a snapshot with this `offset`.
    pub fn install_snapshot(
        &mut self,
        now: Instant,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        self.install_state(now, State::from_snapshot(offset, bytes)?);
        Ok(())
    }

    /// Replaces the state by `state`, if it has a higher offset.
    pub fn install_state(&mut self, now: Instant, state: State) {
        if state.offset > self.state.offset {
            self.state = Rc::new(state);
            self.cached.clear();
            self.on_state_advanced(now);
        }
    }

    /// Records that `first` is the oldest offset that the log still holds.
    pub fn set_log_start(&mut self, first: u64) {
        self.log_start = self.log_start.max(first);
    }

    /// Records that the log reported `head`, the offset of its next record, in reply to a request
    /// sent at `asked`. Ignored while records before `head` are missing here.
    pub fn observe_head(&mut self, now: Instant, asked: Instant, head: u64) {
        if self.state.offset < head {
            return;
        }
        self.log_asked = self.log_asked.max(Some(asked));
        self.freshness.observe(now, FreshnessEvent::Head { asked });
    }

    /// Records the reply of the fleet process `peer` to a probe sent at `asked`. `addr` is the
    /// address of the peer if this process opened the connection; `age` is in milliseconds.
    pub fn observe_probe_reply(
        &mut self,
        now: Instant,
        (peer, addr): (&Hello, Option<SocketAddr>),
        asked: Instant,
        offset: u64,
        age: Option<u32>,
    ) {
        let known = self.peer_offsets.entry(peer.node.clone()).or_insert(offset);
        *known = offset.max(*known);
        let by = addr.map(|addr| Voter::new(addr, peer));
        if let Some(by) = by.clone() {
            self.voter_progress.record(by, offset, asked);
        }
        let event = FreshnessEvent::ProbeReply {
            by,
            asked,
            offset,
            age: age.map(|age| Duration::from_millis(age.into())),
        };
        self.freshness.observe(now, event);
    }

    /// Whether a peer is known to have applied more records than this process.
    #[must_use]
    pub fn is_behind(&self, peer: &Hello) -> bool {
        let known = self.peer_offsets.get(&peer.node);
        known.is_some_and(|known| *known > self.state.offset)
    }

    /// Returns the reply to a probe; `None` while this process has not recovered its state.
    #[must_use]
    pub fn probe_reply(&self, now: Instant, nonce: u64) -> Option<Message> {
        if !self.freshness.is_recovered() {
            return None;
        }
        // Rounded up: with an age that is too small, peers would consider their state fresh for too
        // long.
        let age = |asked| now.saturating_duration_since(asked).as_millis() + 1;
        Some(Message::ProbeReply {
            nonce,
            offset: self.state.offset,
            age: self.log_asked.and_then(|asked| age(asked).try_into().ok()),
        })
    }

    /// Returns the reply to a fetch: a batch of records, or a snapshot if the first one wanted is
    /// no longer cached.
    #[must_use]
    pub fn fetch_reply(&self, from: u64) -> Message {
        let first = self
            .cached
            .front()
            .map_or(self.state.offset, |(first, _)| *first);
        if from < first {
            return Message::Snapshot {
                offset: self.state.offset,
                state: self.state.snapshot(),
            };
        }
        let mut bytes = 0;
        let batch = self
            .cached
            .iter()
            .skip((from - first).try_into().unwrap_or(usize::MAX))
            .take(MAX_BATCH_RECORDS)
            .take_while(|(_, data)| {
                let has_room = bytes < BATCH_BYTES;
                bytes += data.len();
                has_room
            });
        Message::Records(batch.cloned().collect())
    }

    /// Voters other than this process known to have applied the record at `offset`; `None` unless
    /// they are a majority, counting this process if it has a vote.
    #[must_use]
    pub fn holders(&self, offset: u64) -> Option<Vec<Voter>> {
        let own = self.own_vote(self.state.offset > offset);
        self.voter_progress.holders(offset, own)
    }

    /// Whether a majority of the voters, counting only `holders` and this process, have replied in
    /// the same incarnation to a probe sent at `since` or later. A record that they had applied at
    /// `since` is then in force: each voter that has recovered since then got it from one of them,
    /// and every process that is fresh by a majority of the voters has it within
    /// [`FRESHNESS_TTL`](crate::member::FRESHNESS_TTL).
    #[must_use]
    pub fn has_confirmed(&self, holders: &[Voter], since: Instant) -> bool {
        self.voter_progress
            .has_confirmed(holders, since, self.own_vote(true))
    }

    fn own_vote(&self, holds: bool) -> usize {
        usize::from(
            holds && self.voter_progress.voters().own().is_some() && self.freshness.is_recovered(),
        )
    }

    /// Whether this process should append a snapshot now. Of the fleet members that are not
    /// leaving, the one whose name comes first appends all snapshots.
    #[must_use]
    pub fn is_snapshot_due(&self, now: Instant) -> bool {
        let state = &self.state;
        let records_due = state.offset - state.snapshot_offset > SNAPSHOT_RECORDS;
        let expired = self.log_start > state.resume_offset;
        let mut staying = self.state.members_of(Role::Fleet);
        let writer = staying.find(|(_, member)| !member.leaving);
        let is_writer = writer.is_some_and(|(name, member)| {
            *name == self.me.node && member.incarnation == self.me.incarnation
        });
        is_writer
            && (records_due || expired || now >= self.snapshot_due)
            && self.fresh_until() > Some(now)
    }

    /// Returns the snapshot to append: of the last checkpoint, which is accepted even if other
    /// records are appended before it; or of the current state, if a snapshot was accepted after
    /// that checkpoint or its state is not held here.
    #[must_use]
    pub fn next_snapshot(&self) -> Vec<u8> {
        let checkpoint = self.state.checkpoint.offset;
        if checkpoint > self.state.snapshot_offset && self.checkpoint_state.offset == checkpoint {
            return self.checkpoint_state.snapshot();
        }
        self.state.snapshot()
    }

    fn cache(&mut self, offset: u64, data: Vec<u8>) {
        if self.cached.len() == MAX_CACHED_RECORDS {
            self.cached.pop_front();
        }
        self.cached.push_back((offset, data));
    }

    fn on_state_advanced(&mut self, now: Instant) {
        if self.state.snapshot_offset != self.snapshot_offset {
            self.snapshot_offset = self.state.snapshot_offset;
            self.snapshot_due = now + SNAPSHOT_INTERVAL;
        }
        let event = FreshnessEvent::RecordApplied {
            offset: self.state.offset,
        };
        self.freshness.observe(now, event);
    }
}
