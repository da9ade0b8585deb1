//! Snapshots of jobs, written to the log before their earlier records expire.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::JOB_TASK_LIMIT;
use crate::batch::Job;
use crate::batch::JobProgress;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::batch::RunEnd;
use crate::batch::RunOutcome;
use crate::batch::StepId;
use crate::batch::TaskId;
use crate::batch::job_progress::AbortReason;
use crate::batch::step_progress::StepProgress;
use crate::batch::task_progress::TaskProgress;

/// Upper bounds of the sizes of the parts of an outline that the record of an acceptance lacks, in
/// bytes: of its head, and for each occurrence and step.
const HEAD_BYTES: usize = 32;
const OCCURRENCE_BYTES: usize = 8;
const STEP_BYTES: usize = 2;

/// Snapshot of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskSnapshot {
    done: bool,
    failed: Vec<u64>,
    ended: u64,
    saved: Option<Arc<str>>,
}

/// Snapshot of a step; without tasks in an outline, where their state is that of a new step.
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
    /// Returns the records that restore a job as it is at `unix` (in milliseconds), of at most `limit`
    /// bytes each. A job that was accepted with [`Self::outline_size`] bytes to spare has some.
    #[must_use]
    pub fn records(job_progress: &JobProgress, unix: u64, limit: usize) -> Vec<Record> {
        let whole = Record::JobSnapshot(Box::new(Self::new(job_progress, unix)));
        if whole.encode().is_ok_and(|bytes| bytes.len() <= limit) {
            return vec![whole];
        }
        let outline = Self::new(job_progress, unix).into_outline();
        let mut records = vec![Record::JobOutline(Box::new(outline))];
        records.extend(Record::of_ends(ends_of(job_progress), limit));
        records
    }

    /// Upper bound of the bytes by which the outline of a job exceeds the record of its acceptance.
    #[must_use]
    pub fn outline_size(job: &Job) -> usize {
        let tasks = job.tasks().max(1);
        let count = job.schedule.map_or(1, |schedule| schedule.count.max(1));
        let open = (JOB_TASK_LIMIT / tasks).clamp(1, u64::from(count));
        let open = usize::try_from(open).unwrap_or(usize::MAX);
        HEAD_BYTES + open * (OCCURRENCE_BYTES + job.steps.len() * STEP_BYTES)
    }

    /// Leaves out the state of the tasks.
    fn into_outline(mut self) -> Self {
        for step in self.occurrences.values_mut().flatten() {
            step.tasks.clear();
            step.failed.clear();
        }
        self
    }

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
        let counts: Vec<u32> = snapshot.job.steps.iter().map(|step| step.count).collect();
        let occurrences = snapshot.occurrences.into_iter().map(|(number, steps)| {
            let steps = steps.into_iter().zip(&counts);
            let steps = steps.map(|(step, &count)| step.restore(count)).collect();
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

impl StepSnapshot {
    /// State of a step of `count` tasks.
    fn restore(self, count: u32) -> StepProgress {
        if self.tasks.is_empty() {
            return StepProgress::new(count);
        }
        let tasks: Vec<TaskProgress> = self.tasks.into_iter().map(TaskProgress::from).collect();
        let done = tasks.iter().filter(|task| task.done).count();
        StepProgress {
            done: u32::try_from(done).unwrap_or(u32::MAX),
            failed: self.failed.into_iter().collect(),
            tasks,
        }
    }
}

/// Ends of runs that bring the tasks of a job from their first state to the present one. Applying
/// them again changes nothing.
fn ends_of(job_progress: &JobProgress) -> Vec<RunEnd> {
    let mut ends = Vec::new();
    for (&occurrence, steps) in &job_progress.occurrences {
        for (step, progress) in steps.iter().enumerate() {
            let step_id = StepId {
                job: job_progress.job.id,
                occurrence,
                step: u32::try_from(step).unwrap_or(u32::MAX),
            };
            let long_running = job_progress.job.steps[step].long_running;
            let gang_failures = progress.failed.iter();
            ends.extend(gang_failures.map(|&run| end_of(step_id.task(0), run, RunOutcome::Failed)));
            for (index, task) in progress.tasks.iter().enumerate() {
                let id = step_id.task(u32::try_from(index).unwrap_or(u32::MAX));
                ends.extend(ends_of_task(id, task, long_running));
            }
        }
    }
    ends
}

fn ends_of_task(id: TaskId, task: &TaskProgress, long_running: bool) -> Vec<RunEnd> {
    let failures = task.failed.iter();
    let mut ends: Vec<RunEnd> = failures
        .map(|&run| end_of(id, run, RunOutcome::Failed))
        .collect();
    if task.done && !long_running {
        ends.push(end_of(id, task.ended, RunOutcome::Done));
    } else if task.ended > 0 && !task.failed.contains(&task.ended) {
        ends.push(end_of(id, task.ended, RunOutcome::Stopped));
    }
    for end in &mut ends {
        if end.run == task.ended {
            end.saved.clone_from(&task.saved);
        }
    }
    ends
}

const fn end_of(task: TaskId, run: u64, outcome: RunOutcome) -> RunEnd {
    RunEnd {
        number: 0,
        task,
        run,
        outcome,
        saved: None,
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
