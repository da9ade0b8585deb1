//! Whether an owner was paused for so long that another may have been elected.

use std::time::Instant;

use crate::batch::Now;

/// Shortest pause that counts, in milliseconds. Memberships are renewed more often and last longer
/// than that.
const LIMIT_MS: u64 = 700;

/// Notices pauses of a process. After one its owner gives no orders before the election has been
/// asked anew.
#[derive(Debug)]
pub struct PauseDetector {
    last: Now,
    woken: Option<Instant>,
    // When the machine was last suspended: leases may have ended that seem to run.
    suspended: Option<Instant>,
}

impl PauseDetector {
    /// A process that is awake.
    #[must_use]
    pub const fn new(now: Now) -> Self {
        Self {
            last: now,
            woken: None,
            suspended: None,
        }
    }

    /// Notes that the process is awake; returns whether it has just been paused. The steady clock
    /// stands still while the machine is suspended, so either clock counts.
    pub fn observe(&mut self, now: Now) -> bool {
        let steady = now.at.saturating_duration_since(self.last.at);
        let steady = u64::try_from(steady.as_millis()).unwrap_or(u64::MAX);
        let unix = now.unix.saturating_sub(self.last.unix);
        self.last = now;
        let paused = steady.max(unix) > LIMIT_MS;
        if paused {
            self.woken = Some(now.at);
        }
        if unix > steady.saturating_add(LIMIT_MS) {
            self.suspended = Some(now.at);
        }
        paused
    }

    /// Whether orders may be given, if the election was last asked at `asked` and has not ended
    /// the term, and was last asked at `confirmed` when it confirmed it.
    #[must_use]
    pub fn may_act(&self, asked: Instant, confirmed: Instant) -> bool {
        let asked = self.woken.is_none_or(|woken| asked >= woken);
        let confirmed = self.suspended.is_none_or(|woken| confirmed >= woken);
        asked && confirmed
    }
}
