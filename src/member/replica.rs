//! A process's copy of the state, with what it knows of the others' copies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::member::Freshness;
use crate::member::FreshnessEvent;
use crate::member::Voter;
use crate::record::DecodeError;
use crate::record::Role;
use crate::record::State;
use crate::wire::Hello;
use crate::wire::Message;

/// Raw records kept for peers that fetch them.
pub const KEPT_RECORDS: usize = 4096;

/// Records since the last snapshot after which the next is due.
pub const SNAPSHOT_EVERY: u64 = 2000;

/// Most records in one message.
const BATCH_RECORDS: usize = 256;

/// Bytes of records after which a message is full.
const BATCH_BYTES: usize = 256 * 1024;

/// The folded state, the records behind it, and how recent it is. Reads no clock.
#[derive(Debug)]
pub struct Replica {
    me: Hello,
    state: Rc<State>,
    kept: VecDeque<(u64, Vec<u8>)>,
    freshness: Freshness,
    /// When the log was last asked with an answer that is folded whole.
    asked: Option<Instant>,
    /// Offsets that the other processes are known to have folded up to.
    reached: BTreeMap<Voter, u64>,
}

impl Replica {
    /// An empty copy for the process `me`.
    #[must_use]
    pub fn new(me: Hello) -> Self {
        Self {
            freshness: Freshness::new(Voter::from(&me)),
            me,
            state: Rc::default(),
            kept: VecDeque::new(),
            asked: None,
            reached: BTreeMap::new(),
        }
    }

    /// The state.
    #[must_use]
    pub const fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// The deadline until which the state is fresh; none if it never was.
    #[must_use]
    pub fn until(&self) -> Option<Instant> {
        self.freshness.until()
    }

    /// Folds the records that come next; passes over known ones, and stops at a gap.
    pub fn fold(&mut self, now: Instant, records: impl IntoIterator<Item = (u64, Vec<u8>)>) {
        let before = self.state.offset;
        for (offset, data) in records {
            if offset > self.state.offset {
                break;
            }
            if offset == self.state.offset {
                let _ = Rc::make_mut(&mut self.state).apply(offset, &data);
                self.keep(offset, data);
            }
        }
        if self.state.offset != before {
            self.folded(now);
        }
    }

    /// Takes over the state of a snapshot, if it is further on.
    ///
    /// # Errors
    /// A [`DecodeError`] if `bytes` are not a snapshot of `offset`.
    pub fn adopt(&mut self, now: Instant, offset: u64, bytes: &[u8]) -> Result<(), DecodeError> {
        let state = State::from_snapshot(offset, bytes)?;
        if offset > self.state.offset {
            self.state = Rc::new(state);
            self.kept.clear();
            self.folded(now);
        }
        Ok(())
    }

    /// Notes that the log, asked at `asked`, told `head` as the offset of its next record.
    pub fn head(&mut self, now: Instant, asked: Instant, head: u64) {
        if self.state.offset < head {
            return;
        }
        self.asked = self.asked.max(Some(asked));
        self.freshness.observe(now, FreshnessEvent::Head { asked });
    }

    /// Notes that a process has folded up to `offset`.
    pub fn note(&mut self, peer: &Hello, offset: u64) {
        let reached = self.reached.entry(Voter::from(peer)).or_insert(offset);
        *reached = offset.max(*reached);
    }

    /// Takes in a fleet process's answer to the probe of `asked`.
    pub fn vouched(
        &mut self,
        now: Instant,
        peer: &Hello,
        asked: Instant,
        offset: u64,
        age: Option<u32>,
    ) {
        self.note(peer, offset);
        let event = FreshnessEvent::Vouched {
            by: Voter::from(peer),
            asked,
            offset,
            age: age.map(|age| Duration::from_millis(age.into())),
        };
        self.freshness.observe(now, event);
    }

    /// Whether a process is known to have folded further than this one.
    #[must_use]
    pub fn is_behind(&self, peer: &Hello) -> bool {
        let reached = self.reached.get(&Voter::from(peer));
        reached.is_some_and(|reached| *reached > self.state.offset)
    }

    /// The answer to a probe.
    #[must_use]
    pub fn vouch(&self, now: Instant, nonce: u64) -> Message {
        // Rounded up: an age that is too small would make others trust too long.
        let age = |asked| now.saturating_duration_since(asked).as_millis() + 1;
        Message::Vouch {
            nonce,
            offset: self.state.offset,
            age: self.asked.and_then(|asked| age(asked).try_into().ok()),
        }
    }

    /// The answer to a fetch: records, or the state where they are no longer kept.
    #[must_use]
    pub fn records(&self, from: u64) -> Message {
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

    /// Whether a majority of the voters are known to have folded the record at `offset`. From
    /// then on every process that is fresh by its voters, or will be, has it within
    /// [`FRESH_FOR`](crate::member::FRESH_FOR).
    #[must_use]
    pub fn in_force(&self, offset: u64) -> bool {
        let voters = self.voters();
        let has = |voter: &&Voter| self.reached_by(voter) > offset;
        voters.iter().filter(has).count() * 2 > voters.len()
    }

    /// Whether this process should append a snapshot now: of the fleet members that stay, the
    /// one whose name comes first does.
    #[must_use]
    pub fn snapshot_due(&self, now: Instant) -> bool {
        let since = self.state.offset - self.state.snapped;
        let mut staying = self.state.members_of(Role::Fleet);
        let writer = staying.find(|(_, member)| !member.leaving);
        let mine = writer.is_some_and(|(name, member)| {
            *name == self.me.node && member.incarnation == self.me.incarnation
        });
        mine && since > SNAPSHOT_EVERY && self.until() > Some(now)
    }

    fn reached_by(&self, voter: &Voter) -> u64 {
        if *voter == Voter::from(&self.me) {
            return self.state.offset;
        }
        self.reached.get(voter).copied().unwrap_or(0)
    }

    fn voters(&self) -> BTreeSet<Voter> {
        let members = self.state.members_of(Role::Fleet);
        let voters = members.map(|(name, member)| Voter {
            node: name.clone(),
            incarnation: member.incarnation,
        });
        voters.collect()
    }

    fn keep(&mut self, offset: u64, data: Vec<u8>) {
        if self.kept.len() == KEPT_RECORDS {
            self.kept.pop_front();
        }
        self.kept.push_back((offset, data));
    }

    fn folded(&mut self, now: Instant) {
        let event = FreshnessEvent::Folded {
            offset: self.state.offset,
            voters: self.voters(),
        };
        self.freshness.observe(now, event);
    }
}
