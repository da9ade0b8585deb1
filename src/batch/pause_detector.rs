//! Detects pauses of the process after which another owner may have been elected.

use std::time::Instant;

use crate::batch::Now;

/// Minimum length of a pause that counts, in milliseconds. Election memberships are renewed more
/// often than that and last longer.
const PAUSE_MS: u64 = 700;

/// Detects pauses of the process. After a pause, its owner may give no orders before the election
/// has been asked again.
#[derive(Debug)]
pub struct PauseDetector {
    last: Now,
    resumed: Option<Instant>,
    // End of the last suspension of the machine. Leases may have expired in it although they still
    // appear to be valid by the monotonic clock.
    suspended: Option<Instant>,
}

impl PauseDetector {
    /// A detector of a process that runs at `now`.
    #[must_use]
    pub const fn new(now: Now) -> Self {
        Self {
            last: now,
            resumed: None,
            suspended: None,
        }
    }

    /// Records that the process runs; returns whether it was paused just before. The larger of both
    /// clocks' steps counts, because the monotonic clock stops while the machine is suspended.
    pub fn observe(&mut self, now: Now) -> bool {
        let monotonic = now.at.saturating_duration_since(self.last.at);
        let monotonic = u64::try_from(monotonic.as_millis()).unwrap_or(u64::MAX);
        let wall = now.unix.saturating_sub(self.last.unix);
        self.last = now;
        let paused = monotonic.max(wall) > PAUSE_MS;
        if paused {
            self.resumed = Some(now.at);
        }
        if wall > monotonic.saturating_add(PAUSE_MS) {
            self.suspended = Some(now.at);
        }
        paused
    }

    /// Whether orders may be given. `asked` is when the election was last asked without ending the
    /// term, `confirmed` when it was last asked and named this process. After a pause the former is
    /// enough, after a suspension the latter is needed.
    #[must_use]
    pub fn may_act(&self, asked: Instant, confirmed: Instant) -> bool {
        let asked = self.resumed.is_none_or(|resumed| asked >= resumed);
        let confirmed = self
            .suspended
            .is_none_or(|suspended| confirmed >= suspended);
        asked && confirmed
    }
}
