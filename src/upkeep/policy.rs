//! Limits and times of the planner.

/// Number of hosts in a rack, the usual size of a maintenance wave.
pub const RACK_HOSTS: usize = 4;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Limits and times of the planner; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Maximum time between two maintenances of a host.
    pub period_ms: u64,
    /// Maximum time that a host is drained before its plan is abandoned.
    pub drain_ms: u64,
    /// Maximum time from a reboot until the host is back.
    pub reboot_ms: u64,
    /// Time that a host must have been empty before it is rebooted.
    pub empty_ms: u64,
    /// Interval between two requests for the same reboot.
    pub request_ms: u64,
    /// Time until a host that did not become empty is drained again.
    pub retry_ms: u64,
    /// Time that a host which does not return from its reboot blocks maintenance of its pool.
    pub hold_ms: u64,
    /// Number of hosts not returned from their reboots at which all maintenance is paused.
    pub stuck_limit: usize,
    /// Time that a pool has to be short before it gets hosts.
    pub shortage_ms: u64,
    /// Time that a pool has to be short before it gets own hosts of idle pools.
    pub lend_ms: u64,
    /// Minimum stay of a host in a pool that was short before it moves to another such pool.
    pub stay_ms: u64,
    /// Time that a pool has to be idle before it gives hosts to other pools.
    pub idle_ms: u64,
    /// Time that a pool's load has to be low before it returns borrowed hosts.
    pub return_ms: u64,
    /// Maximum number of moves per hour to pools that are short, for each host of the fleet.
    pub hourly_moves: usize,
    /// Whether hosts move between pools.
    pub moves: bool,
    /// Maximum number of hosts under maintenance at once; none to derive it from the period.
    pub at_once: Option<usize>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            period_ms: 35 * DAY_MS,
            drain_ms: 30 * MINUTE_MS,
            reboot_ms: 30 * MINUTE_MS,
            empty_ms: 10_000,
            request_ms: 30_000,
            retry_ms: 6 * HOUR_MS,
            hold_ms: DAY_MS,
            stuck_limit: 3,
            shortage_ms: 2_000,
            lend_ms: 30_000,
            stay_ms: MINUTE_MS,
            idle_ms: 10_000,
            return_ms: MINUTE_MS,
            hourly_moves: 4,
            moves: true,
            at_once: None,
        }
    }
}

impl Policy {
    /// When a host maintained at `maintained` is due again: after three fifths of the period. The
    /// rest is slack.
    #[must_use]
    pub const fn due(&self, maintained: u64) -> u64 {
        maintained + self.period_ms / 5 * 3
    }

    /// When a host maintained at `maintained` is so late that its drain is no longer abandoned:
    /// after nine tenths of the period.
    #[must_use]
    pub const fn late(&self, maintained: u64) -> u64 {
        maintained + self.period_ms / 10 * 9
    }

    /// Number of hosts to maintain at once, so that all of `hosts` are maintained between
    /// [`due`](Self::due) and the end of the period even if each takes the maximum time; at least a
    /// rack.
    #[must_use]
    pub fn parallel(&self, hosts: usize) -> usize {
        let window = self.period_ms / 5 * 2;
        let cycle = self.drain_ms + self.empty_ms + self.reboot_ms;
        let count = (hosts as u64 * cycle).div_ceil(window.max(1));
        self.at_once
            .unwrap_or_else(|| usize::try_from(count).unwrap_or(usize::MAX).max(RACK_HOSTS))
    }

    /// Number of moves allowed per hour in a fleet of `hosts` hosts.
    #[must_use]
    pub const fn moves_allowed(&self, hosts: usize) -> usize {
        self.hourly_moves.saturating_mul(hosts)
    }

    /// Part of a pool's budget, in hosts, that maintenance leaves unused for host failures.
    #[must_use]
    pub const fn reserve(budget: usize) -> usize {
        match budget {
            0 | 1 => 0,
            2..8 => 1,
            _ => budget / 4,
        }
    }

    /// Number of unusable hosts of a data centre, out of `hosts`, at which maintenance there waits.
    #[must_use]
    pub fn dc_budget(hosts: usize) -> usize {
        RACK_HOSTS.max(hosts / 10)
    }
}
