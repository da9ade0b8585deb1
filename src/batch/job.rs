//! Jobs as submitted by clients.

use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::JobId;
use crate::batch::Step;
use crate::name::QueueName;
use crate::name::ServiceName;
use crate::name::TeamName;

/// Maximum length of a job's specification, in bytes.
pub const SPEC_LIMIT: usize = 4_000;
/// Maximum number of steps in a job.
pub const STEP_LIMIT: usize = 1_000;
/// Maximum number of tasks in a step.
pub const TASK_LIMIT: u32 = 10_000;
/// Maximum number of tasks of a job that are open at a time, so that a snapshot of the job fits
/// into one log record.
pub const JOB_TASK_LIMIT: u64 = 4_000;
/// Maximum number of occurrences of a job.
pub const OCCURRENCE_LIMIT: u32 = 100_000;
/// Maximum demand of a task in each resource. No host has as much.
pub const DEMAND_LIMIT: u64 = u32::MAX as u64;

quick_error! {
    /// Why a job is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobError {
        /// The specification is too long.
        Spec(len: usize) {
            display("`spec` has {} bytes, at most {} are allowed", len, SPEC_LIMIT)
        }
        /// The job has no steps, or too many.
        Steps(len: usize) {
            display("a job has 1 to {} steps, this one has {}", STEP_LIMIT, len)
        }
        /// A step has no tasks, or too many.
        Count(step: usize, count: u32) {
            display("step {}: a step has 1 to {} tasks, this one has {}", step, TASK_LIMIT, count)
        }
        /// The steps have too many tasks in total.
        Tasks(count: u64) {
            display("a job has at most {} tasks, this one has {}", JOB_TASK_LIMIT, count)
        }
        /// A step depends on itself, on a later step or on one that doesn't exist.
        After(step: usize, other: u32) {
            display("step {} can't wait for step {}: only earlier steps can be waited for", step, other)
        }
        /// A task of a step needs more than any host has.
        Demand(step: usize) {
            display("step {}: a task needs at most {} of each resource", step, DEMAND_LIMIT)
        }
        /// The schedule has too many occurrences.
        Occurrences(count: u32) {
            display("a job occurs at most {} times, not {}", OCCURRENCE_LIMIT, count)
        }
    }
}

/// When a job's occurrences are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences; 0 counts as 1.
    pub count: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub start: u64,
    /// Time between two occurrences, in milliseconds.
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

/// A job with its steps, as submitted by its client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Chosen by the client; a repeated submission has the same id.
    pub id: JobId,
    /// Queue that it was submitted to.
    pub queue: QueueName,
    /// Service whose executors run it.
    pub service: ServiceName,
    /// Team whose key was sent with it, if any.
    pub team: Option<TeamName>,
    /// Passed to its tasks unchanged; at most [`SPEC_LIMIT`] bytes.
    pub spec: Arc<str>,
    /// Steps, in an order in which each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Number of failed runs of a task at which the job fails; 0 counts as 1.
    pub attempts: u32,
    /// When its occurrences are due; `None` if it is to run once, at once.
    pub schedule: Option<Schedule>,
    /// When it was submitted, in Unix milliseconds.
    pub accepted: u64,
}

impl Job {
    /// Checks the limits and the dependencies of the steps.
    ///
    /// # Errors
    /// A [`JobError`] for the first violation.
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

    /// Number of tasks in one occurrence.
    #[must_use]
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Work of one occurrence by the estimates, in core-milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        let works = self.steps.iter().map(|step| step.work(step.count));
        works.fold(0, u64::saturating_add)
    }

    /// Whether any of its tasks runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Duration of the longest chain of dependent steps by their estimates, in milliseconds.
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
    let demand = step.demand;
    if demand.cpu.max(demand.memory).max(demand.gpu) > DEMAND_LIMIT {
        return Err(JobError::Demand(number));
    }
    match step.after.iter().find(|&&other| other as usize >= number) {
        Some(&other) => Err(JobError::After(number, other)),
        None => Ok(()),
    }
}
