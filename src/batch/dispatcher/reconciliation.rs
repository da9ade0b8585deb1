//! Compares the runs that executors report with those that they should have.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use crate::batch::Dispatcher;
use crate::batch::Now;
use crate::batch::Running;
use crate::batch::TaskId;
use crate::batch::run_state::Phase;
use crate::batch::run_state::RunState;
use crate::name::ExecutorId;

/// Time for which an executor gets no new work after a run on it stalled, in milliseconds.
const STALLED_BACKOFF_MS: u64 = 3_000;

impl Dispatcher {
    /// Applies the runs that an executor reports.
    pub(super) fn apply_runs(&mut self, now: Now, id: &ExecutorId, running: &[Running]) {
        for run in running {
            self.update_run(now, id, run);
        }
    }

    /// Looks for runs that an executor should have and does not report, neither as running nor as
    /// ended. The report must list all ends.
    pub(super) fn reconcile(&mut self, id: &ExecutorId, sent: Instant, running: &[Running]) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let restarted = executor.restarted;
        let mut present: Vec<(TaskId, u64)> =
            running.iter().map(|run| (run.task, run.run)).collect();
        present.sort_unstable();
        let absent = executor
            .runs
            .iter()
            .filter(|(key, _)| present.binary_search(key).is_err());
        let absent: Vec<(TaskId, u64, Phase)> = absent
            .map(|((task, run), run_state)| (*task, *run, run_state.phase))
            .collect();
        for (task, run, phase) in absent {
            match phase {
                Phase::Running(at) if at < sent => {
                    warn!(self.log, "run missing from the report; its task may start again";
                        "task" => %task, "run" => run, "executor" => %id);
                    self.remove_run(id, task, run);
                }
                Phase::Stopped(at) if at < sent => {
                    self.remove_run(id, task, run);
                }
                // The order to start it was to an earlier process.
                Phase::Unconfirmed(at) if Some(at) <= restarted => {
                    self.remove_run(id, task, run);
                }
                // An order to start it may still arrive.
                Phase::Unconfirmed(at) if at < sent => self.stop(id, task, run),
                _ => {}
            }
        }
    }

    /// Adds the runs of starts that may still arrive at an executor that has not reported to this owner
    /// or has restarted. They are settled like those of any start without an answer: the executor is
    /// told to refuse them unless it reports them.
    pub(super) fn expect_late_starts(&mut self, now: Now, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let late = executor.unanswered.iter();
        let late = late.filter(|(key, _)| !executor.runs.contains_key(key));
        let late: Vec<(TaskId, u64, Instant)> = late
            .map(|(&(task, run), &sent)| (task, run, sent))
            .collect();
        for (task, run, sent) in late {
            let Some(entry) = self.state.jobs.get_mut(&task.job) else {
                continue;
            };
            info!(self.log, "start without an answer may arrive late";
                "task" => %task, "run" => run, "executor" => %id);
            let run_state = RunState::of(&entry.job, &task, Phase::Unconfirmed(sent), now.at);
            if let Some(progress) = entry.task_mut(&task)
                && progress.is_idle()
                && progress.run == run
            {
                progress.placed = Some(id.clone());
            }
            self.add_run(id, task, run, run_state);
        }
    }

    /// Stops the runs on an executor if their leases may last longer than the next owner would wait.
    pub(super) fn stop_long_leases(&mut self, now: Now, id: &ExecutorId) {
        let executor = self.executors.get(id);
        let Some(executor) = executor.filter(|executor| executor.leases.outlast_succession(now.at))
        else {
            return;
        };
        let runs: Vec<(TaskId, u64)> = executor.runs.keys().copied().collect();
        for (task, run) in runs {
            self.stop(id, task, run);
        }
    }

    /// Stops runs that make no progress, so that their tasks can start elsewhere.
    pub(super) fn stop_stalled(&mut self, now: Now, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let stalled = executor
            .runs
            .iter()
            .filter(|(_, run_state)| run_state.is_stalled(now.at));
        let stalled: Vec<(TaskId, u64)> = stalled.map(|(&key, _)| key).collect();
        if stalled.is_empty() {
            return;
        }
        executor.backoff_until = Some(now.at + Duration::from_millis(STALLED_BACKOFF_MS));
        for (task, run) in stalled {
            warn!(self.log, "run stalled; stopping it";
                "task" => %task, "run" => run, "executor" => %id);
            self.stop(id, task, run);
        }
    }

    /// Applies the report of one run.
    fn update_run(&mut self, now: Now, id: &ExecutorId, run: &Running) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        // It was carried out, which an order is once.
        executor.unanswered.remove(&(run.task, run.run));
        if let Some(run_state) = executor.runs.get_mut(&(run.task, run.run)) {
            if matches!(run_state.phase, Phase::Unconfirmed(_)) {
                run_state.phase = Phase::Running(now.at);
            }
            run_state.update(now.at, run);
            self.save_progress(run);
            if !self.is_wanted(id, run) {
                // An earlier order to stop it may have been lost.
                self.stop(id, run.task, run.run);
            }
            return;
        }
        self.adopt(now, id, run);
    }

    /// Whether a run is the one that its task, of an active job, has on an executor.
    fn is_wanted(&self, id: &ExecutorId, run: &Running) -> bool {
        let entry = self.state.jobs.get(&run.task.job);
        let task = entry
            .filter(|entry| entry.is_active())
            .and_then(|entry| entry.task(&run.task));
        task.is_some_and(|task| task.placed.as_ref() == Some(id) && task.run == run.run)
    }

    fn save_progress(&mut self, run: &Running) {
        let Some(saved) = &run.saved else {
            return;
        };
        self.state.jobs.save(&run.task, saved);
    }

    /// Adopts a run that an earlier owner started if its task still needs it, and stops it
    /// otherwise.
    fn adopt(&mut self, now: Now, id: &ExecutorId, run: &Running) {
        let Some(entry) = self.state.jobs.get_mut(&run.task.job) else {
            self.add_run(id, run.task, run.run, RunState::of_unknown_job(now.at));
            return self.stop(id, run.task, run.run);
        };
        entry.started = true;
        entry.open_due(now.unix);
        let run_state = RunState::of(&entry.job, &run.task, Phase::Running(now.at), now.at);
        let wanted = entry.is_active();
        let wanted = entry.task_mut(&run.task).is_some_and(|task| {
            task.run = task.run.max(run.run);
            let wanted = wanted && task.is_idle() && run.run > task.ended;
            if wanted {
                task.placed = Some(id.clone());
            }
            wanted
        });
        info!(self.log, "run found"; "task" => %run.task, "run" => run.run, "executor" => %id,
            "kept" => wanted);
        self.add_run(id, run.task, run.run, run_state);
        if wanted {
            self.save_progress(run);
        } else {
            self.stop(id, run.task, run.run);
        }
    }
}
