//! Maintenance waves: selects the hosts to drain and to take down next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Wave;
use crate::batch::WaveState;
use crate::name::HostName;

/// Time for which a host is down for maintenance, with a margin, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Time that draining a host may take, in milliseconds.
const DRAIN_MS: u64 = 6_000;
/// Slack before a wave's deadline below which all tasks on its hosts are stopped, in milliseconds.
const FORCE_MS: u64 = 1_500;
/// Time between two orders for a host that could not be taken down, and between two reports of a
/// wave, in milliseconds.
const RETRY_MS: u64 = 500;

/// Numbers of runs on a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Runs of tasks that end by themselves.
    pub finite: usize,
    /// Runs of long-running tasks, which end only when they are stopped.
    pub long_running: usize,
}

/// What is known of a host that is due for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It is up, with these runs on it.
    Up(RunCounts),
    /// It is down for maintenance, or an earlier owner may have just ordered it down or moved.
    Down,
    /// Its runs are not known, or it is moving or down for another reason.
    Unknown,
}

/// Next step of a host's maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostAction {
    /// Take the host down: nothing runs there, or an order for it got no answer.
    TakeDown,
    /// Stop the long-running tasks on the host that have room elsewhere.
    StopLongRunning,
    /// Stop all tasks on the host, as far as their steps' limits allow.
    StopAll,
}

/// Progress of a wave.
#[derive(Debug)]
struct WaveProgress {
    wave: Wave,
    // Hosts of the wave.
    hosts: BTreeSet<HostName>,
    deadline: Instant,
    maintained: BTreeSet<HostName>,
    ordered: BTreeSet<HostName>,
    // Hosts whose order got no answer: they may be down or may still go down.
    unconfirmed: BTreeSet<HostName>,
    // Hosts that were taken down, and until when they may be down.
    down: BTreeMap<HostName, Instant>,
    retry_at: BTreeMap<HostName, Instant>,
    // Hosts that get no new work.
    blocked: BTreeSet<HostName>,
    reported: Option<WaveState>,
    report_after: Option<Instant>,
}

/// All waves that operators have requested.
#[derive(Debug, Default)]
pub struct Waves {
    waves: BTreeMap<u64, WaveProgress>,
    maintained: BTreeMap<u64, BTreeSet<HostName>>,
}

impl Waves {
    /// Creates the waves of a term, given the hosts that have had their maintenance, by wave.
    #[must_use]
    pub fn new(maintained: &BTreeMap<u64, BTreeSet<HostName>>) -> Self {
        Self {
            waves: BTreeMap::new(),
            maintained: maintained.clone(),
        }
    }

    /// Applies the waves that operators have requested; one that is known already keeps its first
    /// version. `requested` has the times of the requests, in Unix milliseconds.
    pub fn update(
        &mut self,
        now: Now,
        waves: &BTreeMap<u64, Wave>,
        requested: &BTreeMap<u64, u64>,
    ) {
        self.waves.retain(|number, _| waves.contains_key(number));
        for (&number, wave) in waves {
            let maintained = self.maintained.get(&number).cloned().unwrap_or_default();
            let spent = requested
                .get(&number)
                .map_or(0, |&at| now.unix.saturating_sub(at));
            let left = Duration::from_millis(wave.period.saturating_sub(spent));
            self.waves.entry(number).or_insert_with(|| WaveProgress {
                wave: wave.clone(),
                hosts: wave.hosts.iter().cloned().collect(),
                deadline: now.at + left,
                maintained,
                ordered: BTreeSet::new(),
                unconfirmed: BTreeSet::new(),
                down: BTreeMap::new(),
                retry_at: BTreeMap::new(),
                blocked: BTreeSet::new(),
                reported: None,
                report_after: None,
            });
        }
    }

    /// Whether a host is being drained or has been ordered down, so that it gets no new work.
    #[must_use]
    pub fn is_blocked(&self, host: Option<&HostName>) -> bool {
        let Some(host) = host else {
            return false;
        };
        self.waves
            .values()
            .any(|progress| progress.blocked.contains(host))
    }

    /// Whether a host is to be maintained and has not been yet.
    #[must_use]
    pub fn is_due(&self, host: Option<&HostName>) -> bool {
        let Some(host) = host else {
            return false;
        };
        self.waves
            .values()
            .any(|progress| progress.hosts.contains(host) && !progress.maintained.contains(host))
    }

    /// Whether a host was taken down and may not be up again.
    #[must_use]
    pub fn is_down(&self, now: Instant, host: &HostName) -> bool {
        let mut waves = self.waves.values();
        waves.any(|progress| progress.down.get(host).is_some_and(|until| now < *until))
    }

    /// Returns the next steps, each with its wave and host.
    pub fn plan(
        &mut self,
        now: Instant,
        state: impl Fn(&HostName) -> HostState,
    ) -> Vec<(u64, HostName, HostAction)> {
        let mut actions = Vec::new();
        for (&number, progress) in &mut self.waves {
            let steps = progress.plan(now, &state);
            actions.extend(
                steps
                    .into_iter()
                    .map(|(host, action)| (number, host, action)),
            );
        }
        actions
    }

    /// Notes that the order to take a host down is being sent.
    pub fn mark_ordered(&mut self, wave: u64, host: &HostName) {
        if let Some(progress) = self.waves.get_mut(&wave) {
            progress.ordered.insert(host.clone());
        }
    }

    /// Applies the result of an order; returns whether the host now counts as maintained: it went
    /// down, or it no longer exists.
    pub fn on_answer(
        &mut self,
        now: Instant,
        wave: u64,
        host: &HostName,
        result: Result<(), OrderError>,
    ) -> bool {
        let Some(progress) = self.waves.get_mut(&wave) else {
            return false;
        };
        progress.ordered.remove(host);
        match result {
            Ok(()) => {
                progress.unconfirmed.remove(host);
                let until = now + Duration::from_millis(DOWN_MS);
                progress.down.insert(host.clone(), until);
            }
            Err(OrderError::Gone) => {
                progress.unconfirmed.remove(host);
            }
            Err(err) => {
                if err == OrderError::Silent {
                    progress.unconfirmed.insert(host.clone());
                }
                let until = now + Duration::from_millis(RETRY_MS);
                progress.retry_at.insert(host.clone(), until);
                return false;
            }
        }
        progress.blocked.remove(host);
        progress.maintained.insert(host.clone())
    }

    /// Returns the hosts that count as maintained, with their waves.
    pub fn maintained(&self) -> impl Iterator<Item = (u64, HostName)> {
        let waves = self.waves.iter();
        waves.flat_map(|(&wave, progress)| {
            progress
                .maintained
                .iter()
                .map(move |host| (wave, host.clone()))
        })
    }

    /// Returns the states of waves that are due to be reported to operators.
    pub fn due_reports(&mut self, now: Instant) -> Vec<(u64, WaveState)> {
        let mut due = Vec::new();
        for (&number, progress) in &mut self.waves {
            let state = progress.state();
            if progress.reported == Some(state)
                || progress.report_after.is_some_and(|until| now < until)
            {
                continue;
            }
            progress.report_after = Some(now + Duration::from_millis(RETRY_MS));
            due.push((number, state));
        }
        due
    }

    /// Applies the outcome of a report; one that failed is due again later.
    pub fn on_reported(&mut self, now: Instant, wave: u64, state: WaveState, reported: bool) {
        if let Some(progress) = self.waves.get_mut(&wave)
            && reported
        {
            progress.reported = Some(state);
            progress.report_after = Some(now);
        }
    }
}

impl WaveProgress {
    fn state(&self) -> WaveState {
        let left = self
            .wave
            .hosts
            .iter()
            .any(|host| !self.maintained.contains(host));
        if left {
            return WaveState::Running;
        }
        WaveState::Completed
    }

    fn plan(
        &mut self,
        now: Instant,
        state: impl Fn(&HostName) -> HostState,
    ) -> Vec<(HostName, HostAction)> {
        self.down.retain(|_, until| now < *until);
        for host in &self.wave.hosts {
            if state(host) == HostState::Down {
                // Counts towards the limit in this round only.
                self.down.entry(host.clone()).or_insert(now);
            }
        }
        let left = self.remaining(now, state);
        let limit = self.wave.limit.max(1) as usize;
        let busy = self.ordered.union(&self.unconfirmed).count() + self.down.len();
        let slack = self.slack(now, left.len());
        let urgent = slack < Duration::from_millis(DRAIN_MS);
        let forced = slack < Duration::from_millis(FORCE_MS);
        let mut free = limit.saturating_sub(busy);
        let mut actions = Vec::new();
        self.blocked.clear();
        for (host, counts) in left.into_iter().take(limit) {
            if counts.finite > 0 && !urgent {
                continue;
            }
            // An empty host that can't be taken down yet goes on taking work.
            if counts == RunCounts::default() && free == 0 {
                continue;
            }
            self.blocked.insert(host.clone());
            match counts {
                RunCounts {
                    finite: 0,
                    long_running: 0,
                } => {
                    free -= 1;
                    actions.push((host, HostAction::TakeDown));
                }
                _ if forced => actions.push((host, HostAction::StopAll)),
                _ => actions.push((host, HostAction::StopLongRunning)),
            }
        }
        self.blocked
            .extend(self.ordered.union(&self.unconfirmed).cloned());
        let retries = self
            .unconfirmed
            .iter()
            .filter(|host| !self.is_waiting(now, host));
        actions.extend(retries.map(|host| (host.clone(), HostAction::TakeDown)));
        actions
    }

    /// Returns the hosts that remain, in the order in which they are expected to become empty.
    fn remaining(
        &self,
        now: Instant,
        state: impl Fn(&HostName) -> HostState,
    ) -> Vec<(HostName, RunCounts)> {
        let left = self.wave.hosts.iter().filter(|host| {
            let settled = self.maintained.contains(*host) || self.unconfirmed.contains(*host);
            !settled && !self.is_waiting(now, host)
        });
        let left = left.filter_map(|host| match state(host) {
            HostState::Up(counts) => Some((host.clone(), counts)),
            HostState::Down | HostState::Unknown => None,
        });
        let mut left: Vec<(HostName, RunCounts)> = left.collect();
        // A host that is being drained stays ahead of other busy hosts.
        left.sort_by_key(|(host, counts)| {
            let begun = self.blocked.contains(host) && counts.finite + counts.long_running > 0;
            (
                counts.finite + counts.long_running > 0,
                !begun,
                counts.finite,
                counts.long_running,
            )
        });
        left
    }

    /// Whether the host's order is pending, or may not be sent again yet.
    fn is_waiting(&self, now: Instant, host: &HostName) -> bool {
        let paused = self.retry_at.get(host).is_some_and(|until| now < *until);
        paused || self.ordered.contains(host)
    }

    /// Returns the time to spare if the remaining hosts go down in full batches from now on.
    fn slack(&self, now: Instant, left: usize) -> Duration {
        let batches = left.div_ceil(self.wave.limit.max(1) as usize) as u64;
        let time = self.deadline.saturating_duration_since(now);
        time.saturating_sub(Duration::from_millis(batches * DOWN_MS))
    }
}
