//! Decides which connections may stay and how much they may hold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::intake::IntakeEvent;
use crate::intake::IntakeLimits;
use crate::intake::Stage;

/// Memory that a connection occupies beside bodies, in bytes: its buffers here, those of the system,
/// and its state.
const CONNECTION_BYTES: usize = 32 << 10;

/// Time for which a connection may be idle, or its request incomplete, before it may be cut, in
/// milliseconds.
const GRACE_MS: u64 = 1_000;

/// Number of a connection.
type Id = u64;

/// A connection and what it holds.
#[derive(Debug)]
struct Member {
    stage: Stage,
    since: Instant,
    bytes: usize,
}

/// A connection that may stay.
#[derive(Debug, PartialEq, Eq)]
pub struct Admission {
    /// Its number.
    pub id: u64,
    /// Connections to cut for it, and why.
    pub cut: Vec<(u64, IntakeEvent)>,
}

/// The connections of a listener. It reads no clock and does no I/O.
#[derive(Debug)]
pub struct Intake {
    limits: IntakeLimits,
    members: BTreeMap<Id, Member>,
    // Connections that may be cut, the first to cut first.
    order: BTreeSet<(Stage, Instant, Id)>,
    bytes: usize,
    // Before any connection; `None` until there was one.
    oldest: Option<Instant>,
    last: Id,
}

impl Intake {
    /// Creates the state of a listener without connections.
    #[must_use]
    pub const fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            members: BTreeMap::new(),
            order: BTreeSet::new(),
            bytes: 0,
            oldest: None,
            last: 0,
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.members.len()
    }

    /// Returns the memory that counts as used, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Admits a new connection; `None` if there is no place for it.
    pub fn admit(&mut self, now: Instant) -> Option<Admission> {
        let mut cut = Vec::new();
        while self.connections() >= self.limits.connections || !self.has_room(CONNECTION_BYTES) {
            let (id, event) = self.first_to_cut(now)?;
            self.leave(id);
            cut.push((id, event));
        }
        self.oldest = self.oldest.or(Some(now));
        self.last += 1;
        let member = Member {
            stage: Stage::Idle,
            since: now,
            bytes: CONNECTION_BYTES,
        };
        self.bytes += member.bytes;
        self.members.insert(self.last, member);
        self.order.insert((Stage::Idle, now, self.last));
        Some(Admission { id: self.last, cut })
    }

    /// Notes that a connection enters a stage. What its last request held is given back when it is
    /// idle again.
    pub fn enter(&mut self, id: Id, stage: Stage, now: Instant) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        self.order.remove(&(member.stage, member.since, id));
        member.stage = stage;
        member.since = now;
        if stage == Stage::Idle {
            self.bytes -= member.bytes - CONNECTION_BYTES;
            member.bytes = CONNECTION_BYTES;
        }
        if stage != Stage::Serving {
            self.order.insert((stage, now, id));
        }
    }

    /// Counts further memory for a connection; returns the connections to cut for it, or `None` if
    /// there is no place for it, or if it is the first to cut itself.
    pub fn grow(&mut self, id: Id, bytes: usize, now: Instant) -> Option<Vec<(Id, IntakeEvent)>> {
        let mut cut = Vec::new();
        while !self.has_room(bytes) {
            let (first, event) = self.first_to_cut(now)?;
            if first == id {
                return None;
            }
            self.leave(first);
            cut.push((first, event));
        }
        let member = self.members.get_mut(&id)?;
        member.bytes += bytes;
        self.bytes += bytes;
        Some(cut)
    }

    /// Removes a connection that has ended.
    pub fn leave(&mut self, id: Id) {
        if let Some(member) = self.members.remove(&id) {
            self.order.remove(&(member.stage, member.since, id));
            self.bytes -= member.bytes;
        }
    }

    const fn has_room(&self, bytes: usize) -> bool {
        self.bytes.saturating_add(bytes) <= self.limits.bytes
    }

    /// Returns the connection to cut first: of those that are in their stage for long enough, the
    /// one that is for longest, incomplete requests before idle connections.
    fn first_to_cut(&self, now: Instant) -> Option<(Id, IntakeEvent)> {
        let stages = [
            (Stage::Receiving, IntakeEvent::IncompleteCut),
            (Stage::Idle, IntakeEvent::IdleCut),
        ];
        stages.into_iter().find_map(|(stage, event)| {
            let longest = self.order.range((stage, self.oldest?, 0)..).next()?;
            let grace = Duration::from_millis(GRACE_MS);
            let due = longest.0 == stage && now >= longest.1 + grace;
            due.then_some((longest.2, event))
        })
    }
}
