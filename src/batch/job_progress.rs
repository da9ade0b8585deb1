//! Execution state of one job.

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
use crate::batch::Schedule;
use crate::batch::TaskId;
use crate::batch::remaining_work::RemainingWork;
use crate::batch::step_progress::StepProgress;
use crate::batch::task_progress::TaskProgress;

/// State of a job as clients see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Its client cancelled it.
    Cancelled,
}

/// Why a job ended before all its tasks were done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AbortReason {
    /// A task used up its attempts.
    Failed,
    /// Its client cancelled it.
    Cancelled,
}

/// A job and the state of its tasks.
#[derive(Debug)]
pub struct JobProgress {
    /// The job as submitted.
    pub job: Rc<Job>,
    /// Steps of the occurrences that are due and not done, by occurrence.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
    /// Number of occurrences opened so far.
    pub opened: u32,
    /// Whether any task has started.
    pub started: bool,
    /// When its first task was started by this owner, in Unix milliseconds.
    pub first_start: Option<u64>,
    /// When its latest task was started by this owner, in Unix milliseconds.
    pub last_start: Option<u64>,
    /// Number of run ends that are applied here but not yet in the log.
    pub unlogged: u32,
    /// Partitions in which its tasks may be started, according to the log.
    pub partitions: Partitions,
    /// Partitions in which an earlier owner may have started its tasks.
    pub inherited: Partitions,
    /// Whether it exceeds its team's share; `None` until that has been determined.
    pub over_share: Option<bool>,
    /// When its first record or latest snapshot was written, in Unix milliseconds.
    pub written: u64,
    /// When it ended, in Unix milliseconds; `None` while it has not.
    pub ended_at: Option<u64>,
    /// Why it ended early, if it did.
    pub abort: Option<AbortReason>,
    /// Cached remaining work; cleared by each change.
    pub(super) remaining: RefCell<Option<Rc<RemainingWork>>>,
}

impl JobProgress {
    /// State of a job that has just been accepted.
    #[must_use]
    pub fn new(job: Job) -> Self {
        Self {
            written: job.accepted,
            job: Rc::new(job),
            occurrences: BTreeMap::new(),
            opened: 0,
            started: false,
            first_start: None,
            last_start: None,
            unlogged: 0,
            partitions: Partitions::NONE,
            inherited: Partitions::NONE,
            over_share: None,
            ended_at: None,
            abort: None,
            remaining: RefCell::default(),
        }
    }

    /// Remaining work; computed on the first call after a change.
    #[must_use]
    pub fn remaining(&self) -> Rc<RemainingWork> {
        let mut remaining = self.remaining.borrow_mut();
        let remaining = remaining.get_or_insert_with(|| Rc::new(RemainingWork::of(self)));
        remaining.clone()
    }

    fn invalidate(&mut self) {
        *self.remaining.get_mut() = None;
    }

    /// Number of occurrences in total, at least 1.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.job
            .schedule
            .map_or(1, |schedule| schedule.count.max(1))
    }

    /// Whether a start of any of its tasks has been ordered.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.started || self.first_start.is_some()
    }

    /// Opens the occurrences that are due at `unix` (in milliseconds), as far as the limit on
    /// tasks allows; returns whether it opened any.
    pub fn open_due(&mut self, unix: u64) -> bool {
        let before = self.opened;
        while self.can_open(unix) {
            self.open(self.opened);
            self.opened += 1;
        }
        self.opened > before
    }

    /// Whether another occurrence is due at `unix` (in milliseconds) and has room.
    #[must_use]
    pub fn can_open(&self, unix: u64) -> bool {
        self.abort.is_none() && self.is_due(unix) && self.has_room()
    }

    /// Returns when the next occurrence that is not open yet is due, in Unix milliseconds; `None` if
    /// there is none.
    #[must_use]
    pub fn next_due(&self) -> Option<u64> {
        let left = self.abort.is_none() && self.opened < self.count();
        let due = |schedule: Schedule| schedule.due(self.opened);
        left.then(|| self.job.schedule.map_or(0, due))
    }

    /// Whether another occurrence may be opened beside those that already are.
    fn has_room(&self) -> bool {
        let open = self.occurrences.len() as u64;
        self.opened < self.count() && (open == 0 || (open + 1) * self.job.tasks() <= JOB_TASK_LIMIT)
    }

    fn is_due(&self, unix: u64) -> bool {
        let schedule = self.job.schedule;
        schedule.is_none_or(|schedule| schedule.due(self.opened) <= unix)
    }

    fn open(&mut self, occurrence: u32) {
        self.invalidate();
        let steps = &self.job.steps;
        let new_steps = || {
            steps
                .iter()
                .map(|step| StepProgress::new(step.count))
                .collect()
        };
        self.occurrences.entry(occurrence).or_insert_with(new_steps);
    }

    /// State as reported to clients: the end of a run counts once it is in the log.
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

    /// Whether tasks of it may still be started.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.abort.is_none() && !self.is_done()
    }

    /// Cancels the job unless it has already ended.
    pub fn cancel(&mut self) {
        if self.is_active() {
            self.abort = Some(AbortReason::Cancelled);
        }
    }

    /// State of a task, if its occurrence is open.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<&TaskProgress> {
        let progress = self
            .occurrences
            .get(&id.occurrence)?
            .get(id.step as usize)?;
        progress.tasks.get(id.index as usize)
    }

    /// Stores the saved progress of a task.
    pub fn save(&mut self, id: &TaskId, saved: &Arc<str>) {
        if let Some(task) = self.find(id) {
            task.saved = Some(saved.clone());
        }
    }

    /// State of a task, to be modified; clears the cached remaining work.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut TaskProgress> {
        self.invalidate();
        self.find(id)
    }

    fn find(&mut self, id: &TaskId) -> Option<&mut TaskProgress> {
        let steps = self.occurrences.get_mut(&id.occurrence)?;
        let progress = steps.get_mut(id.step as usize)?;
        progress.tasks.get_mut(id.index as usize)
    }

    /// Whether its tasks may run undetected in any of these partitions. An earlier owner can still
    /// start any of them on an executor that has not seen a later fence, even if a run of the same
    /// task is known elsewhere.
    #[must_use]
    pub fn may_run_unseen(&self, partitions: Partitions) -> bool {
        self.inherited.intersects(partitions)
    }

    /// Applies the end of a run. Repeats have no effect; returns whether the end was new.
    pub fn apply_end(&mut self, end: &RunEnd) -> bool {
        let attempts = self.job.attempts;
        self.started = true;
        self.open_up_to(end.task.occurrence);
        let gang = self.is_gang(&end.task);
        let long_running = self.is_long_running(&end.task);
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
            RunOutcome::Done if long_running => latest,
            RunOutcome::Done => {
                self.finish(&end.task, gang);
                true
            }
            RunOutcome::Failed if !long_running => self.fail(end, gang, attempts),
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

    fn is_long_running(&self, id: &TaskId) -> bool {
        let step = self.job.steps.get(id.step as usize);
        step.is_some_and(|step| step.long_running)
    }

    fn finish(&mut self, id: &TaskId, gang: bool) {
        self.invalidate();
        let Some(steps) = self.occurrences.get_mut(&id.occurrence) else {
            return;
        };
        let Some(progress) = steps.get_mut(id.step as usize) else {
            return;
        };
        for (index, task) in progress.tasks.iter_mut().enumerate() {
            if !task.done && (gang || index == id.index as usize) {
                task.done = true;
                progress.done += 1;
            }
        }
        if steps.iter().all(StepProgress::is_done) {
            self.occurrences.remove(&id.occurrence);
        }
    }

    /// Counts a failed run; returns whether it had not been counted before.
    fn fail(&mut self, end: &RunEnd, gang: bool, attempts: u32) -> bool {
        let Some(steps) = self.occurrences.get_mut(&end.task.occurrence) else {
            return false;
        };
        let Some(progress) = steps.get_mut(end.task.step as usize) else {
            return false;
        };
        let failed = if gang {
            &mut progress.failed
        } else {
            &mut progress.tasks[end.task.index as usize].failed
        };
        let fresh = failed.insert(end.run);
        if failed.len() >= attempts.max(1) as usize && self.abort.is_none() {
            self.abort = Some(AbortReason::Failed);
        }
        fresh
    }
}
