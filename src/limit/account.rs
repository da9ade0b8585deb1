//! What a ledger knows of one holder.

use std::time::Duration;
use std::time::Instant;

use crate::name::TeamName;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;

/// Time after which a permit message that no report names is taken for lost, in milliseconds.
const RESEND_MS: u64 = 100;

/// A holder's permits as its ledger counts them.
#[derive(Debug, Clone)]
pub struct Account {
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Whether it leaves by plan, and so gives back what it does not use.
    pub leaving: bool,
    /// Whether it has reported to this ledger since that was opened.
    pub heard: bool,
    /// Most permits that it can hold.
    pub held: u32,
    /// Permits that it could use.
    pub wanted: u32,
    /// Epoch as of which it has adopted what gates run.
    pub adopted: u64,
    /// Whether it waits for a target under a lowered limit.
    pub frozen: bool,
    /// What it was last told to keep at most.
    target: u32,
    /// What it says that it was told.
    kept: u32,
    epoch: u64,
    report: u64,
    sent: u64,
    seen: u64,
    resend: Option<Instant>,
}

impl Account {
    /// A holder that has not reported yet.
    pub const fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            leaving: false,
            heard: false,
            held: 0,
            wanted: 0,
            adopted: 0,
            frozen: false,
            target: u32::MAX,
            kept: u32::MAX,
            epoch: 0,
            report: 0,
            sent: 0,
            seen: 0,
            resend: None,
        }
    }

    /// Takes in a report; one older than the last changes nothing.
    pub fn report(&mut self, permits: &PermitReport) {
        if permits.number <= self.report {
            return;
        }
        self.heard = true;
        self.report = permits.number;
        self.epoch = permits.epoch;
        self.wanted = permits.wanted;
        self.adopted = permits.adopted;
        self.seen = permits.seen;
        self.kept = permits.target;
        self.frozen = permits.frozen;
        self.held = if self.settled() {
            permits.held
        } else {
            self.held.max(permits.held)
        };
    }

    /// The message that adds permits or sets another target, if there is anything to tell.
    pub fn tell(
        &mut self,
        now: Instant,
        team: &TeamName,
        limit: u32,
        added: u32,
        target: u32,
    ) -> Option<PermitGrant> {
        let lost = !self.settled() && self.resend.is_none_or(|resend| resend <= now);
        let differs = self.settled() && (self.frozen || target != self.kept);
        if added == 0 && !lost && !differs && target == self.target {
            return None;
        }
        self.held = self.held.saturating_add(added);
        self.sent += 1;
        self.target = target;
        self.resend = Some(now + Duration::from_millis(RESEND_MS));
        Some(PermitGrant {
            team: team.clone(),
            heard: self.epoch,
            number: self.sent,
            limit,
            added,
            target,
        })
    }

    /// What it was last told to keep at most.
    pub const fn target(&self) -> u32 {
        self.target
    }

    /// Whether the last report counts every permit sent.
    const fn settled(&self) -> bool {
        self.seen == self.sent
    }
}
