//! Bounds of the planner.

/// Hosts in a rack, the usual size of a wave.
pub const RACK_HOSTS: usize = 4;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Bounds of the planner; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Longest time between two maintenances of a host.
    pub period_ms: u64,
    /// Longest time that a host is drained before the plan is given up.
    pub drain_ms: u64,
    /// Longest time from a reboot until the host is back.
    pub reboot_ms: u64,
    /// Time that a host must be seen empty before it reboots.
    pub quiet_ms: u64,
    /// Time between two requests for the same reboot.
    pub ask_ms: u64,
    /// Time until a host that could not be emptied is tried again.
    pub retry_ms: u64,
    /// Time that a host which does not come back holds up its pool.
    pub hold_ms: u64,
    /// Hosts that have not come back at which waves stop everywhere.
    pub stuck_limit: usize,
    /// Time that a pool is short before it gets hosts.
    pub patience_ms: u64,
    /// Time that a pool is short before it gets hosts that serve calm pools of their own.
    pub lend_ms: u64,
    /// Time that a host lately moved stays before it moves to another pool that is short.
    pub stay_ms: u64,
    /// Time that a pool is calm before it gives hosts away.
    pub calm_ms: u64,
    /// Time that a pool is calm before it gives lent hosts back.
    pub return_ms: u64,
    /// Moves to pools that are short, allowed for each host of the fleet in an hour.
    pub hourly_moves: usize,
    /// Whether hosts move between pools.
    pub moves: bool,
    /// Most hosts that are maintained at once; none to derive it from the period.
    pub at_once: Option<usize>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            period_ms: 35 * DAY_MS,
            drain_ms: 30 * MINUTE_MS,
            reboot_ms: 30 * MINUTE_MS,
            quiet_ms: 10_000,
            ask_ms: 30_000,
            retry_ms: 6 * HOUR_MS,
            hold_ms: DAY_MS,
            stuck_limit: 3,
            patience_ms: 2_000,
            lend_ms: 30_000,
            stay_ms: MINUTE_MS,
            calm_ms: 10_000,
            return_ms: MINUTE_MS,
            hourly_moves: 4,
            moves: true,
            at_once: None,
        }
    }
}

impl Policy {
    /// When a host maintained at `maintained` is due again; the rest of the period is slack.
    #[must_use]
    pub const fn due(&self, maintained: u64) -> u64 {
        maintained + self.period_ms / 5 * 3
    }

    /// When a host maintained at `maintained` is late enough for its drain not to be given up.
    #[must_use]
    pub const fn late(&self, maintained: u64) -> u64 {
        maintained + self.period_ms / 10 * 9
    }

    /// Hosts to maintain at once, such that all of `hosts` fit into the time from due to the end
    /// of the period even if each takes as long as it may; at least a rack.
    #[must_use]
    pub fn parallel(&self, hosts: usize) -> usize {
        let window = self.period_ms / 5 * 2;
        let cycle = self.drain_ms + self.quiet_ms + self.reboot_ms;
        let busy = (hosts as u64 * cycle).div_ceil(window.max(1));
        self.at_once
            .unwrap_or_else(|| usize::try_from(busy).unwrap_or(usize::MAX).max(RACK_HOSTS))
    }

    /// Moves allowed in an hour.
    #[must_use]
    pub const fn moves_allowed(&self, hosts: usize) -> usize {
        self.hourly_moves.saturating_mul(hosts)
    }

    /// Hosts of a pool's budget that maintenance leaves for losses.
    #[must_use]
    pub const fn reserve(budget: usize) -> usize {
        match budget {
            0 | 1 => 0,
            2..8 => 1,
            _ => budget / 4,
        }
    }

    /// Most hosts of a data centre that may be out before maintenance there waits.
    #[must_use]
    pub fn dc_budget(hosts: usize) -> usize {
        RACK_HOSTS.max(hosts / 10)
    }
}
