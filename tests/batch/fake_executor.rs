//! An in-memory executor with the leases, fences and run reports that the dispatcher relies on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
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
use mimosastep::batch::StartAnswer;
use mimosastep::batch::Stop;
use mimosastep::batch::TaskId;

/// Time from a stop order to the end of the run, in milliseconds.
const STOP_MS: u64 = 900;

/// Most ends in a report.
const ENDS_LIMIT: usize = 500;

/// Longest lease of a run, in milliseconds.
const LEASE_LIMIT_MS: u64 = 6_000;

/// Start-up time of a long-running task, in milliseconds.
const STARTUP_MS: u64 = 700;

/// A run on a fake executor.
#[derive(Debug, Clone)]
pub struct FakeRun {
    pub run: u64,
    pub demand: Resources,
    pub started_at: Instant,
    /// When it ends and how; `None` for a long-running task that was not stopped.
    pub planned_end: Option<(Instant, RunOutcome)>,
}

impl FakeRun {
    /// Progress in percent; for a long-running task 0 until its start-up time is over, then 100.
    pub fn percent(&self, now: Instant) -> u64 {
        let elapsed = now - self.started_at;
        let duration = self.planned_end.map_or(STARTUP_MS, |(end, _)| {
            u64::try_from((end - self.started_at).as_millis()).expect("milliseconds exceed u64")
        });
        let percent = elapsed.as_millis() * 100 / u128::from(duration.max(1));
        let percent = u64::try_from(percent.min(100)).expect("percentage exceeds u64");
        if self.planned_end.is_none() && percent < 100 {
            return 0;
        }
        percent
    }
}

/// An in-memory executor.
#[derive(Debug)]
pub struct FakeExecutor {
    /// Where it takes orders.
    pub addr: SocketAddr,
    pub capacity: Resources,
    pub started_at: Instant,
    /// Start time in Unix milliseconds.
    pub born: u64,
    /// Highest fence seen in an order.
    pub fence: u64,
    /// When all runs lapse unless renewed.
    pub lease: Option<Instant>,
    pub runs: BTreeMap<TaskId, FakeRun>,
    /// Ended runs that no owner has acknowledged.
    pub unacked_ends: Vec<RunEnd>,
    /// Sequence number of the last ended run.
    pub end_number: u64,
    /// Highest stopped or ended run of each task.
    pub highest_runs: BTreeMap<TaskId, u64>,
    /// It answers no orders.
    pub down: bool,
    /// Tail latency of the tasks that serve requests there, in milliseconds.
    pub tail_latency: u64,
    /// Rate of its clock, in percent.
    pub clock_percent: u32,
    /// Longest lease, in milliseconds on its clock; a longer one is shortened.
    pub lease_limit: u64,
}

impl FakeExecutor {
    pub fn new(capacity: Resources, now: Now) -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            capacity,
            started_at: now.at,
            born: now.unix,
            fence: 0,
            lease: None,
            runs: BTreeMap::new(),
            unacked_ends: Vec::new(),
            end_number: 0,
            highest_runs: BTreeMap::new(),
            down: false,
            tail_latency: 0,
            clock_percent: 100,
            lease_limit: LEASE_LIMIT_MS,
        }
    }

    /// Its own clock, in milliseconds.
    pub fn clock(&self, now: Instant) -> u64 {
        let elapsed = (now - self.started_at) * self.clock_percent / 100;
        u64::try_from(elapsed.as_millis()).expect("milliseconds exceed u64")
    }

    fn instant_at(&self, clock: u64) -> Instant {
        self.started_at + Duration::from_millis(clock) * 100 / self.clock_percent
    }

    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for fake_run in self.runs.values() {
            used.add(&fake_run.demand);
        }
        used
    }

    fn record_end(&mut self, task: TaskId, run: u64, outcome: RunOutcome) {
        self.end_number += 1;
        self.runs.remove(&task);
        self.highest_runs.insert(task, run);
        self.unacked_ends.push(RunEnd {
            number: self.end_number,
            task,
            run,
            outcome,
            saved: None,
        });
    }

    /// Ends the runs that are due, or all if the lease has expired; returns them.
    pub fn advance(&mut self, now: Instant) -> Vec<(TaskId, u64, RunOutcome)> {
        let expired = self.lease.is_some_and(|lease| lease <= now);
        let due = self.runs.iter().filter_map(|(task, fake_run)| {
            if expired {
                return Some((*task, fake_run.run, RunOutcome::Lapsed));
            }
            let (at, outcome) = fake_run.planned_end?;
            (at <= now).then_some((*task, fake_run.run, outcome))
        });
        let due: Vec<(TaskId, u64, RunOutcome)> = due.collect();
        for &(task, run, outcome) in &due {
            self.record_end(task, run, outcome);
        }
        due
    }

    fn check_fence(&mut self, fence: u64) -> Result<(), OrderError> {
        if fence < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = fence;
        Ok(())
    }

    fn extend_lease(&mut self, now: Instant, deadline: u64) {
        let longest = self.clock(now) + self.lease_limit;
        let until = self.instant_at(deadline.min(longest));
        self.lease = Some(self.lease.map_or(until, |lease| lease.max(until)));
    }

    pub fn heartbeat(&mut self, now: Instant, order: &Heartbeat) -> Result<Report, OrderError> {
        self.check_fence(order.target.token)?;
        if let Some(deadline) = order.deadline {
            self.extend_lease(now, deadline);
        }
        self.unacked_ends.retain(|end| end.number > order.acked);
        Ok(self.report(now))
    }

    /// Whether a task completed there, but the lease expired before an owner acknowledged it. Such
    /// a completion does not count, and the task may run again.
    pub fn has_lost_end(&self, now: Instant, task: &TaskId) -> bool {
        let done = |end: &RunEnd| end.task == *task && end.outcome == RunOutcome::Done;
        self.unacked_ends.iter().any(done) && self.lease.is_some_and(|lease| lease <= now)
    }

    /// Reports its runs.
    pub fn report(&self, now: Instant) -> Report {
        let running = self.runs.iter().map(|(task, fake_run)| Running {
            task: *task,
            run: fake_run.run,
            saved: None,
            percent: fake_run.percent(now),
            measured: self.tail_latency,
        });
        Report {
            clock: self.clock(now),
            born: Some(self.born),
            running: running.collect(),
            ended: self.unacked_ends.iter().take(ENDS_LIMIT).cloned().collect(),
            more_ends: self.unacked_ends.len() >= ENDS_LIMIT,
        }
    }

    pub fn start(
        &mut self,
        now: Instant,
        order: &Start,
        demand: Resources,
        planned_end: Option<(Instant, RunOutcome)>,
    ) -> Result<StartAnswer, OrderError> {
        self.check_fence(order.target.token)?;
        self.extend_lease(now, order.deadline);
        if self
            .runs
            .get(&order.task)
            .is_some_and(|fake_run| fake_run.run == order.run)
        {
            return Ok(self.start_answer(now));
        }
        let highest = self.highest_runs.get(&order.task).copied().unwrap_or(0);
        if order.run <= highest {
            return Err(OrderError::Old);
        }
        if self.instant_at(order.deadline) <= now {
            return Err(OrderError::Late);
        }
        if !demand.fits(&self.used(), &self.capacity) {
            return Err(OrderError::Full);
        }
        let fake_run = FakeRun {
            run: order.run,
            demand,
            started_at: now,
            planned_end,
        };
        self.runs.insert(order.task, fake_run);
        Ok(self.start_answer(now))
    }

    fn start_answer(&self, now: Instant) -> StartAnswer {
        StartAnswer {
            clock: Some(self.clock(now)),
        }
    }

    pub fn stop(&mut self, now: Instant, order: &Stop) -> Result<(), OrderError> {
        self.check_fence(order.target.token)?;
        let highest = self.highest_runs.entry(order.task).or_default();
        *highest = (*highest).max(order.run);
        if let Some(fake_run) = self.runs.get_mut(&order.task)
            && fake_run.run == order.run
        {
            let at = now + Duration::from_millis(STOP_MS);
            fake_run.planned_end = Some((at, RunOutcome::Stopped));
        }
        Ok(())
    }
}
