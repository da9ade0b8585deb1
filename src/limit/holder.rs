//! The permits of one team that a scheduler holds.

use std::time::Duration;
use std::time::Instant;

use crate::name::TeamName;
use crate::wire::Peer;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;

/// Minimum interval between two reports that differ only in demand or held permits, in
/// milliseconds.
const MIN_INTERVAL_MS: u64 = 5;
/// Maximum interval between two reports, in milliseconds.
const MAX_INTERVAL_MS: u64 = 250;

/// Demand of a team on one scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of slots that the team occupies.
    pub running: u32,
    /// Number of slots that it could occupy now, the occupied ones included.
    pub wanted: u32,
    /// Epoch as of which every gate has reported the attempts that it runs.
    pub adopted: u64,
}

/// The permits of one team that one scheduler holds.
///
/// It accepts messages only from the ledger that it reports to, and only those sent after that
/// ledger received a report from it. Otherwise permits sent by an earlier ledger could add to those
/// that a report already counts.
#[derive(Debug)]
pub struct Holder {
    team: TeamName,
    ledger: Option<Peer>,
    limit: u32,
    permits: u32,
    /// Maximum number of permits to keep, as last sent by the ledger.
    target: u32,
    /// Whether the limit was lowered and no ledger has sent a target under it yet.
    frozen: bool,
    epoch: u64,
    /// Epoch at which the ledger became this one.
    ledger_epoch: u64,
    /// Number of the last message accepted from the ledger.
    seen: u64,
    /// Number of the last report.
    number: u64,
    last_report: Option<PermitReport>,
    /// Earliest time of a report that differs only in demand or held permits.
    next_change: Option<Instant>,
    /// When the next report is due even if nothing has changed.
    next_refresh: Option<Instant>,
}

impl Holder {
    /// Creates a holder without permits.
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
            ledger_epoch: 0,
            seen: 0,
            number: 0,
            last_report: None,
            next_change: None,
            next_refresh: None,
        }
    }

    /// Applies a newer state. After the limit was lowered, nothing starts until a ledger that knows
    /// the new limit has sent a target, since other holders may still run more than the new limit
    /// allows.
    pub fn update(&mut self, epoch: u64, limit: u32, ledger: Option<Peer>) {
        self.frozen |= limit < self.limit;
        self.limit = limit;
        self.epoch = epoch;
        if self.ledger != ledger {
            self.ledger = ledger;
            self.ledger_epoch = epoch;
            self.seen = 0;
            self.target = u32::MAX;
        }
    }

    /// Applies added permits and a target. Returns false, without effect, if the message is not
    /// from the current ledger or is older than one accepted before.
    pub fn accept(&mut self, from: &Peer, permit: &PermitGrant) -> bool {
        let current = self.ledger.as_ref() == Some(from) && permit.heard >= self.ledger_epoch;
        if !current || permit.number <= self.seen {
            return false;
        }
        self.seen = permit.number;
        self.target = permit.target;
        self.frozen &= permit.limit > self.limit;
        self.permits = self.permits.saturating_add(permit.added);
        true
    }

    /// Number of slots that the team may occupy on this scheduler.
    #[must_use]
    pub fn allowed(&self) -> u32 {
        if self.frozen {
            0
        } else {
            self.usable_permits()
        }
    }

    /// Number of permits that it holds.
    #[must_use]
    pub const fn held(&self) -> u32 {
        self.permits
    }

    /// Scheduler that keeps the team's ledger; none before the first state or if none can.
    #[must_use]
    pub const fn ledger(&self) -> Option<&Peer> {
        self.ledger.as_ref()
    }

    /// Releases unused permits beyond those that it may keep, and returns a report if one is due.
    pub fn report(&mut self, now: Instant, demand: Demand) -> Option<PermitReport> {
        self.permits = self.permits.min(self.allowed().max(demand.running));
        let permits = PermitReport {
            team: self.team.clone(),
            epoch: self.epoch,
            number: self.number + 1,
            seen: self.seen,
            held: self.permits.max(demand.running),
            wanted: demand.wanted,
            adopted: demand.adopted,
            target: self.target,
            frozen: self.frozen,
        };
        if !self.is_due(now, &permits) {
            return None;
        }
        self.number += 1;
        self.last_report = Some(permits.clone());
        self.next_change = Some(now + Duration::from_millis(MIN_INTERVAL_MS));
        self.next_refresh = Some(now + Duration::from_millis(MAX_INTERVAL_MS));
        Some(permits)
    }

    fn usable_permits(&self) -> u32 {
        self.permits.min(self.target).min(self.limit)
    }

    fn is_due(&self, now: Instant, permits: &PermitReport) -> bool {
        let Some(last_report) = &self.last_report else {
            return true;
        };
        let passed = |deadline: Option<Instant>| deadline.is_none_or(|deadline| deadline <= now);
        let changed = last_report.epoch != permits.epoch
            || last_report.seen != permits.seen
            || last_report.adopted != permits.adopted
            || last_report.frozen != permits.frozen;
        let unmet = permits.wanted > permits.held && last_report.wanted != permits.wanted;
        let differs = last_report.held != permits.held || unmet;
        changed || (differs && passed(self.next_change)) || passed(self.next_refresh)
    }
}
