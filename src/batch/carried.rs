//! Jobs as they are written to the log again, before their first records expire.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Cells;
use crate::batch::Entry;
use crate::batch::Job;
use crate::batch::entry::Verdict;
use crate::batch::stage::Stage;
use crate::batch::task::Task;

/// How far a task is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CarriedTask {
    done: bool,
    failed: Vec<u64>,
    ended: u64,
    saved: Option<Arc<str>>,
}

/// How far a step is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CarriedStage {
    tasks: Vec<CarriedTask>,
    failed: Vec<u64>,
}

/// A job and how far it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    job: Job,
    /// When it was written, in Unix milliseconds.
    at: u64,
    opened: u32,
    started: bool,
    /// Its tasks may have been started, on any executor.
    claimed: bool,
    verdict: Option<Verdict>,
    occurrences: BTreeMap<u32, Vec<CarriedStage>>,
}

impl Carried {
    /// A job as it stands at `unix` (in milliseconds).
    #[must_use]
    pub fn new(entry: &Entry, unix: u64) -> Self {
        let occurrences = entry.occurrences.iter().map(|(&number, stages)| {
            let stages = stages.iter().map(CarriedStage::from).collect();
            (number, stages)
        });
        Self {
            job: (*entry.job).clone(),
            at: unix,
            opened: entry.opened,
            started: entry.started,
            claimed: !entry.cells.is_empty(),
            verdict: entry.verdict,
            occurrences: occurrences.collect(),
        }
    }
}

impl From<Carried> for Entry {
    fn from(carried: Carried) -> Self {
        let occurrences = carried.occurrences.into_iter().map(|(number, stages)| {
            let stages = stages.into_iter().map(Stage::from).collect();
            (number, stages)
        });
        Self {
            occurrences: occurrences.collect(),
            opened: carried.opened,
            started: carried.started,
            cells: if carried.claimed {
                Cells::ALL
            } else {
                Cells::NONE
            },
            written: carried.at,
            verdict: carried.verdict,
            ..Self::new(carried.job)
        }
    }
}

impl From<&Stage> for CarriedStage {
    fn from(stage: &Stage) -> Self {
        Self {
            tasks: stage.tasks.iter().map(CarriedTask::from).collect(),
            failed: stage.failed.iter().copied().collect(),
        }
    }
}

impl From<CarriedStage> for Stage {
    fn from(carried: CarriedStage) -> Self {
        let tasks: Vec<Task> = carried.tasks.into_iter().map(Task::from).collect();
        let done = tasks.iter().filter(|task| task.done).count();
        Self {
            done: u32::try_from(done).unwrap_or(u32::MAX),
            failed: carried.failed.into_iter().collect(),
            tasks,
        }
    }
}

impl From<&Task> for CarriedTask {
    fn from(task: &Task) -> Self {
        Self {
            done: task.done,
            failed: task.failed.iter().copied().collect(),
            ended: task.ended,
            saved: task.saved.clone(),
        }
    }
}

impl From<CarriedTask> for Task {
    fn from(carried: CarriedTask) -> Self {
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
