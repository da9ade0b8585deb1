//! Jobs as they are written to the log again, before their first records expire.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Job;
use crate::batch::JobProgress;
use crate::batch::Partitions;
use crate::batch::job_progress::AbortReason;
use crate::batch::step_progress::StepProgress;
use crate::batch::task_progress::TaskProgress;

/// How far a task is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskSnapshot {
    done: bool,
    failed: Vec<u64>,
    ended: u64,
    saved: Option<Arc<str>>,
}

/// How far a step is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepSnapshot {
    tasks: Vec<TaskSnapshot>,
    failed: Vec<u64>,
}

/// A job and how far it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    job: Job,
    /// When it was written, in Unix milliseconds.
    at: u64,
    opened: u32,
    started: bool,
    /// Its tasks may have been started, on any executor.
    claimed: bool,
    #[serde(rename = "verdict")]
    abort: Option<AbortReason>,
    occurrences: BTreeMap<u32, Vec<StepSnapshot>>,
}

impl JobSnapshot {
    /// A job as it stands at `unix` (in milliseconds).
    #[must_use]
    pub fn new(entry: &JobProgress, unix: u64) -> Self {
        let occurrences = entry.occurrences.iter().map(|(&number, stages)| {
            let stages = stages.iter().map(StepSnapshot::from).collect();
            (number, stages)
        });
        Self {
            job: (*entry.job).clone(),
            at: unix,
            opened: entry.opened,
            started: entry.started,
            claimed: !entry.partitions.is_empty(),
            abort: entry.abort,
            occurrences: occurrences.collect(),
        }
    }
}

impl From<JobSnapshot> for JobProgress {
    fn from(carried: JobSnapshot) -> Self {
        let occurrences = carried.occurrences.into_iter().map(|(number, stages)| {
            let stages = stages.into_iter().map(StepProgress::from).collect();
            (number, stages)
        });
        Self {
            occurrences: occurrences.collect(),
            opened: carried.opened,
            started: carried.started,
            partitions: if carried.claimed {
                Partitions::ALL
            } else {
                Partitions::NONE
            },
            written: carried.at,
            abort: carried.abort,
            ..Self::new(carried.job)
        }
    }
}

impl From<&StepProgress> for StepSnapshot {
    fn from(stage: &StepProgress) -> Self {
        Self {
            tasks: stage.tasks.iter().map(TaskSnapshot::from).collect(),
            failed: stage.failed.iter().copied().collect(),
        }
    }
}

impl From<StepSnapshot> for StepProgress {
    fn from(carried: StepSnapshot) -> Self {
        let tasks: Vec<TaskProgress> = carried.tasks.into_iter().map(TaskProgress::from).collect();
        let done = tasks.iter().filter(|task| task.done).count();
        Self {
            done: u32::try_from(done).unwrap_or(u32::MAX),
            failed: carried.failed.into_iter().collect(),
            tasks,
        }
    }
}

impl From<&TaskProgress> for TaskSnapshot {
    fn from(task: &TaskProgress) -> Self {
        Self {
            done: task.done,
            failed: task.failed.iter().copied().collect(),
            ended: task.ended,
            saved: task.saved.clone(),
        }
    }
}

impl From<TaskSnapshot> for TaskProgress {
    fn from(carried: TaskSnapshot) -> Self {
        Self {
            done: carried.done,
            failed: carried.failed.into_iter().collect(),
            run: carried.ended,
            ended: carried.ended,
            saved: carried.saved,
            placed: None,
        }
    }
}
