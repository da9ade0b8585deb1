//! What is known of one job.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::JOB_TASK_LIMIT;
use crate::batch::Job;
use crate::batch::Partitions;
use crate::batch::RunEnd;
use crate::batch::RunOutcome;
use crate::batch::TaskId;
use crate::batch::remaining_work::RemainingWork;
use crate::batch::step_progress::StepProgress;
use crate::batch::task_progress::TaskProgress;

/// State of a job as clients see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// Some task has begun.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its client cancelled it.
    Cancelled,
}

/// Why a job is over before its tasks are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AbortReason {
    /// A task failed too often.
    Failed,
    /// Its client cancelled it.
    Cancelled,
}

/// A job and how far it is.
#[derive(Debug)]
pub struct JobProgress {
    /// The job.
    pub job: Rc<Job>,
    /// Its steps by occurrence, for those that are due and not done.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
    /// Number of occurrences that have become due.
    pub opened: u32,
    /// A task has begun.
    pub started: bool,
    /// Ends that are acted on, but not in the log yet.
    pub unlogged: u32,
    /// Where its tasks may be started, as the log says.
    pub partitions: Partitions,
    /// Where its tasks may have been started by an earlier owner.
    pub inherited: Partitions,
    /// Whether it is beyond its team's share, once that is known.
    pub over_share: Option<bool>,
    /// When it was last written to the log as a whole, in Unix milliseconds.
    pub written: u64,
    /// When it ended, in Unix milliseconds.
    pub closed: Option<u64>,
    /// Why it is over before its tasks are done, if it is.
    pub abort: Option<AbortReason>,
    /// What is left to do, if that was asked for since it last changed.
    pub(super) remaining: RefCell<Option<Rc<RemainingWork>>>,
}

impl JobProgress {
    /// A job that has just been accepted.
    #[must_use]
    pub fn new(job: Job) -> Self {
        Self {
            written: job.accepted,
            job: Rc::new(job),
            occurrences: BTreeMap::new(),
            opened: 0,
            started: false,
            unlogged: 0,
            partitions: Partitions::NONE,
            inherited: Partitions::NONE,
            over_share: None,
            closed: None,
            abort: None,
            remaining: RefCell::default(),
        }
    }

    /// What is left to do of it.
    #[must_use]
    pub fn remaining(&self) -> Rc<RemainingWork> {
        let mut remaining = self.remaining.borrow_mut();
        let remaining = remaining.get_or_insert_with(|| Rc::new(RemainingWork::of(self)));
        remaining.clone()
    }

    fn note_change(&mut self) {
        *self.remaining.get_mut() = None;
    }

    /// Number of its occurrences.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.job
            .schedule
            .map_or(1, |schedule| schedule.count.max(1))
    }

    /// Opens the occurrences that are due at `unix` (in milliseconds).
    pub fn open_due(&mut self, unix: u64) -> bool {
        let before = self.opened;
        while self.abort.is_none() && self.is_due(unix) && self.has_room() {
            self.open(self.opened);
            self.opened += 1;
        }
        self.opened > before
    }

    /// Whether another occurrence may be open beside those that are.
    fn has_room(&self) -> bool {
        let open = self.occurrences.len() as u64;
        self.opened < self.count() && (open == 0 || (open + 1) * self.job.tasks() <= JOB_TASK_LIMIT)
    }

    fn is_due(&self, unix: u64) -> bool {
        let schedule = self.job.schedule;
        schedule.is_none_or(|schedule| schedule.due(self.opened) <= unix)
    }

    fn open(&mut self, occurrence: u32) {
        self.note_change();
        let steps = &self.job.steps;
        let stages = || {
            steps
                .iter()
                .map(|step| StepProgress::new(step.count))
                .collect()
        };
        self.occurrences.entry(occurrence).or_insert_with(stages);
    }

    /// Its state as clients may see it: an end counts once it is in the log.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.abort {
            Some(AbortReason::Cancelled) => JobState::Cancelled,
            Some(AbortReason::Failed) if self.unlogged == 0 => JobState::Failed,
            None if self.is_done() && self.unlogged == 0 => JobState::Completed,
            _ if self.started => JobState::Running,
            _ => JobState::Queued,
        }
    }

    /// Whether all tasks of all occurrences are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.opened == self.count() && self.occurrences.is_empty()
    }

    /// Whether more tasks of it may be started.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.abort.is_none() && !self.is_done()
    }

    /// Cancels it, unless it is over.
    pub fn cancel(&mut self) {
        if self.is_active() {
            self.abort = Some(AbortReason::Cancelled);
        }
    }

    /// A task of it, if its occurrence is due and not done.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<&TaskProgress> {
        let stage = self
            .occurrences
            .get(&id.occurrence)?
            .get(id.step as usize)?;
        stage.tasks.get(id.index as usize)
    }

    /// Keeps the progress of a run.
    pub fn save(&mut self, id: &TaskId, saved: &Arc<str>) {
        if let Some(task) = self.find(id) {
            task.saved = Some(saved.clone());
        }
    }

    /// A task of it, to change.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut TaskProgress> {
        self.note_change();
        self.find(id)
    }

    fn find(&mut self, id: &TaskId) -> Option<&mut TaskProgress> {
        let stages = self.occurrences.get_mut(&id.occurrence)?;
        let stage = stages.get_mut(id.step as usize)?;
        stage.tasks.get_mut(id.index as usize)
    }

    /// Whether tasks of it may run unseen in some cells. An earlier owner may still start any of
    /// them on an executor that has not seen a later fence, whatever is seen to run elsewhere.
    #[must_use]
    pub fn may_run_unseen(&self, partitions: Partitions) -> bool {
        self.inherited.intersects(partitions)
    }

    /// Takes an end into account, once however often it is given; returns whether it was new.
    pub fn apply_end(&mut self, end: &RunEnd) -> bool {
        let attempts = self.job.attempts;
        self.started = true;
        self.open_up_to(end.task.occurrence);
        let gang = self.is_gang(&end.task);
        let lasting = self.is_lasting(&end.task);
        let Some(task) = self.task_mut(&end.task) else {
            return false;
        };
        if task.done {
            return false;
        }
        let latest = end.run > task.ended;
        task.ended = task.ended.max(end.run);
        task.run = task.run.max(end.run);
        if latest && end.saved.is_some() {
            task.saved.clone_from(&end.saved);
        }
        match end.outcome {
            RunOutcome::Done if lasting => latest,
            RunOutcome::Done => {
                self.finish(&end.task, gang);
                true
            }
            RunOutcome::Failed if !lasting => self.fail(end, gang, attempts),
            _ => latest,
        }
    }

    fn open_up_to(&mut self, occurrence: u32) {
        while self.opened <= occurrence && self.opened < self.count() {
            self.open(self.opened);
            self.opened += 1;
        }
    }

    fn is_gang(&self, id: &TaskId) -> bool {
        let step = self.job.steps.get(id.step as usize);
        step.is_some_and(|step| step.gang)
    }

    fn is_lasting(&self, id: &TaskId) -> bool {
        let step = self.job.steps.get(id.step as usize);
        step.is_some_and(|step| step.lasting)
    }

    fn finish(&mut self, id: &TaskId, gang: bool) {
        self.note_change();
        let Some(stages) = self.occurrences.get_mut(&id.occurrence) else {
            return;
        };
        let Some(stage) = stages.get_mut(id.step as usize) else {
            return;
        };
        for (index, task) in stage.tasks.iter_mut().enumerate() {
            if !task.done && (gang || index == id.index as usize) {
                task.done = true;
                stage.done += 1;
            }
        }
        if stages.iter().all(StepProgress::is_done) {
            self.occurrences.remove(&id.occurrence);
        }
    }

    /// Counts a failed run; returns whether it was not counted before.
    fn fail(&mut self, end: &RunEnd, gang: bool, attempts: u32) -> bool {
        let Some(stages) = self.occurrences.get_mut(&end.task.occurrence) else {
            return false;
        };
        let Some(stage) = stages.get_mut(end.task.step as usize) else {
            return false;
        };
        let failed = if gang {
            &mut stage.failed
        } else {
            &mut stage.tasks[end.task.index as usize].failed
        };
        let fresh = failed.insert(end.run);
        if failed.len() >= attempts.max(1) as usize && self.abort.is_none() {
            self.abort = Some(AbortReason::Failed);
        }
        fresh
    }
}
