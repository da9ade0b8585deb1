//! Decides whether a process takes part in the election.

use std::time::Duration;
use std::time::Instant;

/// Processor share from which on a process counts as strong, in cores.
const STRONG_CORES: f64 = 0.2;
/// Time between two checks by a weak process for strong candidates, in milliseconds.
const CHECK_MS: u64 = 700;
/// Time without a strong candidate after which a weak process takes part, in milliseconds.
const VACANT_MS: u64 = 1_500;

/// Capability of a process to be the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strength {
    /// Enough to be the owner of a large site.
    Strong,
    /// Enough to be the owner while no strong process takes part in the election.
    Weak,
}

impl Strength {
    /// Strength of a process that may use that many cores.
    #[must_use]
    pub fn of(cores: f64) -> Self {
        if cores < STRONG_CORES {
            return Self::Weak;
        }
        Self::Strong
    }
}

/// Whether a process takes part in the election. Strong processes always do; weak ones only while
/// there is no strong candidate.
#[derive(Debug)]
pub struct Candidacy {
    strength: Strength,
    next_check: Instant,
    vacant_since: Option<Instant>,
    candidate: bool,
}

impl Candidacy {
    /// Candidacy of a process that starts at `now`.
    #[must_use]
    pub const fn new(strength: Strength, now: Instant) -> Self {
        Self {
            strength,
            next_check: now,
            vacant_since: None,
            candidate: matches!(strength, Strength::Strong),
        }
    }

    /// Whether it is time to check for strong candidates.
    #[must_use]
    pub fn needs_check(&self, now: Instant) -> bool {
        self.strength == Strength::Weak && now >= self.next_check
    }

    /// Records a check; `strong_candidate` is `None` if its result could not be determined.
    pub fn record_check(&mut self, now: Instant, strong_candidate: Option<bool>) {
        self.next_check = now + Duration::from_millis(CHECK_MS);
        match strong_candidate {
            Some(true) => {
                self.vacant_since = None;
                self.candidate = false;
            }
            Some(false) => {
                let since = *self.vacant_since.get_or_insert(now);
                self.candidate |= now >= since + Duration::from_millis(VACANT_MS);
            }
            // Unknown: keep the current decision, and measure the time without a candidate anew.
            None => self.vacant_since = None,
        }
    }

    /// Whether the process takes part in the election.
    #[must_use]
    pub const fn is_candidate(&self) -> bool {
        self.candidate
    }
}
