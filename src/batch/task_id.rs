//! Task and step ids.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::JobId;

quick_error! {
    /// Why a text is not a task id.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum TaskIdError {
        /// Not a job id and three numbers, separated by dots.
        Malformed {
            display("a task id has the form JOB.OCCURRENCE.STEP.INDEX")
        }
    }
}

/// Id of a task, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence, counted from 0.
    pub occurrence: u32,
    /// Index of the step within the job, counted from 0.
    pub step: u32,
    /// Index of the task within the step, counted from 0.
    pub index: u32,
}

/// Id of a step in one occurrence of a job, written `JOB.OCCURRENCE.STEP`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence, counted from 0.
    pub occurrence: u32,
    /// Index of the step within the job, counted from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        write!(f, "{job}.{occurrence}.{step}")
    }
}

impl StepId {
    /// Id of the task with that index.
    #[must_use]
    pub const fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl TaskId {
    /// Id of the step that the task belongs to.
    #[must_use]
    pub const fn of_step(&self) -> StepId {
        StepId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, TaskIdError> {
        let mut parts = text.split('.');
        let job = parts.next().and_then(|part| part.parse().ok());
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let (occurrence, step, index) = (number(), number(), number());
        let (Some(job), Some(occurrence), Some(step), Some(index), None) =
            (job, occurrence, step, index, parts.next())
        else {
            return Err(TaskIdError::Malformed);
        };
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}
