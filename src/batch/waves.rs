//! Waves of upkeep: which hosts are emptied and taken down next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Wave;
use crate::batch::WaveState;
use crate::name::HostName;

/// Time that a host is away for its upkeep, with some to spare, in milliseconds.
const AWAY_MS: u64 = 3_000;
/// Time that emptying a host may take, in milliseconds.
const DRAIN_MS: u64 = 6_000;
/// Time before a wave's end at which its last hosts are taken down whatever they run, in
/// milliseconds.
const FORCE_MS: u64 = 1_500;
/// Time between two orders for a host that is away, in milliseconds.
const RETRY_MS: u64 = 500;

/// What runs on a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Tasks that end by themselves.
    pub passing: usize,
    /// Tasks that run until they are stopped.
    pub lasting: usize,
}

/// Whether a host can be had for its upkeep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It is up, and that runs there.
    Up(Load),
    /// It is down, or was just ordered down by an earlier owner.
    Down,
    /// It isn't known what runs there.
    Unknown,
}

/// What a wave wants of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// Take it down now: nothing runs there.
    TakeDown,
    /// Stop the tasks that would not end by themselves.
    Empty,
    /// Stop all tasks.
    Clear,
}

/// A wave and how far it is.
#[derive(Debug)]
struct Run {
    wave: Wave,
    deadline: Instant,
    kept: BTreeSet<HostName>,
    ordered: BTreeSet<HostName>,
    // Their order got no answer: they may be down, or may yet go down.
    doubtful: BTreeSet<HostName>,
    away: BTreeMap<HostName, Instant>,
    paused: BTreeMap<HostName, Instant>,
    closed: BTreeSet<HostName>,
    told: Option<WaveState>,
    telling: Option<Instant>,
}

/// All waves that operators ask for.
#[derive(Debug, Default)]
pub struct Waves {
    runs: BTreeMap<u64, Run>,
    kept: BTreeMap<u64, BTreeSet<HostName>>,
}

impl Waves {
    /// Waves of which some hosts may have had their upkeep.
    #[must_use]
    pub fn new(kept: &BTreeMap<u64, BTreeSet<HostName>>) -> Self {
        Self {
            runs: BTreeMap::new(),
            kept: kept.clone(),
        }
    }

    /// Takes what operators ask for; `asked` tells since when, in Unix milliseconds.
    pub fn ask(&mut self, now: Now, waves: &BTreeMap<u64, Wave>, asked: &BTreeMap<u64, u64>) {
        self.runs.retain(|number, _| waves.contains_key(number));
        for (&number, wave) in waves {
            let kept = self.kept.get(&number).cloned().unwrap_or_default();
            let spent = asked
                .get(&number)
                .map_or(0, |&at| now.unix.saturating_sub(at));
            let left = Duration::from_millis(wave.period.saturating_sub(spent));
            self.runs.entry(number).or_insert_with(|| Run {
                wave: wave.clone(),
                deadline: now.at + left,
                kept,
                ordered: BTreeSet::new(),
                doubtful: BTreeSet::new(),
                away: BTreeMap::new(),
                paused: BTreeMap::new(),
                closed: BTreeSet::new(),
                told: None,
                telling: None,
            });
        }
    }

    /// Whether a host is being emptied or is away, so that it gets no new work.
    #[must_use]
    pub fn is_closed(&self, host: Option<&HostName>) -> bool {
        let Some(host) = host else {
            return false;
        };
        self.runs.values().any(|run| run.closed.contains(host))
    }

    /// Whether a host was taken down and may not be back yet.
    #[must_use]
    pub fn is_away(&self, now: Instant, host: &HostName) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.away.get(host).is_some_and(|until| now < *until))
    }

    /// What is to be done with which host.
    pub fn plan(
        &mut self,
        now: Instant,
        state: impl Fn(&HostName) -> HostState,
    ) -> Vec<(u64, HostName, Wish)> {
        let mut wishes = Vec::new();
        for (&number, run) in &mut self.runs {
            let run = run.plan(now, &state);
            wishes.extend(run.into_iter().map(|(host, wish)| (number, host, wish)));
        }
        wishes
    }

    /// A host is being ordered down.
    pub fn ordered(&mut self, wave: u64, host: &HostName) {
        if let Some(run) = self.runs.get_mut(&wave) {
            run.ordered.insert(host.clone());
        }
    }

    /// The order for a host was answered, or not; returns whether its upkeep is settled.
    pub fn answered(
        &mut self,
        now: Instant,
        wave: u64,
        host: &HostName,
        result: Result<(), OrderError>,
    ) -> bool {
        let Some(run) = self.runs.get_mut(&wave) else {
            return false;
        };
        run.ordered.remove(host);
        match result {
            Ok(()) => {
                run.doubtful.remove(host);
                let until = now + Duration::from_millis(AWAY_MS);
                run.away.insert(host.clone(), until);
            }
            Err(OrderError::Gone) => {
                run.doubtful.remove(host);
            }
            Err(err) => {
                if err == OrderError::Silent {
                    run.doubtful.insert(host.clone());
                }
                let until = now + Duration::from_millis(RETRY_MS);
                run.paused.insert(host.clone(), until);
                return false;
            }
        }
        run.closed.remove(host);
        run.kept.insert(host.clone())
    }

    /// Hosts that have had their upkeep, with their waves.
    pub fn kept(&self) -> impl Iterator<Item = (u64, HostName)> {
        let runs = self.runs.iter();
        runs.flat_map(|(&wave, run)| run.kept.iter().map(move |host| (wave, host.clone())))
    }

    /// What operators are to be told of which wave.
    pub fn tell(&mut self, now: Instant) -> Vec<(u64, WaveState)> {
        let mut news = Vec::new();
        for (&number, run) in &mut self.runs {
            let state = run.state();
            if run.told == Some(state) || run.telling.is_some_and(|until| now < until) {
                continue;
            }
            run.telling = Some(now + Duration::from_millis(RETRY_MS));
            news.push((number, state));
        }
        news
    }

    /// Operators were told, or not.
    pub fn reported(&mut self, now: Instant, wave: u64, state: WaveState, told: bool) {
        if let Some(run) = self.runs.get_mut(&wave)
            && told
        {
            run.told = Some(state);
            run.telling = Some(now);
        }
    }
}

impl Run {
    fn state(&self) -> WaveState {
        let left = self.wave.hosts.iter().any(|host| !self.kept.contains(host));
        if left {
            return WaveState::Running;
        }
        WaveState::Completed
    }

    fn plan(
        &mut self,
        now: Instant,
        state: impl Fn(&HostName) -> HostState,
    ) -> Vec<(HostName, Wish)> {
        self.away.retain(|_, until| now < *until);
        for host in &self.wave.hosts {
            if state(host) == HostState::Down {
                self.away.entry(host.clone()).or_insert(now);
            }
        }
        let left = self.left(now, state);
        let limit = self.wave.limit.max(1) as usize;
        let busy = self.ordered.union(&self.doubtful).count() + self.away.len();
        let slack = self.slack(now, left.len());
        let pressing = slack < Duration::from_millis(DRAIN_MS);
        let forcing = slack < Duration::from_millis(FORCE_MS);
        let mut free = limit.saturating_sub(busy);
        let mut wishes = Vec::new();
        self.closed.clear();
        for (host, load) in left.into_iter().take(limit) {
            if load.passing > 0 && !pressing {
                continue;
            }
            // An empty host that can't be taken down yet works on meanwhile.
            if load == Load::default() && free == 0 {
                continue;
            }
            self.closed.insert(host.clone());
            match load {
                Load {
                    passing: 0,
                    lasting: 0,
                } => {
                    free -= 1;
                    wishes.push((host, Wish::TakeDown));
                }
                _ if forcing => wishes.push((host, Wish::Clear)),
                _ => wishes.push((host, Wish::Empty)),
            }
        }
        self.closed
            .extend(self.ordered.union(&self.doubtful).cloned());
        let again = self
            .doubtful
            .iter()
            .filter(|host| !self.is_waiting(now, host));
        wishes.extend(again.map(|host| (host.clone(), Wish::TakeDown)));
        wishes
    }

    /// The hosts that are left, those that are empty soonest in front.
    fn left(&self, now: Instant, state: impl Fn(&HostName) -> HostState) -> Vec<(HostName, Load)> {
        let left = self.wave.hosts.iter().filter(|host| {
            let settled = self.kept.contains(*host) || self.doubtful.contains(*host);
            !settled && !self.is_waiting(now, host)
        });
        let left = left.filter_map(|host| match state(host) {
            HostState::Up(load) => Some((host.clone(), load)),
            HostState::Down | HostState::Unknown => None,
        });
        let mut left: Vec<(HostName, Load)> = left.collect();
        // A host that is being emptied stays in front of the others.
        left.sort_by_key(|(host, load)| {
            let begun = self.closed.contains(host) && load.passing + load.lasting > 0;
            (
                load.passing + load.lasting > 0,
                !begun,
                load.passing,
                load.lasting,
            )
        });
        left
    }

    /// Whether its order is on its way or must wait.
    fn is_waiting(&self, now: Instant, host: &HostName) -> bool {
        let paused = self.paused.get(host).is_some_and(|until| now < *until);
        paused || self.ordered.contains(host)
    }

    /// Time to spare if the hosts that are left go down in full batches from now on.
    fn slack(&self, now: Instant, left: usize) -> Duration {
        let batches = left.div_ceil(self.wave.limit.max(1) as usize) as u64;
        let time = self.deadline.saturating_duration_since(now);
        time.saturating_sub(Duration::from_millis(batches * AWAY_MS))
    }
}
