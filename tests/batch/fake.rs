//! An executor in memory: leases, fences, runs and ends as the product relies on them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::Heartbeat;
use mimosastep::batch::Now;
use mimosastep::batch::OrderError;
use mimosastep::batch::Report;
use mimosastep::batch::Resources;
use mimosastep::batch::RunEnd;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Running;
use mimosastep::batch::Start;
use mimosastep::batch::Stop;
use mimosastep::batch::TaskId;

/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 900;

/// Time that a task that lasts takes until it is at work, in milliseconds.
const STARTUP_MS: u64 = 700;

/// A run on a fake executor.
#[derive(Debug, Clone)]
pub struct Work {
    pub run: u64,
    pub demand: Resources,
    pub begun: Instant,
    /// When it ends by itself, and how.
    pub ends: Option<(Instant, RunOutcome)>,
}

impl Work {
    /// Share of its work that is done; a task that lasts is at work after its start-up time.
    pub fn percent(&self, now: Instant) -> u64 {
        let worked = now - self.begun;
        let whole = self.ends.map_or(STARTUP_MS, |(ends, _)| {
            u64::try_from((ends - self.begun).as_millis()).expect("a short test")
        });
        let share = worked.as_millis() * 100 / u128::from(whole.max(1));
        let share = u64::try_from(share.min(100)).expect("a share");
        if self.ends.is_none() && share < 100 {
            return 0;
        }
        share
    }
}

/// A fake executor.
#[derive(Debug)]
pub struct Fake {
    pub capacity: Resources,
    pub begun: Instant,
    /// The same in Unix milliseconds.
    pub born: u64,
    pub fence: u64,
    pub lease: Option<Instant>,
    pub works: BTreeMap<TaskId, Work>,
    pub ends: Vec<RunEnd>,
    pub number: u64,
    /// Highest run stopped or ended of each task.
    pub highest: BTreeMap<TaskId, u64>,
    pub down: bool,
    /// Tail of what serves there, in milliseconds.
    pub tail: u64,
}

impl Fake {
    pub fn new(capacity: Resources, now: Now) -> Self {
        Self {
            capacity,
            begun: now.at,
            born: now.unix,
            fence: 0,
            lease: None,
            works: BTreeMap::new(),
            ends: Vec::new(),
            number: 0,
            highest: BTreeMap::new(),
            down: false,
            tail: 0,
        }
    }

    pub fn clock(&self, now: Instant) -> u64 {
        u64::try_from((now - self.begun).as_millis()).expect("a short test")
    }

    fn at(&self, clock: u64) -> Instant {
        self.begun + Duration::from_millis(clock)
    }

    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for work in self.works.values() {
            used.add(&work.demand);
        }
        used
    }

    fn end(&mut self, task: TaskId, run: u64, outcome: RunOutcome) {
        self.number += 1;
        self.works.remove(&task);
        self.highest.insert(task, run);
        self.ends.push(RunEnd {
            number: self.number,
            task,
            run,
            outcome,
            saved: None,
        });
    }

    /// Lets time pass; returns the ends that fell due.
    pub fn advance(&mut self, now: Instant) -> Vec<(TaskId, u64, RunOutcome)> {
        let lapsed = self.lease.is_some_and(|lease| lease <= now);
        let due = self.works.iter().filter_map(|(task, work)| {
            if lapsed {
                return Some((*task, work.run, RunOutcome::Lapsed));
            }
            let (at, outcome) = work.ends?;
            (at <= now).then_some((*task, work.run, outcome))
        });
        let due: Vec<(TaskId, u64, RunOutcome)> = due.collect();
        for &(task, run, outcome) in &due {
            self.end(task, run, outcome);
        }
        due
    }

    fn check(&mut self, fence: u64) -> Result<(), OrderError> {
        if fence < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = fence;
        Ok(())
    }

    fn renew(&mut self, deadline: u64) {
        let until = self.at(deadline);
        self.lease = Some(self.lease.map_or(until, |lease| lease.max(until)));
    }

    pub fn heartbeat(&mut self, now: Instant, order: &Heartbeat) -> Result<Report, OrderError> {
        self.check(order.target.fence)?;
        if let Some(deadline) = order.deadline {
            self.renew(deadline);
        }
        self.ends.retain(|end| end.number > order.acked);
        Ok(self.report(now))
    }

    /// Whether a task ended `done` there, and the leases ran out before anybody took note of it:
    /// such an end doesn't count, and the task may run again.
    pub fn has_lost_end(&self, now: Instant, task: &TaskId) -> bool {
        let done = |end: &RunEnd| end.task == *task && end.outcome == RunOutcome::Done;
        self.ends.iter().any(done) && self.lease.is_some_and(|lease| lease <= now)
    }

    /// What it tells of its runs.
    pub fn report(&self, now: Instant) -> Report {
        let running = self.works.iter().map(|(task, work)| Running {
            task: *task,
            run: work.run,
            saved: None,
            percent: work.percent(now),
            measured: self.tail,
        });
        Report {
            clock: self.clock(now),
            born: None,
            running: running.collect(),
            ended: self.ends.clone(),
        }
    }

    pub fn start(
        &mut self,
        now: Instant,
        order: &Start,
        demand: Resources,
        ends: Option<(Instant, RunOutcome)>,
    ) -> Result<(), OrderError> {
        self.check(order.target.fence)?;
        self.renew(order.deadline);
        if self
            .works
            .get(&order.task)
            .is_some_and(|work| work.run == order.run)
        {
            return Ok(());
        }
        let highest = self.highest.get(&order.task).copied().unwrap_or(0);
        if order.run <= highest {
            return Err(OrderError::Old);
        }
        if self.at(order.deadline) <= now {
            return Err(OrderError::Late);
        }
        if !demand.fits(&self.used(), &self.capacity) {
            return Err(OrderError::Full);
        }
        let work = Work {
            run: order.run,
            demand,
            begun: now,
            ends,
        };
        self.works.insert(order.task, work);
        Ok(())
    }

    pub fn stop(&mut self, now: Instant, order: &Stop) -> Result<(), OrderError> {
        self.check(order.target.fence)?;
        let highest = self.highest.entry(order.task).or_default();
        *highest = (*highest).max(order.run);
        if let Some(work) = self.works.get_mut(&order.task)
            && work.run == order.run
        {
            let at = now + Duration::from_millis(STOP_MS);
            work.ends = Some((at, RunOutcome::Stopped));
        }
        Ok(())
    }
}
