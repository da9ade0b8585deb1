//! Jobs from their acceptance to their end.

use std::time::Duration;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::JobState;
use crate::batch::Now;
use crate::batch::Objective;
use crate::batch::SizeClass;
use crate::name::QueueName;

/// Time between two checks for occurrences of jobs that have become due, in milliseconds.
const OPEN_INTERVAL_MS: u64 = 20;
/// Time for which the state of a job that has ended can be queried, in milliseconds; longer while
/// ends of its runs are not in the log yet.
const CLOSED_RETENTION_MS: u64 = 150_000;

impl Dispatcher {
    /// Returns the state of a job, whatever its queue: a configuration may have given the queue another
    /// name.
    pub(super) fn job_state(&self, id: JobId) -> Option<JobState> {
        self.state.jobs.get(&id).map(JobProgress::state)
    }

    pub(super) fn waiting_jobs(&self, queue: &QueueName) -> u64 {
        self.backlog.waiting(queue)
    }

    pub(super) fn on_job_changed(&mut self, now: Now, id: JobId) {
        let Some(entry) = self.state.jobs.get(&id) else {
            return;
        };
        info!(self.log, "job accepted or cancelled"; "job" => %id, "queue" => %entry.job.queue,
            "state" => ?entry.state(), "age_ms" => now.unix.saturating_sub(entry.job.accepted),
            "work" => entry.job.work(), "tasks" => entry.job.tasks());
        if entry.is_active() {
            self.meter.note(now.at, &entry.job, &self.capacity.largest);
            self.active.insert(id);
            if entry.partitions.is_empty() {
                self.ungranted.push(id);
            }
            self.unchecked.push(id);
            self.open_job(now, id);
        } else {
            self.close(now, id);
        }
        self.dirty = true;
    }

    /// Notes that a job has ended and stops its runs.
    pub(super) fn close(&mut self, now: Now, id: JobId) {
        self.active.remove(&id);
        let Some(entry) = self.state.jobs.get_mut(&id) else {
            return;
        };
        if entry.ended_at.is_some() {
            return;
        }
        entry.ended_at = Some(now.unix);
        self.closed.push_back((now.unix, id));
        let policy = self.directives.policy.as_ref();
        let queue = policy.and_then(|policy| policy.queue_named(&entry.job.queue));
        let objective = Objective::of(&entry.job, queue);
        let lateness = objective.lateness(now.unix);
        let accepted = entry.job.accepted;
        let age = |at: u64| at.saturating_sub(accepted);
        info!(self.log, "job ended; stopping its runs"; "job" => %id, "done" => entry.is_done(),
            "age_ms" => age(now.unix), "lateness" => lateness.label(), "work" => entry.job.work(),
            "objective_ms" => objective.deadline().map(age),
            "first_start_ms" => entry.first_start.map(age),
            "last_start_ms" => entry.last_start.map(age));
        if entry.is_done() {
            let class = SizeClass::of(entry.job.work());
            *self.completed.entry((class, lateness)).or_default() += 1;
        }
        self.stop_job(id);
        self.advisor.forget_job(id);
    }

    /// Opens the occurrences that are due, and drops jobs that ended long ago.
    pub(super) fn open_due(&mut self, now: Now) {
        if now.at < self.last_opening + Duration::from_millis(OPEN_INTERVAL_MS) {
            return;
        }
        self.last_opening = now.at;
        let due = self.openings.iter().take_while(|(at, _)| *at <= now.unix);
        let due: Vec<(u64, JobId)> = due.copied().collect();
        for opening in due {
            self.openings.remove(&opening);
            self.open_job(now, opening.1);
        }
        self.drop_closed(now);
    }

    /// Opens the occurrences of a job that are due, as far as the limit on tasks allows. One that
    /// is due and has no room is opened when another has ended.
    pub(super) fn open_job(&mut self, now: Now, id: JobId) {
        self.effort.ranked += 1;
        let entry = self.state.jobs.get(&id);
        if entry.is_some_and(|entry| entry.can_open(now.unix))
            && let Some(entry) = self.state.jobs.get_mut(&id)
        {
            self.dirty |= entry.open_due(now.unix);
        }
        let entry = self.state.jobs.get(&id);
        let due = entry.and_then(JobProgress::next_due);
        if let Some(due) = due.filter(|&due| due > now.unix) {
            self.openings.insert((due, id));
        }
    }

    /// Drops the jobs that ended long ago.
    fn drop_closed(&mut self, now: Now) {
        while let Some(&(ended_at, id)) = self.closed.front() {
            if ended_at + CLOSED_RETENTION_MS >= now.unix {
                return;
            }
            self.closed.pop_front();
            let entry = self.state.jobs.get(&id);
            if entry.is_some_and(|entry| entry.unlogged > 0) {
                self.closed.push_back((now.unix, id));
                return;
            }
            info!(self.log, "ended job forgotten"; "job" => %id);
            self.state.jobs.remove(&id);
        }
    }
}
