//! Orders to start and stop runs, and the runs' share of executors and team limits.

use std::time::Duration;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Start;
use crate::batch::StartAnswer;
use crate::batch::Stop;
use crate::batch::TaskId;
use crate::batch::heartbeat_state::HeartbeatState;
use crate::batch::record::RUNS_PER_FENCE;
use crate::batch::run_state::Phase;
use crate::batch::run_state::RunState;
use crate::name::ExecutorId;

/// Time for which an executor that reported no free capacity gets no new work, in milliseconds.
const FULL_BACKOFF_MS: u64 = 200;
/// Time for which an executor that refused work for another reason gets none, in milliseconds.
const REFUSED_BACKOFF_MS: u64 = 1_000;

impl Dispatcher {
    /// Starts a task on an executor that has the capacity for it.
    pub(super) fn start(&mut self, now: Now, id: &ExecutorId, task: TaskId, run: u64) {
        let Some(lease) = self.lease(now.at) else {
            return;
        };
        let Some(entry) = self.state.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(deadline) = executor.deadline(now.at, lease) else {
            return;
        };
        let job = entry.job.clone();
        let Some(progress) = entry.task_mut(&task) else {
            return;
        };
        progress.run = run;
        progress.placed = Some(id.clone());
        let saved = progress.saved.clone();
        if entry.first_start.is_none() {
            entry.first_start = Some(now.unix);
            self.turns.advance(&job.service);
        }
        entry.last_start = Some(now.unix);
        executor.leases.renew(now.at);
        executor.unanswered_since.get_or_insert(now.at);
        executor.unanswered.insert((task, run), now.at);
        let target = executor.target(id);
        info!(self.log, "starting run"; "task" => %task, "run" => run, "executor" => %id,
            "load" => executor.load(), "saved" => saved.is_some());
        self.add_run(
            id,
            task,
            run,
            RunState::of(&job, &task, Phase::Starting, now.at),
        );
        let ticket = self.advisor.ticket(now.at, &task.of_step(), id);
        self.starts.push(&job.service, now.at);
        self.effort.starts += 1;
        self.actions.push(Action::Start(Start {
            target,
            task,
            run,
            spec: job.spec.clone(),
            deadline,
            saved,
            ticket,
            service: job.service.clone(),
            decided: now.at,
        }));
    }

    /// Returns the number for the next run of a task whose highest is `last`. Runs of a later term
    /// have higher numbers.
    pub(super) fn next_run(&self, last: u64) -> u64 {
        last.max(self.fence * RUNS_PER_FENCE) + 1
    }

    /// Counts overdue starts for less, and lets tasks start that waited for their answers.
    pub(super) fn expire_starts(&mut self, now: Now) {
        if self.starts.expire(now.at) {
            self.dirty |= std::mem::take(&mut self.throttled);
        }
    }

    pub(super) fn on_started(
        &mut self,
        now: Now,
        order: &Start,
        result: Result<StartAnswer, OrderError>,
    ) {
        self.starts.complete(&order.service, order.decided);
        self.dirty |= std::mem::take(&mut self.throttled);
        let id = &order.target.executor;
        if let Ok(answer) = &result {
            self.check_process(now, order, answer);
        }
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if result != Err(OrderError::Silent) {
            executor.unanswered_since = None;
            executor.unanswered.remove(&(order.task, order.run));
        }
        let Some(run_state) = executor.runs.get_mut(&(order.task, order.run)) else {
            return;
        };
        let Err(err) = result else {
            if run_state.phase == Phase::Starting {
                run_state.phase = Phase::Running(now.at);
            }
            return self.note_started(order);
        };
        warn!(self.log, "start order failed"; "task" => %order.task, "run" => order.run,
            "executor" => %id, "why" => %err);
        match err {
            OrderError::Fenced => {
                self.on_fenced(&order.target);
                self.remove_run(id, order.task, order.run);
            }
            OrderError::Reborn => {
                self.on_reborn(now, &order.target);
                self.remove_run(id, order.task, order.run);
            }
            OrderError::Silent | OrderError::Old => {
                // The executor's next report shows whether the run is there.
                if run_state.phase == Phase::Starting {
                    run_state.phase = Phase::Unconfirmed(now.at);
                }
                if let HeartbeatState::Due(_) = executor.heartbeat {
                    executor.heartbeat = HeartbeatState::Due(now.at);
                }
            }
            OrderError::Unadvised => {
                self.advisor.on_refused(order.task.of_step(), id);
                self.on_refused(now, order, 0);
            }
            OrderError::Full => self.on_refused(now, order, FULL_BACKOFF_MS),
            _ => self.on_refused(now, order, REFUSED_BACKOFF_MS),
        }
    }

    fn note_started(&mut self, order: &Start) {
        if let Some(entry) = self.state.jobs.get_mut(&order.task.job) {
            entry.started = true;
        }
    }

    /// Handles the refusal of a start: the run does not exist, and the executor gets no new work
    /// for `pause` milliseconds.
    fn on_refused(&mut self, now: Now, order: &Start, pause: u64) {
        let id = &order.target.executor;
        self.remove_run(id, order.task, order.run);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.backoff_until = Some(now.at + Duration::from_millis(pause));
        }
        self.dirty = true;
    }

    /// Orders a run to stop, unless it is being stopped already.
    pub(super) fn stop(&mut self, id: &ExecutorId, task: TaskId, run: u64) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(run_state) = executor.runs.get_mut(&(task, run)) else {
            return;
        };
        if matches!(run_state.phase, Phase::Stopping | Phase::Stopped(_)) {
            return;
        }
        run_state.phase = Phase::Stopping;
        info!(self.log, "stopping run"; "task" => %task, "run" => run, "executor" => %id);
        self.actions.push(Action::Stop(Stop {
            target: executor.target(id),
            task,
            run,
        }));
    }

    pub(super) fn on_stopped(&mut self, now: Now, order: &Stop, result: Result<(), OrderError>) {
        let id = &order.target.executor;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(run_state) = executor.runs.get_mut(&(order.task, order.run)) else {
            return;
        };
        match result {
            Ok(()) => {
                run_state.phase = Phase::Stopped(now.at);
                if let HeartbeatState::Due(_) = executor.heartbeat {
                    executor.heartbeat = HeartbeatState::Due(now.at);
                }
            }
            Err(OrderError::Fenced) => {
                run_state.phase = Phase::Unconfirmed(now.at);
                self.on_fenced(&order.target);
            }
            Err(OrderError::Reborn) => {
                run_state.phase = Phase::Unconfirmed(now.at);
                self.on_reborn(now, &order.target);
            }
            Err(err) => {
                warn!(self.log, "stop order failed"; "task" => %order.task,
                    "run" => order.run, "executor" => %id, "why" => %err);
                run_state.phase = Phase::Unconfirmed(now.at);
            }
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, job: JobId) {
        let first = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let tasks = self.locations.range(first..).map(|(&task, _)| task);
        let tasks: Vec<TaskId> = tasks.take_while(|task| task.job == job).collect();
        for task in tasks {
            self.stop_task(task);
        }
    }

    /// Stops all runs of a task.
    pub(super) fn stop_task(&mut self, task: TaskId) {
        let runs = self.locations.get(&task).cloned().unwrap_or_default();
        for (id, run) in runs {
            self.stop(&id, task, run);
        }
    }

    /// Adds a run to its executor, and charges its resources to the executor and the team.
    pub(super) fn add_run(&mut self, id: &ExecutorId, task: TaskId, run: u64, run_state: RunState) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.used.add(&run_state.reserved);
        executor.long_running += usize::from(run_state.long_running);
        if let Some(team) = &run_state.team {
            let used = self.usage.entry(team.clone()).or_default();
            used.add(&run_state.demand);
        }
        executor.runs.insert((task, run), run_state);
        self.locations
            .entry(task)
            .or_default()
            .push((id.clone(), run));
    }

    /// Removes a run, releases its resources, and lets its task be started again.
    pub(super) fn remove_run(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: u64,
    ) -> Option<RunState> {
        let executor = self.executors.get_mut(id)?;
        let run_state = executor.runs.remove(&(task, run))?;
        executor.used.sub(&run_state.reserved);
        executor.long_running -= usize::from(run_state.long_running);
        if let Some(team) = &run_state.team
            && let Some(used) = self.usage.get_mut(team)
        {
            used.sub(&run_state.demand);
        }
        self.dirty = true;
        self.remove_location(id, task, run);
        let entry = self.state.jobs.get_mut(&task.job);
        if let Some(progress) = entry.and_then(|entry| entry.task_mut(&task))
            && progress.placed.as_ref() == Some(id)
            && progress.run == run
        {
            progress.placed = None;
        }
        Some(run_state)
    }

    fn remove_location(&mut self, id: &ExecutorId, task: TaskId, run: u64) {
        let Some(runs) = self.locations.get_mut(&task) else {
            return;
        };
        runs.retain(|(executor, number)| executor != id || *number != run);
        if runs.is_empty() {
            self.locations.remove(&task);
        }
    }

    /// Removes all runs of an executor.
    pub(super) fn remove_runs(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let runs: Vec<(TaskId, u64)> = executor.runs.keys().copied().collect();
        for (task, run) in runs {
            self.remove_run(id, task, run);
        }
    }
}
