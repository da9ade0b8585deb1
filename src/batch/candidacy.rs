//! Whether a process takes part in the election.

use std::time::Duration;
use std::time::Instant;

/// Processor from which on a process is of full strength, in cores.
const FULL_CORES: f64 = 0.2;
/// Time between two looks of a weak process at who takes part, in milliseconds.
const LOOK_MS: u64 = 700;
/// How long no strong process has been seen before a weak one takes part, in milliseconds.
const VACANT_MS: u64 = 1_500;

/// What a process can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strength {
    /// Enough to be the owner of a large site.
    Full,
    /// It is the owner only while no strong process can be.
    Weak,
}

impl Strength {
    /// Strength of a process that has so many cores.
    #[must_use]
    pub fn of(cores: f64) -> Self {
        if cores < FULL_CORES {
            return Self::Weak;
        }
        Self::Full
    }
}

/// Decides whether a process takes part. Strong ones always do; weak ones stand by.
#[derive(Debug)]
pub struct Candidacy {
    strength: Strength,
    look: Instant,
    vacant: Option<Instant>,
    open: bool,
}

impl Candidacy {
    /// Of a process that begins at `now`.
    #[must_use]
    pub const fn new(strength: Strength, now: Instant) -> Self {
        Self {
            strength,
            look: now,
            vacant: None,
            open: matches!(strength, Strength::Full),
        }
    }

    /// Whether it must look who takes part.
    #[must_use]
    pub fn needs_check(&self, now: Instant) -> bool {
        self.strength == Strength::Weak && now >= self.look
    }

    /// It has looked; `attended` if a strong process takes part, `None` if it can't be known.
    pub fn record_check(&mut self, now: Instant, attended: Option<bool>) {
        self.look = now + Duration::from_millis(LOOK_MS);
        match attended {
            Some(true) => {
                self.vacant = None;
                self.open = false;
            }
            Some(false) => {
                let since = *self.vacant.get_or_insert(now);
                self.open |= now >= since + Duration::from_millis(VACANT_MS);
            }
            // What isn't known changes nothing, and a vacancy must be seen anew.
            None => self.vacant = None,
        }
    }

    /// Whether it takes part.
    #[must_use]
    pub const fn is_candidate(&self) -> bool {
        self.open
    }
}
