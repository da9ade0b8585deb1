//! Orders to start and stop runs.

use std::time::Duration;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Start;
use crate::batch::Stop;
use crate::batch::Target;
use crate::batch::TaskId;
use crate::batch::executor_state::HeartbeatState;
use crate::batch::record::RUNS_PER_FENCE;
use crate::batch::run_state::Phase;
use crate::batch::run_state::RunState;
use crate::name::ExecutorId;

/// How long an executor without room gets no new work, in milliseconds.
const FULL_MS: u64 = 200;
/// How long an executor that refuses work for another reason gets none, in milliseconds.
const SHUN_MS: u64 = 1_000;

impl Dispatcher {
    /// Starts a task on an executor that has room for it.
    pub(super) fn start(&mut self, now: Now, id: &ExecutorId, task: TaskId, run: u64) {
        let Some(lease) = self.lease(now.at) else {
            return;
        };
        let Some(entry) = self.state.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        let Some(deadline) = seat.deadline(now.at, lease) else {
            return;
        };
        let job = entry.job.clone();
        let Some(state) = entry.task_mut(&task) else {
            return;
        };
        state.run = run;
        state.placed = Some(id.clone());
        let saved = state.saved.clone();
        seat.renew(now.at);
        seat.asked.get_or_insert(now.at);
        let target = Target {
            executor: id.clone(),
            addr: seat.addr,
            fence: self.fence,
        };
        info!(self.log, "start"; "task" => %task, "run" => run, "executor" => %id,
            "load" => seat.load(), "saved" => saved.is_some());
        self.occupy(
            id,
            task,
            run,
            RunState::of(&job, &task, Phase::Starting, now.at),
        );
        let ticket = self.advisor.ticket(now.at, &task.of_step(), id);
        self.starting.push(now.at);
        self.actions.push(Action::Start(Start {
            target,
            task,
            run,
            spec: job.spec.clone(),
            deadline,
            saved,
            ticket,
            decided: now.at,
        }));
    }

    /// Number of the next run of a task whose highest was `last`.
    pub(super) fn next_run(&self, last: u64) -> u64 {
        last.max(self.fence * RUNS_PER_FENCE) + 1
    }

    /// Orders to start that are overdue no longer hold up others.
    pub(super) fn note_overdue(&mut self, now: Now) {
        if self.starting.expire(now.at) {
            self.dirty |= std::mem::take(&mut self.throttled);
        }
    }

    pub(super) fn started(&mut self, now: Now, order: &Start, result: Result<(), OrderError>) {
        self.starting.settle(order.decided);
        self.dirty |= std::mem::take(&mut self.throttled);
        let id = &order.target.executor;
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        if result != Err(OrderError::Silent) {
            seat.asked = None;
        }
        let Some(slot) = seat.slots.get_mut(&(order.task, order.run)) else {
            return;
        };
        let Err(err) = result else {
            if slot.phase == Phase::Starting {
                slot.phase = Phase::Running(now.at);
            }
            return self.note_started(order);
        };
        warn!(self.log, "start not carried out"; "task" => %order.task, "run" => order.run,
            "executor" => %id, "why" => %err);
        match err {
            OrderError::Fenced => self.fenced(id),
            OrderError::Reborn => self.reset(now, id),
            OrderError::Silent | OrderError::Old => {
                if slot.phase == Phase::Starting {
                    slot.phase = Phase::Doubtful(now.at);
                }
                if let HeartbeatState::At(_) = seat.probe {
                    seat.probe = HeartbeatState::At(now.at);
                }
            }
            OrderError::Unadvised => {
                self.advisor.forget(&order.task.of_step());
                self.refused(now, order, 0);
            }
            OrderError::Full => self.refused(now, order, FULL_MS),
            _ => self.refused(now, order, SHUN_MS),
        }
    }

    fn note_started(&mut self, order: &Start) {
        if let Some(entry) = self.state.jobs.get_mut(&order.task.job) {
            entry.started = true;
        }
    }

    /// An executor surely did not start a task.
    fn refused(&mut self, now: Now, order: &Start, pause: u64) {
        let id = &order.target.executor;
        self.free(id, order.task, order.run);
        if let Some(seat) = self.seats.get_mut(id) {
            seat.shunned = Some(now.at + Duration::from_millis(pause));
        }
        self.dirty = true;
    }

    /// Stops a run, unless that is under way.
    pub(super) fn stop(&mut self, id: &ExecutorId, task: TaskId, run: u64) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        let Some(slot) = seat.slots.get_mut(&(task, run)) else {
            return;
        };
        if matches!(slot.phase, Phase::Stopping | Phase::Stopped(_)) {
            return;
        }
        slot.phase = Phase::Stopping;
        info!(self.log, "stop"; "task" => %task, "run" => run, "executor" => %id);
        self.actions.push(Action::Stop(Stop {
            target: Target {
                executor: id.clone(),
                addr: seat.addr,
                fence: self.fence,
            },
            task,
            run,
        }));
    }

    pub(super) fn stopped(&mut self, now: Now, order: &Stop, result: Result<(), OrderError>) {
        let id = &order.target.executor;
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        let Some(slot) = seat.slots.get_mut(&(order.task, order.run)) else {
            return;
        };
        match result {
            Ok(()) => {
                slot.phase = Phase::Stopped(now.at);
                if let HeartbeatState::At(_) = seat.probe {
                    seat.probe = HeartbeatState::At(now.at);
                }
            }
            Err(OrderError::Fenced) => self.fenced(id),
            Err(OrderError::Reborn) => self.reset(now, id),
            Err(err) => {
                warn!(self.log, "stop not carried out"; "task" => %order.task,
                    "run" => order.run, "executor" => %id, "why" => %err);
                slot.phase = Phase::Doubtful(now.at);
            }
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_all(&mut self, job: JobId) {
        let first = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let tasks = self.runs.range(first..).map(|(&task, _)| task);
        let tasks: Vec<TaskId> = tasks.take_while(|task| task.job == job).collect();
        for task in tasks {
            self.stop_copies(task);
        }
    }

    /// Stops the runs that a task still has.
    pub(super) fn stop_copies(&mut self, task: TaskId) {
        let runs = self.runs.get(&task).cloned().unwrap_or_default();
        for (id, run) in runs {
            self.stop(&id, task, run);
        }
    }

    /// Takes a run's room on its executor and under its team's limit.
    pub(super) fn occupy(&mut self, id: &ExecutorId, task: TaskId, run: u64, slot: RunState) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        seat.used.add(&slot.reserved);
        seat.lasting += usize::from(slot.lasting);
        if let Some(team) = &slot.team {
            let used = self.usage.entry(team.clone()).or_default();
            used.add(&slot.demand);
        }
        seat.slots.insert((task, run), slot);
        self.runs.entry(task).or_default().push((id.clone(), run));
    }

    /// Gives a run's room back, and lets its task be started anew.
    pub(super) fn free(&mut self, id: &ExecutorId, task: TaskId, run: u64) -> Option<RunState> {
        let seat = self.seats.get_mut(id)?;
        let slot = seat.slots.remove(&(task, run))?;
        seat.used.sub(&slot.reserved);
        seat.lasting -= usize::from(slot.lasting);
        if let Some(team) = &slot.team
            && let Some(used) = self.usage.get_mut(team)
        {
            used.sub(&slot.demand);
        }
        self.dirty = true;
        self.leave(id, task, run);
        let entry = self.state.jobs.get_mut(&task.job);
        if let Some(state) = entry.and_then(|entry| entry.task_mut(&task))
            && state.placed.as_ref() == Some(id)
            && state.run == run
        {
            state.placed = None;
        }
        Some(slot)
    }

    fn leave(&mut self, id: &ExecutorId, task: TaskId, run: u64) {
        let Some(runs) = self.runs.get_mut(&task) else {
            return;
        };
        runs.retain(|(executor, number)| executor != id || *number != run);
        if runs.is_empty() {
            self.runs.remove(&task);
        }
    }

    /// Gives back the room of all runs of an executor.
    pub(super) fn free_all(&mut self, id: &ExecutorId) {
        let Some(seat) = self.seats.get(id) else {
            return;
        };
        let runs: Vec<(TaskId, u64)> = seat.slots.keys().copied().collect();
        for (task, run) in runs {
            self.free(id, task, run);
        }
    }
}
