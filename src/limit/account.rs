//! A ledger's account of one holder.

use std::time::Duration;
use std::time::Instant;

use crate::name::TeamName;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;

/// Time without acknowledgement after which a permit message counts as lost, in milliseconds.
const RESEND_MS: u64 = 100;

/// The permits of one holder as counted by its ledger.
#[derive(Debug, Clone)]
pub struct Account {
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Whether it is leaving the fleet on request, and so gives back its unused permits.
    pub leaving: bool,
    /// Whether it has reported since the ledger was opened.
    pub has_reported: bool,
    /// Upper bound of the permits that it holds.
    pub held: u32,
    /// Number of permits that it could use.
    pub wanted: u32,
    /// Epoch as of which it counts all attempts that gates run.
    pub adopted: u64,
    /// Whether it starts nothing until it gets a target under a lowered limit.
    pub frozen: bool,
    /// Maximum number of permits to keep, as last sent.
    target: u32,
    /// Maximum number of permits to keep, as last reported by the holder.
    reported_target: u32,
    /// Epoch of its last report.
    epoch: u64,
    /// Number of its last report.
    last_report: u64,
    /// Number of the last permit message sent to it.
    last_sent: u64,
    /// Number of the last permit message that its last report acknowledges.
    last_seen: u64,
    resend_at: Option<Instant>,
}

impl Account {
    /// Creates the account of a holder that has not reported yet.
    pub const fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            leaving: false,
            has_reported: false,
            held: 0,
            wanted: 0,
            adopted: 0,
            frozen: false,
            target: u32::MAX,
            reported_target: u32::MAX,
            epoch: 0,
            last_report: 0,
            last_sent: 0,
            last_seen: 0,
            resend_at: None,
        }
    }

    /// Applies a report; reports older than the last one are ignored.
    pub fn report(&mut self, permits: &PermitReport) {
        if permits.number <= self.last_report {
            return;
        }
        self.has_reported = true;
        self.last_report = permits.number;
        self.epoch = permits.epoch;
        self.wanted = permits.wanted;
        self.adopted = permits.adopted;
        self.last_seen = permits.seen;
        self.reported_target = permits.target;
        self.frozen = permits.frozen;
        self.held = if self.is_settled() {
            permits.held
        } else {
            self.held.max(permits.held)
        };
    }

    /// The next message to the holder: none unless it adds permits, changes the target, or replaces
    /// a lost message.
    pub fn next_message(
        &mut self,
        now: Instant,
        team: &TeamName,
        limit: u32,
        added: u32,
        target: u32,
    ) -> Option<PermitGrant> {
        let lost = !self.is_settled() && self.resend_at.is_none_or(|due| due <= now);
        let differs = self.is_settled() && (self.frozen || target != self.reported_target);
        if added == 0 && !lost && !differs && target == self.target {
            return None;
        }
        self.held = self.held.saturating_add(added);
        self.last_sent += 1;
        self.target = target;
        self.resend_at = Some(now + Duration::from_millis(RESEND_MS));
        Some(PermitGrant {
            team: team.clone(),
            heard: self.epoch,
            number: self.last_sent,
            limit,
            added,
            target,
        })
    }

    /// Maximum number of permits that the holder may keep, as last sent.
    pub const fn target(&self) -> u32 {
        self.target
    }

    /// Whether the last report acknowledges every permit message sent.
    const fn is_settled(&self) -> bool {
        self.last_seen == self.last_sent
    }
}
