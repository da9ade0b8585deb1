//! Jobs that clients hand in.

use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::JobId;
use crate::batch::Step;
use crate::name::QueueName;
use crate::name::ServiceName;
use crate::name::TeamName;

/// Longest specification, in bytes.
pub const SPEC_LIMIT: usize = 4_000;
/// Most steps of a job.
pub const STEP_LIMIT: usize = 1_000;
/// Most tasks of a step.
pub const TASK_LIMIT: u32 = 10_000;
/// Most tasks of a job at a time: what is written again of them fits in one record of the log.
pub const JOB_TASK_LIMIT: u64 = 4_000;
/// Most occurrences of a job.
pub const OCCURRENCE_LIMIT: u32 = 100_000;

quick_error! {
    /// Why a job is not accepted, ever.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobError {
        /// The specification is too long.
        Spec(len: usize) {
            display("`spec` has {} bytes, at most {} are allowed", len, SPEC_LIMIT)
        }
        /// No steps, or too many.
        Steps(len: usize) {
            display("a job has 1 to {} steps, this one has {}", STEP_LIMIT, len)
        }
        /// No tasks in a step, or too many.
        Count(step: usize, count: u32) {
            display("step {}: a step has 1 to {} tasks, this one has {}", step, TASK_LIMIT, count)
        }
        /// Too many tasks in all steps.
        Tasks(count: u64) {
            display("a job has at most {} tasks, this one has {}", JOB_TASK_LIMIT, count)
        }
        /// A step waits for itself, a later step or none that exists.
        After(step: usize, other: u32) {
            display("step {} can't wait for step {}: only earlier steps can be waited for", step, other)
        }
        /// Too many occurrences.
        Occurrences(count: u32) {
            display("a job occurs at most {} times, not {}", OCCURRENCE_LIMIT, count)
        }
    }
}

/// When a job's occurrences are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// When the first is due, in Unix milliseconds.
    pub start: u64,
    /// Time from one to the next, in milliseconds.
    pub interval: u64,
}

impl Schedule {
    /// When an occurrence is due, in Unix milliseconds.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> u64 {
        let offset = self.interval.saturating_mul(u64::from(occurrence));
        self.start.saturating_add(offset)
    }
}

/// A job with its steps, as its client handed it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Queue that it was handed in to.
    pub queue: QueueName,
    /// Service whose executors run it.
    pub service: ServiceName,
    /// Team whose key came with it, if any.
    pub team: Option<TeamName>,
    /// What its tasks are told.
    pub spec: Arc<str>,
    /// Its steps; none waits for a later one.
    pub steps: Vec<Step>,
    /// Runs of a task that may fail before the job does.
    pub attempts: u32,
    /// When it occurs, if it occurs more than once or later.
    pub schedule: Option<Schedule>,
    /// When it was handed in, in Unix milliseconds.
    pub accepted: u64,
}

impl Job {
    /// Checks what a client may get wrong.
    ///
    /// # Errors
    /// A [`JobError`] that names the fault.
    pub fn check(&self) -> Result<(), JobError> {
        if self.spec.len() > SPEC_LIMIT {
            return Err(JobError::Spec(self.spec.len()));
        }
        if self.steps.is_empty() || self.steps.len() > STEP_LIMIT {
            return Err(JobError::Steps(self.steps.len()));
        }
        if let Some(schedule) = self.schedule
            && schedule.count > OCCURRENCE_LIMIT
        {
            return Err(JobError::Occurrences(schedule.count));
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        let tasks = self.tasks();
        if tasks > JOB_TASK_LIMIT {
            return Err(JobError::Tasks(tasks));
        }
        Ok(())
    }

    /// Number of its tasks, of one occurrence.
    #[must_use]
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Whether its tasks run until it is cancelled.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Time that its longest chain of steps takes by its estimates, in milliseconds.
    #[must_use]
    pub fn critical_path(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&n| ends.get(n as usize));
            let start = before.max().copied().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

fn check_step(number: usize, step: &Step) -> Result<(), JobError> {
    if step.count == 0 || step.count > TASK_LIMIT {
        return Err(JobError::Count(number, step.count));
    }
    match step.after.iter().find(|&&other| other as usize >= number) {
        Some(&other) => Err(JobError::After(number, other)),
        None => Ok(()),
    }
}
