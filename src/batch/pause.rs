//! Whether an owner was paused for so long that another may have been elected.

use std::time::Duration;
use std::time::Instant;

use crate::batch::Now;

/// Shortest pause that counts, in milliseconds. Memberships are renewed more often and last longer
/// than that.
const LIMIT_MS: u64 = 700;

/// Notices pauses of a process. After one its owner gives no orders before the election has been
/// asked anew.
#[derive(Debug)]
pub struct Pause {
    last: Now,
    woken: Option<Instant>,
}

impl Pause {
    /// A process that is awake.
    #[must_use]
    pub const fn new(now: Now) -> Self {
        Self {
            last: now,
            woken: None,
        }
    }

    /// Notes that the process is awake; returns whether it has just been paused. The steady clock
    /// stands still while the machine is suspended, so either clock counts.
    pub fn note(&mut self, now: Now) -> bool {
        let steady = now.at.saturating_duration_since(self.last.at);
        let paused =
            steady > Duration::from_millis(LIMIT_MS) || now.unix > self.last.unix + LIMIT_MS;
        self.last = now;
        if paused {
            self.woken = Some(now.at);
        }
        paused
    }

    /// Whether orders may be given, if the election was last asked at `asked` and has not ended
    /// the reign.
    #[must_use]
    pub fn allows(&self, asked: Instant) -> bool {
        self.woken.is_none_or(|woken| asked >= woken)
    }
}
