//! Snapshots of jobs, written to the log before their earlier records expire.

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

/// Snapshot of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskSnapshot {
    done: bool,
    failed: Vec<u64>,
    ended: u64,
    saved: Option<Arc<str>>,
}

/// Snapshot of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepSnapshot {
    tasks: Vec<TaskSnapshot>,
    failed: Vec<u64>,
}

/// Snapshot of a job and the state of its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    job: Job,
    /// When the snapshot was taken, in Unix milliseconds.
    at: u64,
    opened: u32,
    started: bool,
    /// Whether any partitions were granted to it; if so, [`Partitions::ALL`] are restored.
    claimed: bool,
    #[serde(rename = "verdict")]
    abort: Option<AbortReason>,
    occurrences: BTreeMap<u32, Vec<StepSnapshot>>,
}

impl JobSnapshot {
    /// Snapshot of a job at `unix` (in milliseconds).
    #[must_use]
    pub fn new(job_progress: &JobProgress, unix: u64) -> Self {
        let occurrences = job_progress.occurrences.iter().map(|(&number, steps)| {
            let steps = steps.iter().map(StepSnapshot::from).collect();
            (number, steps)
        });
        Self {
            job: (*job_progress.job).clone(),
            at: unix,
            opened: job_progress.opened,
            started: job_progress.started,
            claimed: !job_progress.partitions.is_empty(),
            abort: job_progress.abort,
            occurrences: occurrences.collect(),
        }
    }
}

impl From<JobSnapshot> for JobProgress {
    fn from(snapshot: JobSnapshot) -> Self {
        let occurrences = snapshot.occurrences.into_iter().map(|(number, steps)| {
            let steps = steps.into_iter().map(StepProgress::from).collect();
            (number, steps)
        });
        Self {
            occurrences: occurrences.collect(),
            opened: snapshot.opened,
            started: snapshot.started,
            partitions: if snapshot.claimed {
                Partitions::ALL
            } else {
                Partitions::NONE
            },
            written: snapshot.at,
            abort: snapshot.abort,
            ..Self::new(snapshot.job)
        }
    }
}

impl From<&StepProgress> for StepSnapshot {
    fn from(progress: &StepProgress) -> Self {
        Self {
            tasks: progress.tasks.iter().map(TaskSnapshot::from).collect(),
            failed: progress.failed.iter().copied().collect(),
        }
    }
}

impl From<StepSnapshot> for StepProgress {
    fn from(snapshot: StepSnapshot) -> Self {
        let tasks: Vec<TaskProgress> = snapshot.tasks.into_iter().map(TaskProgress::from).collect();
        let done = tasks.iter().filter(|task| task.done).count();
        Self {
            done: u32::try_from(done).unwrap_or(u32::MAX),
            failed: snapshot.failed.into_iter().collect(),
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
    fn from(snapshot: TaskSnapshot) -> Self {
        Self {
            done: snapshot.done,
            failed: snapshot.failed.into_iter().collect(),
            run: snapshot.ended,
            ended: snapshot.ended,
            saved: snapshot.saved,
            placed: None,
            avoided: None,
        }
    }
}
