//! A scheduler's permits of one team.

use std::time::Duration;
use std::time::Instant;

use crate::name::TeamName;
use crate::wire::Peer;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;

/// Shortest time between two reports of unmet need, in milliseconds.
const GAP_MS: u64 = 5;
/// Longest time between two reports, in milliseconds.
const REFRESH_MS: u64 = 250;

/// What a scheduler has running and waiting for a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Slots that the team occupies.
    pub running: u32,
    /// Slots that it could occupy now, the running ones included.
    pub wanted: u32,
    /// Epoch as of which every gate has reported what it runs.
    pub adopted: u64,
}

/// The permits of one team that one scheduler holds.
///
/// It obeys only the ledger that it reports to, and only messages sent after that ledger has
/// heard from it, so that permits of an earlier ledger never come on top of a report.
#[derive(Debug)]
pub struct Holder {
    team: TeamName,
    ledger: Option<Peer>,
    limit: u32,
    permits: u32,
    target: u32,
    /// Whether the limit was lowered and no ledger has told a target under it yet.
    frozen: bool,
    epoch: u64,
    /// Epoch as of which it reports to this ledger.
    moved: u64,
    seen: u64,
    number: u64,
    told: Option<PermitReport>,
    gap: Option<Instant>,
    refresh: Option<Instant>,
}

impl Holder {
    /// A holder without permits.
    #[must_use]
    pub const fn new(team: TeamName) -> Self {
        Self {
            team,
            ledger: None,
            limit: 0,
            permits: 0,
            target: u32::MAX,
            frozen: false,
            epoch: 0,
            moved: 0,
            seen: 0,
            number: 0,
            told: None,
            gap: None,
            refresh: None,
        }
    }

    /// Goes on under a newer state. Under a lower limit nothing starts until a ledger that knows
    /// it has told a target, since others may have more running than it allows.
    pub fn update(&mut self, epoch: u64, limit: u32, ledger: Option<Peer>) {
        self.frozen |= limit < self.limit;
        self.limit = limit;
        self.epoch = epoch;
        if self.ledger != ledger {
            self.ledger = ledger;
            self.moved = epoch;
            self.seen = 0;
            self.target = u32::MAX;
        }
    }

    /// Takes permits and a target; false if the message is not from the ledger that this holder
    /// reports to now, or is older than one taken before.
    pub fn take(&mut self, from: &Peer, permit: &PermitGrant) -> bool {
        let current = self.ledger.as_ref() == Some(from) && permit.heard >= self.moved;
        if !current || permit.number <= self.seen {
            return false;
        }
        self.seen = permit.number;
        self.target = permit.target;
        self.frozen &= permit.limit > self.limit;
        self.permits = self.permits.saturating_add(permit.added);
        true
    }

    /// Slots that the team may occupy on this scheduler.
    #[must_use]
    pub fn allowed(&self) -> u32 {
        if self.frozen { 0 } else { self.kept() }
    }

    /// Permits that it holds.
    #[must_use]
    pub const fn held(&self) -> u32 {
        self.permits
    }

    /// The ledger that it reports to.
    #[must_use]
    pub const fn ledger(&self) -> Option<&Peer> {
        self.ledger.as_ref()
    }

    /// Gives up what it should not keep and does not use, and makes a report if one is due.
    pub fn report(&mut self, now: Instant, need: Need) -> Option<PermitReport> {
        self.permits = self.permits.min(self.allowed().max(need.running));
        let permits = PermitReport {
            team: self.team.clone(),
            epoch: self.epoch,
            number: self.number + 1,
            seen: self.seen,
            held: self.permits.max(need.running),
            wanted: need.wanted,
            adopted: need.adopted,
            target: self.target,
            frozen: self.frozen,
        };
        if !self.is_due(now, &permits) {
            return None;
        }
        self.number += 1;
        self.told = Some(permits.clone());
        self.gap = Some(now + Duration::from_millis(GAP_MS));
        self.refresh = Some(now + Duration::from_millis(REFRESH_MS));
        Some(permits)
    }

    fn kept(&self) -> u32 {
        self.permits.min(self.target).min(self.limit)
    }

    fn is_due(&self, now: Instant, permits: &PermitReport) -> bool {
        let Some(told) = &self.told else {
            return true;
        };
        let passed = |deadline: Option<Instant>| deadline.is_none_or(|deadline| deadline <= now);
        let changed = told.epoch != permits.epoch
            || told.seen != permits.seen
            || told.adopted != permits.adopted
            || told.frozen != permits.frozen;
        let unmet = permits.wanted > permits.held && told.wanted != permits.wanted;
        let moved = told.held != permits.held || unmet;
        changed || (moved && passed(self.gap)) || passed(self.refresh)
    }
}
