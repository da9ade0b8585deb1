//! Ends of runs, as executors report them: they are applied, logged and then acknowledged.

use std::time::Duration;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::Record;
use crate::batch::RunEnd;
use crate::batch::RunOutcome;
use crate::batch::dispatcher::pending_ends::PendingEnds;
use crate::batch::heartbeat_state::HeartbeatState;
use crate::batch::task_progress::Avoided;
use crate::name::ExecutorId;

/// Most records of ends in one append.
const ENDS_PER_APPEND: usize = 3;
/// Time for which a task is not started again on the executor where it failed, in milliseconds.
const AVOID_MS: u64 = 1_000;

impl Dispatcher {
    /// Applies the ends that were not reported before.
    pub(super) fn apply_ends(&mut self, now: Now, id: &ExecutorId, ends: &[RunEnd]) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let seen = executor.ends.seen;
        let new_ends: Vec<RunEnd> = ends
            .iter()
            .filter(|end| end.number > seen)
            .cloned()
            .collect();
        let Some(highest) = new_ends.iter().map(|end| end.number).max() else {
            return;
        };
        executor.ends.seen = highest;
        self.dirty = true;
        let mut known = Vec::new();
        for end in new_ends {
            if self.apply_end(now, id, &end) {
                known.push(end);
            }
        }
        let jobs: Vec<JobId> = known.iter().map(|end| end.task.job).collect();
        // Ends of unknown jobs need no record, but are acknowledged in the same way, after an
        // append.
        let records = Record::of_ends(known, self.record_limit);
        let append_id = self.append_grouped(records, ENDS_PER_APPEND);
        let append_id = append_id.unwrap_or_else(|| self.append(Vec::new()));
        let born = self.executors.get(id).and_then(|executor| executor.born);
        let executor = id.clone();
        self.pending_ends.insert(
            append_id,
            PendingEnds {
                executor,
                born,
                number: highest,
                jobs,
            },
        );
    }

    /// Applies the end of a run; returns whether its job is known, so that the end must be logged.
    fn apply_end(&mut self, now: Now, id: &ExecutorId, end: &RunEnd) -> bool {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.unanswered.remove(&(end.task, end.run));
        }
        let run_state = self.remove_run(id, end.task, end.run);
        let ran = run_state.map(|run_state| {
            now.at
                .saturating_duration_since(run_state.started)
                .as_millis() as u64
        });
        let Some(entry) = self.state.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let is_new = entry.apply_end(end);
        if end.outcome == RunOutcome::Failed
            && let Some(task) = entry.task_mut(&end.task)
        {
            task.avoided = Some(Avoided {
                executor: id.clone(),
                until: now.at + Duration::from_millis(AVOID_MS),
            });
        }
        entry.unlogged += 1;
        self.ends[end.outcome as usize] += 1;
        self.effort.ends += 1;
        info!(self.log, "run ended"; "task" => %end.task, "run" => end.run, "how" => ?end.outcome,
            "executor" => %id, "end" => end.number, "new" => is_new, "ran_ms" => ran);
        let over = !entry.is_active();
        let makes_room = !entry.occurrences.contains_key(&end.task.occurrence);
        if end.outcome == RunOutcome::Done && is_new {
            self.stop_task(end.task);
        }
        if over {
            self.close(now, end.task.job);
        } else if makes_room {
            self.advisor
                .forget_occurrence(end.task.job, end.task.occurrence);
            self.open_job(now, end.task.job);
        }
        true
    }

    /// Acknowledges the ends of an executor once they are in the log.
    pub(super) fn on_ends_logged(&mut self, now: Now, ends: PendingEnds) {
        if let Some(executor) = self.executors.get_mut(&ends.executor) {
            // After a restart, an executor begins a new numbering of its ends.
            if executor.born == ends.born && executor.ends.seen >= ends.number {
                executor.ends.acked = executor.ends.acked.max(ends.number);
            }
            if matches!(executor.heartbeat, HeartbeatState::AwaitingLog(_)) {
                executor.heartbeat = HeartbeatState::Due(now.at);
            }
        }
        for id in ends.jobs {
            self.state.jobs.note_logged(&id);
        }
    }
}
