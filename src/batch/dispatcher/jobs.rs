//! Jobs from their acceptance to their end.

use std::time::Duration;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::JobState;
use crate::batch::Now;
use crate::batch::Objective;
use crate::batch::SizeClass;
use crate::name::QueueName;

/// Time between two checks for occurrences of jobs that have become due.
const OPEN_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the state of a job that has ended can be queried, in milliseconds; longer while
/// ends of its runs are not in the log yet.
const CLOSED_RETENTION_MS: u64 = 150_000;

impl Dispatcher {
    pub(super) fn job_state(&self, queue: &QueueName, id: JobId) -> Option<JobState> {
        let entry = self.state.jobs.get(&id)?;
        (entry.job.queue == *queue).then(|| entry.state())
    }

    pub(super) fn waiting_jobs(&self, queue: &QueueName) -> u64 {
        let jobs = self.active.iter().filter_map(|id| self.state.jobs.get(id));
        let waiting = jobs.filter(|entry| entry.job.queue == *queue && !entry.started);
        waiting.count() as u64
    }

    pub(super) fn on_job_changed(&mut self, now: Now, id: JobId) {
        let Some(entry) = self.state.jobs.get(&id) else {
            return;
        };
        info!(self.log, "job accepted or cancelled"; "job" => %id, "queue" => %entry.job.queue,
            "state" => ?entry.state(), "age_ms" => now.unix.saturating_sub(entry.job.accepted),
            "work" => entry.job.work(), "tasks" => entry.job.tasks());
        if entry.is_active() {
            self.meter.note(now.at, &entry.job);
            self.active.insert(id);
            if entry.partitions.is_empty() {
                self.ungranted.push(id);
            }
            self.unchecked.push(id);
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
    }

    /// Opens the occurrences that are due, and drops jobs that ended long ago.
    pub(super) fn open_due(&mut self, now: Now) {
        if now.at < self.last_opening + OPEN_INTERVAL {
            return;
        }
        self.last_opening = now.at;
        self.effort.ranked += self.active.len() as u64;
        for id in &self.active {
            if let Some(entry) = self.state.jobs.get_mut(id)
                && entry.open_due(now.unix)
            {
                self.dirty = true;
            }
        }
        let old = |ended_at: u64| ended_at + CLOSED_RETENTION_MS < now.unix;
        let jobs = &mut self.state.jobs;
        jobs.retain(|_, entry| !entry.ended_at.is_some_and(old) || entry.unlogged > 0);
    }
}
