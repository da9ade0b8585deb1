//! A run of a task on an executor.

use std::time::Duration;
use std::time::Instant;

use crate::batch::Job;
use crate::batch::Resources;
use crate::batch::Running;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::name::TeamName;

/// Time without progress after which a run counts as stalled, beside half of its estimate, in
/// milliseconds.
const STALL_MS: u64 = 2_000;

/// How far a run is, as far as its owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The order to start it is on its way.
    Starting,
    /// It runs, as was known at that time.
    Running(Instant),
    /// The order to start it got no answer by that time.
    Doubtful(Instant),
    /// It's to be stopped; the order is on its way.
    Stopping,
    /// The order to stop it was answered at that time.
    Stopped(Instant),
}

/// A run, and what it takes.
#[derive(Debug, Clone)]
pub struct RunState {
    /// How far it is.
    pub phase: Phase,
    /// What it takes off its executor's capacity.
    pub reserved: Resources,
    /// What it takes off its team's limit.
    pub demand: Resources,
    /// Its team.
    pub team: Option<TeamName>,
    /// When it was started.
    pub begun: Instant,
    /// Share of its work that is done, in hundredths; a task that lasts is at work at 100.
    pub percent: u64,
    /// When that share was last seen to rise.
    pub progressed: Instant,
    /// Over the last half second: tail of the response times of a task that serves, in
    /// milliseconds; processor in use by any other, in thousandths of a core.
    pub gauge: u64,
    /// Longest tail of a task that serves, in milliseconds.
    pub target: Option<u64>,
    /// It takes only what others leave.
    pub fills: bool,
    /// Share of its full speed at which it works, in hundredths.
    pub pace: u64,
    /// An order on its pace is on its way.
    pub pacing: bool,
    /// Rough duration of its work, in milliseconds.
    pub estimate: u64,
    /// It runs until it is stopped.
    pub lasting: bool,
}

impl RunState {
    /// A run of a task of `job`.
    #[must_use]
    pub fn of(job: &Job, task: &TaskId, phase: Phase, begun: Instant) -> Self {
        let step = job.steps.get(task.step as usize);
        Self {
            phase,
            reserved: step.map(Step::reserved).unwrap_or_default(),
            demand: step.map(|step| step.demand).unwrap_or_default(),
            team: job.team.clone(),
            begun,
            percent: 0,
            progressed: begun,
            gauge: 0,
            target: step.and_then(|step| step.target),
            fills: step.is_some_and(|step| step.fills),
            pace: 100,
            pacing: false,
            estimate: step.map_or(0, |step| step.estimate),
            lasting: step.is_some_and(|step| step.lasting),
        }
    }

    /// A run of a job that nobody knows.
    #[must_use]
    pub fn stray(begun: Instant) -> Self {
        Self {
            phase: Phase::Running(begun),
            reserved: Resources::default(),
            demand: Resources::default(),
            team: None,
            begun,
            percent: 0,
            progressed: begun,
            gauge: 0,
            target: None,
            fills: false,
            pace: 100,
            pacing: false,
            estimate: 0,
            lasting: false,
        }
    }

    /// Takes what its executor tells of it.
    pub const fn look(&mut self, now: Instant, run: &Running) {
        if run.percent != self.percent {
            self.progressed = now;
        }
        self.percent = run.percent;
        self.gauge = run.gauge;
    }

    /// Whether it has made no progress for too long. Tasks that last make none, and those that
    /// fill may get nothing.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let patience = Duration::from_millis(STALL_MS + self.estimate / 2);
        let running = matches!(self.phase, Phase::Running(_));
        running && !self.lasting && !self.fills && now >= self.progressed + patience
    }
}
