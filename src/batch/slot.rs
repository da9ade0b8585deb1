//! A run of a task on an executor.

use std::time::Instant;

use crate::batch::Demand;
use crate::batch::Job;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::name::TeamName;

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
pub struct Slot {
    /// How far it is.
    pub phase: Phase,
    /// What it takes off its executor's capacity.
    pub reserved: Demand,
    /// What it takes off its team's limit.
    pub demand: Demand,
    /// Its team.
    pub team: Option<TeamName>,
    /// When it was started.
    pub begun: Instant,
    /// Share of its work that is done, in hundredths; a task that lasts is at work at 100.
    pub percent: u64,
    /// It runs until it is stopped.
    pub lasting: bool,
}

impl Slot {
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
            lasting: step.is_some_and(|step| step.lasting),
        }
    }

    /// A run of a job that nobody knows.
    #[must_use]
    pub fn stray(begun: Instant) -> Self {
        Self {
            phase: Phase::Running(begun),
            reserved: Demand::default(),
            demand: Demand::default(),
            team: None,
            begun,
            percent: 0,
            lasting: false,
        }
    }
}
