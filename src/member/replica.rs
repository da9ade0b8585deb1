//! A process's copy of the state, with what it knows of the others' copies.

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
use crate::member::notes::note_of;
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

/// Raw records kept for peers that fetch them.
pub const MAX_CACHED_RECORDS: usize = 4096;

/// Records since the last snapshot after which the next is due.
pub const SNAPSHOT_RECORDS: u64 = 2000;

/// Time since the last snapshot after which the next is due, so that one is always in the log
/// however few records there are.
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);

/// Most records in one message.
const BATCH_RECORDS: usize = 256;

/// Bytes of records after which a message is full.
const BATCH_BYTES: usize = 256 * 1024;

/// The folded state, the records behind it, and how recent it is. Reads no clock.
#[derive(Debug, Clone)]
pub struct Replica {
    me: Hello,
    state: Rc<State>,
    kept: VecDeque<(u64, Vec<u8>)>,
    freshness: Freshness,
    /// When the log was last asked with an answer that is folded whole.
    asked: Option<Instant>,
    /// Oldest offset that the log holds.
    first: u64,
    /// Offset of the last snapshot that was noticed.
    snapshot_offset: u64,
    /// When the next snapshot is due at the latest.
    due: Instant,
    /// The state of the last checkpoint.
    past: Rc<State>,
    /// Notes about the records folded since they were last taken.
    notes: Vec<Note>,
    reached: VoterProgress,
    /// Offsets that the fleet processes are known to have folded up to.
    heard: BTreeMap<NodeName, u64>,
}

impl Replica {
    /// An empty copy for the process `me`, which starts at `now`.
    #[must_use]
    pub fn new(now: Instant, me: Hello, voters: Voters) -> Self {
        Self {
            freshness: Freshness::new(now, voters.clone()),
            me,
            state: Rc::default(),
            kept: VecDeque::new(),
            asked: None,
            first: 0,
            snapshot_offset: 0,
            due: now + SNAPSHOT_INTERVAL,
            past: Rc::default(),
            notes: Vec::new(),
            reached: VoterProgress::new(voters),
            heard: BTreeMap::new(),
        }
    }

    /// The state.
    #[must_use]
    pub const fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// The deadline until which the state is fresh; none if it never was.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        self.freshness.fresh_until()
    }

    /// Whether the log is in reach, so that probes need not be frequent.
    #[must_use]
    pub fn has_log_contact(&self, now: Instant) -> bool {
        self.freshness.has_log_contact(now)
    }

    /// Folds the records that come next; passes over known ones, and stops at a gap.
    pub fn apply(&mut self, now: Instant, records: impl IntoIterator<Item = (u64, Vec<u8>)>) {
        let before = self.state.offset;
        for (offset, data) in records {
            if offset > self.state.offset {
                break;
            }
            if offset == self.state.offset {
                if offset.is_multiple_of(CHECKPOINT_RECORDS) {
                    self.past = Rc::clone(&self.state);
                }
                let outcome = Rc::make_mut(&mut self.state).apply(offset, &data);
                let record = Record::decode(&data).ok();
                self.notes
                    .extend(record.and_then(|record| note_of(&record, &outcome)));
                self.keep(offset, data);
            }
        }
        if self.state.offset != before {
            self.folded(now);
        }
    }

    /// Takes out the notes about the records folded since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Takes over the state of a snapshot, if it is further on.
    ///
    /// # Errors
    /// A [`DecodeError`] if `bytes` are not a snapshot of `offset`.
    pub fn install_snapshot(
        &mut self,
        now: Instant,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        self.install_state(now, State::from_snapshot(offset, bytes)?);
        Ok(())
    }

    /// Takes over `state`, if it is further on.
    pub fn install_state(&mut self, now: Instant, state: State) {
        if state.offset > self.state.offset {
            self.state = Rc::new(state);
            self.kept.clear();
            self.folded(now);
        }
    }

    /// Notes that `first` is the oldest offset that the log holds.
    pub fn set_log_start(&mut self, first: u64) {
        self.first = self.first.max(first);
    }

    /// Notes that the log, asked at `asked`, told `head` as the offset of its next record.
    pub fn observe_head(&mut self, now: Instant, asked: Instant, head: u64) {
        if self.state.offset < head {
            return;
        }
        self.asked = self.asked.max(Some(asked));
        self.freshness.observe(now, FreshnessEvent::Head { asked });
    }

    /// Takes in the answer to the probe of `asked` of the fleet process `peer`, dialled at `addr`.
    pub fn observe_probe_reply(
        &mut self,
        now: Instant,
        (peer, addr): (&Hello, Option<SocketAddr>),
        asked: Instant,
        offset: u64,
        age: Option<u32>,
    ) {
        let heard = self.heard.entry(peer.node.clone()).or_insert(offset);
        *heard = offset.max(*heard);
        let by = addr.map(|addr| Voter::new(addr, peer));
        if let Some(by) = by.clone() {
            self.reached.note(by, offset, asked);
        }
        let event = FreshnessEvent::ProbeReply {
            by,
            asked,
            offset,
            age: age.map(|age| Duration::from_millis(age.into())),
        };
        self.freshness.observe(now, event);
    }

    /// Whether a process is known to have folded further than this one.
    #[must_use]
    pub fn is_behind(&self, peer: &Hello) -> bool {
        let heard = self.heard.get(&peer.node);
        heard.is_some_and(|heard| *heard > self.state.offset)
    }

    /// The answer to a probe; none while this process may not vouch.
    #[must_use]
    pub fn probe_reply(&self, now: Instant, nonce: u64) -> Option<Message> {
        if !self.freshness.is_recovered() {
            return None;
        }
        // Rounded up: an age that is too small would make others trust too long.
        let age = |asked| now.saturating_duration_since(asked).as_millis() + 1;
        Some(Message::ProbeReply {
            nonce,
            offset: self.state.offset,
            age: self.asked.and_then(|asked| age(asked).try_into().ok()),
        })
    }

    /// The answer to a fetch: records, or the state where they are no longer kept.
    #[must_use]
    pub fn fetch_reply(&self, from: u64) -> Message {
        let first = self
            .kept
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
            .kept
            .iter()
            .skip((from - first).try_into().unwrap_or(usize::MAX))
            .take(BATCH_RECORDS)
            .take_while(|(_, data)| {
                let room = bytes < BATCH_BYTES;
                bytes += data.len();
                room
            });
        Message::Records(batch.cloned().collect())
    }

    /// The voters known to have folded the record at `offset`; none while they are no majority.
    #[must_use]
    pub fn holders(&self, offset: u64) -> Option<Vec<Voter>> {
        let own = self.own_vote(self.state.offset > offset);
        self.reached.holders(offset, own)
    }

    /// Whether a majority of the voters, counting `holders` only, have answered a probe of
    /// `since` or later in the same incarnation. A record that they held at `since` is in force:
    /// each voter that has recovered since knows it from one of them, and every process that is
    /// fresh by its voters has it within [`FRESHNESS_TTL`](crate::member::FRESH_FOR).
    #[must_use]
    pub fn has_confirmed(&self, holders: &[Voter], since: Instant) -> bool {
        self.reached
            .has_confirmed(holders, since, self.own_vote(true))
    }

    fn own_vote(&self, holds: bool) -> usize {
        usize::from(holds && self.reached.voters().own().is_some() && self.freshness.is_recovered())
    }

    /// Whether this process should append a snapshot now: of the fleet members that stay, the
    /// one whose name comes first does.
    #[must_use]
    pub fn is_snapshot_due(&self, now: Instant) -> bool {
        let state = &self.state;
        let many = state.offset - state.snapshot_offset > SNAPSHOT_RECORDS;
        let gone = self.first > state.resume_offset;
        let mut staying = self.state.members_of(Role::Fleet);
        let writer = staying.find(|(_, member)| !member.leaving);
        let mine = writer.is_some_and(|(name, member)| {
            *name == self.me.node && member.incarnation == self.me.incarnation
        });
        mine && (many || gone || now >= self.due) && self.fresh_until() > Some(now)
    }

    /// A snapshot that the fold will accept: of the last checkpoint, which no other record can
    /// overtake, or of now if there has been a snapshot since.
    #[must_use]
    pub fn next_snapshot(&self) -> Vec<u8> {
        let checkpoint = self.state.checkpoint.offset;
        if checkpoint > self.state.snapshot_offset && self.past.offset == checkpoint {
            return self.past.snapshot();
        }
        self.state.snapshot()
    }

    fn keep(&mut self, offset: u64, data: Vec<u8>) {
        if self.kept.len() == MAX_CACHED_RECORDS {
            self.kept.pop_front();
        }
        self.kept.push_back((offset, data));
    }

    fn folded(&mut self, now: Instant) {
        if self.state.snapshot_offset != self.snapshot_offset {
            self.snapshot_offset = self.state.snapshot_offset;
            self.due = now + SNAPSHOT_INTERVAL;
        }
        let event = FreshnessEvent::RecordApplied {
            offset: self.state.offset,
        };
        self.freshness.observe(now, event);
    }
}
