//! Leases, and what executors tell of their runs.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Heartbeat;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Record;
use crate::batch::Report;
use crate::batch::RunEnd;
use crate::batch::RunOutcome;
use crate::batch::Running;
use crate::batch::Target;
use crate::batch::TaskId;
use crate::batch::dispatcher::Noting;
use crate::batch::executor_state::Assignment;
use crate::batch::executor_state::HeartbeatState;
use crate::batch::run_state::Phase;
use crate::batch::run_state::RunState;
use crate::name::ExecutorId;

/// Longest that an executor's answer waits for an end, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Time between two orders to an executor that doesn't answer, in milliseconds.
const RETRY_MS: u64 = 250;
/// The pause doubles with each such order, so many times.
const RETRY_DOUBLINGS: u32 = 3;
/// It grows up to this long while something may run there, in milliseconds.
const SLOW_RETRY_MS: u64 = 1_000;
/// It grows up to this long once nothing can run there any more, in milliseconds.
const GONE_RETRY_MS: u64 = 2_000;
/// Time between two records of the executors that were not heard from, in milliseconds.
const UNHEARD_MS: u64 = 500;
/// How long an executor on which a run stalled gets no new work, in milliseconds.
const STALLED_MS: u64 = 3_000;
/// Time between two orders to an executor that has nothing new to tell, in milliseconds.
const PACE_MS: u64 = 150;

impl Dispatcher {
    /// Asks the executors whose turn it is.
    pub(super) fn probe(&mut self, now: Now) {
        let lease = self.lease(now.at);
        for (id, seat) in &mut self.seats {
            let HeartbeatState::At(due) = seat.probe else {
                continue;
            };
            if due > now.at || !seat.wants_probe() {
                continue;
            }
            let renewed = lease.filter(|_| seat.resolved && !seat.silent);
            let deadline = renewed.and_then(|lease| {
                seat.renew(now.at);
                seat.deadline(now.at, lease)
            });
            seat.probe = HeartbeatState::Sent(now.at);
            self.actions.push(Action::Heartbeat(Heartbeat {
                target: Target {
                    executor: id.clone(),
                    addr: seat.addr,
                    fence: self.fence,
                },
                deadline,
                acked: seat.acked,
                wait: if seat.is_urgent() { 0 } else { WAIT_MS },
            }));
        }
    }

    pub(super) fn held(
        &mut self,
        now: Now,
        order: &Heartbeat,
        sent: Instant,
        result: Result<Report, OrderError>,
    ) {
        let id = &order.target.executor;
        match result {
            Ok(report) => self.reported(now, id, sent, report),
            Err(OrderError::Fenced) => self.fenced(id),
            Err(OrderError::Reborn) => {
                self.reset(now, id);
                self.unanswered(now, id, OrderError::Reborn);
            }
            Err(err) => self.unanswered(now, id, err),
        }
    }

    pub(super) fn fenced(&mut self, id: &ExecutorId) {
        warn!(self.log, "fenced"; "executor" => %id, "fence" => self.fence);
        self.actions.push(Action::StepDown);
    }

    fn unanswered(&mut self, now: Now, id: &ExecutorId, err: OrderError) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        if !seat.silent {
            warn!(self.log, "executor silent"; "executor" => %id, "why" => %err);
        }
        seat.silent = true;
        let most = if seat.cleared {
            GONE_RETRY_MS
        } else {
            SLOW_RETRY_MS
        };
        let pause = (RETRY_MS << seat.misses.min(RETRY_DOUBLINGS)).min(most);
        seat.misses += 1;
        seat.probe = HeartbeatState::At(now.at + Duration::from_millis(pause));
    }

    fn reported(&mut self, now: Now, id: &ExecutorId, sent: Instant, report: Report) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        if let Some(born) = report.born {
            let reborn = seat.born.is_some_and(|known| known != born);
            seat.born = Some(born);
            if reborn {
                self.reset(now, id);
            }
        }
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        if seat.silent {
            info!(self.log, "executor answers again"; "executor" => %id);
            self.dirty = true;
        }
        let first = !seat.resolved;
        let anew = seat.unheard || seat.assignment == Assignment::None;
        seat.silent = false;
        seat.misses = 0;
        seat.asked = seat.asked.filter(|&asked| asked > sent);
        seat.unheard = false;
        seat.resolved = true;
        seat.cleared = true;
        seat.clock = Some((report.clock, now.at));
        if anew {
            self.assign(id);
        }
        self.dirty |= first;
        let fresh = self.take_ends(now, id, &report.ended);
        self.compare(now, id, sent, &report.running);
        self.stop_stalled(now, id);
        self.pace(id);
        self.schedule(now, id, sent, first, fresh);
    }

    fn schedule(&mut self, now: Now, id: &ExecutorId, sent: Instant, first: bool, fresh: bool) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        if fresh {
            seat.probe = HeartbeatState::Noting;
            return;
        }
        // An answer that came at once though it could have waited has nothing new.
        let pace = if first { 0 } else { PACE_MS };
        let next = sent + Duration::from_millis(pace);
        seat.probe = HeartbeatState::At(next.max(now.at));
    }

    /// Takes the ends that were not seen before; returns whether the log must learn of them.
    fn take_ends(&mut self, now: Now, id: &ExecutorId, ends: &[RunEnd]) -> bool {
        let Some(seat) = self.seats.get_mut(id) else {
            return false;
        };
        let seen = seat.seen;
        let fresh: Vec<RunEnd> = ends
            .iter()
            .filter(|end| end.number > seen)
            .cloned()
            .collect();
        let Some(highest) = fresh.iter().map(|end| end.number).max() else {
            return false;
        };
        seat.seen = highest;
        self.dirty = true;
        let mut known = Vec::new();
        for end in fresh {
            if self.take_end(now, id, &end) {
                known.push(end);
            }
        }
        let jobs: Vec<JobId> = known.iter().map(|end| end.task.job).collect();
        let records = Some(known).filter(|known| !known.is_empty());
        let append_id = self.append(records.map(Record::Ended).into_iter().collect());
        let executor = id.clone();
        self.noting.insert(
            append_id,
            Noting {
                executor,
                number: highest,
                jobs,
            },
        );
        true
    }

    fn take_end(&mut self, now: Now, id: &ExecutorId, end: &RunEnd) -> bool {
        let slot = self.free(id, end.task, end.run);
        let ran = slot.map(|slot| now.at.saturating_duration_since(slot.begun).as_millis() as u64);
        let Some(entry) = self.state.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let fresh = entry.apply_end(end);
        entry.unlogged += 1;
        self.ends[end.outcome as usize] += 1;
        info!(self.log, "run ended"; "task" => %end.task, "run" => end.run, "how" => ?end.outcome,
            "executor" => %id, "end" => end.number, "new" => fresh, "ran_ms" => ran);
        let over = !entry.is_active();
        if end.outcome == RunOutcome::Done && fresh {
            self.stop_copies(end.task);
        }
        if over {
            self.close(now, end.task.job);
        }
        true
    }

    /// The ends of an executor are in the log.
    pub(super) fn noted(&mut self, now: Now, noting: Noting) {
        if let Some(seat) = self.seats.get_mut(&noting.executor) {
            // A new life of the executor numbers its ends anew.
            if seat.seen >= noting.number {
                seat.acked = seat.acked.max(noting.number);
            }
            if seat.probe == HeartbeatState::Noting {
                seat.probe = HeartbeatState::At(now.at);
            }
        }
        for id in noting.jobs {
            if let Some(entry) = self.state.jobs.get_mut(&id) {
                entry.unlogged = entry.unlogged.saturating_sub(1);
            }
        }
    }

    /// Compares what an executor runs with what it should.
    fn compare(&mut self, now: Now, id: &ExecutorId, sent: Instant, running: &[Running]) {
        for run in running {
            self.see(now, id, run);
        }
        let Some(seat) = self.seats.get(id) else {
            return;
        };
        let present = |task: &TaskId, number: u64| {
            running
                .iter()
                .any(|run| run.task == *task && run.run == number)
        };
        let absent = seat
            .slots
            .iter()
            .filter(|((task, run), _)| !present(task, *run));
        let absent: Vec<(TaskId, u64, Phase)> = absent
            .map(|((task, run), slot)| (*task, *run, slot.phase))
            .collect();
        for (task, run, phase) in absent {
            match phase {
                Phase::Running(at) if at < sent => {
                    warn!(self.log, "run vanished"; "task" => %task, "run" => run, "executor" => %id);
                    self.free(id, task, run);
                }
                Phase::Stopped(at) if at < sent => {
                    self.free(id, task, run);
                }
                Phase::Doubtful(at) if at < sent => self.stop(id, task, run),
                _ => {}
            }
        }
    }

    /// Stops runs that make no progress, so that they can start elsewhere.
    fn stop_stalled(&mut self, now: Now, id: &ExecutorId) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        let stalled = seat
            .slots
            .iter()
            .filter(|(_, slot)| slot.is_stalled(now.at));
        let stalled: Vec<(TaskId, u64)> = stalled.map(|(&key, _)| key).collect();
        if stalled.is_empty() {
            return;
        }
        seat.shunned = Some(now.at + Duration::from_millis(STALLED_MS));
        for (task, run) in stalled {
            warn!(self.log, "run stalled"; "task" => %task, "run" => run, "executor" => %id);
            self.stop(id, task, run);
        }
    }

    /// Takes note of a run that an executor has.
    fn see(&mut self, now: Now, id: &ExecutorId, run: &Running) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        if let Some(slot) = seat.slots.get_mut(&(run.task, run.run)) {
            if matches!(slot.phase, Phase::Doubtful(_)) {
                slot.phase = Phase::Running(now.at);
            }
            slot.look(now.at, run);
            return self.save(run);
        }
        self.adopt(now, id, run);
    }

    fn save(&mut self, run: &Running) {
        let Some(saved) = &run.saved else {
            return;
        };
        if let Some(entry) = self.state.jobs.get_mut(&run.task.job) {
            entry.save(&run.task, saved);
        }
    }

    /// Takes over a run that an earlier owner started, or stops it.
    fn adopt(&mut self, now: Now, id: &ExecutorId, run: &Running) {
        let Some(entry) = self.state.jobs.get_mut(&run.task.job) else {
            self.occupy(id, run.task, run.run, RunState::stray(now.at));
            return self.stop(id, run.task, run.run);
        };
        entry.started = true;
        entry.open_due(now.unix);
        let slot = RunState::of(&entry.job, &run.task, Phase::Running(now.at), now.at);
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
        self.occupy(id, run.task, run.run, slot);
        if wanted {
            self.save(run);
        } else {
            self.stop(id, run.task, run.run);
        }
    }

    /// Gives up on executors whose leases are surely over: nobody else has renewed them if the
    /// election still confirmed this owner afterwards.
    pub(super) fn expire(&mut self, now: Now) {
        let over = self
            .seats
            .iter()
            .filter(|(_, seat)| seat.is_lapsed(now.at) && self.confirmed >= seat.expires);
        let ids: Vec<ExecutorId> = over.map(|(id, _)| id.clone()).collect();
        for id in ids {
            warn!(self.log, "leases are over"; "executor" => %id);
            self.unassign(&id);
        }
    }

    /// Nothing runs on an executor any more; the next owner need not wait for it.
    pub(super) fn unassign(&mut self, id: &ExecutorId) {
        self.free_all(id);
        if let Some(seat) = self.seats.get_mut(id) {
            seat.give_up();
        }
        self.state.assigned.remove(id);
        self.append(vec![Record::Released(id.clone())]);
        self.dirty = true;
    }

    /// Tells the log how long the executors that have not answered yet were waited for, so that
    /// the wait goes on with the next owner and doesn't begin anew.
    pub(super) fn tell_unheard(&mut self, now: Now) {
        if now.at < self.awaited + Duration::from_millis(UNHEARD_MS) {
            return;
        }
        self.awaited = now.at;
        let unheard = self.seats.iter_mut().filter(|(_, seat)| seat.is_unheard());
        let waits = unheard.map(|(id, seat)| {
            seat.unheard = true;
            (id.clone(), seat.waited(now.at))
        });
        let waits: Vec<(ExecutorId, u64)> = waits.collect();
        if !waits.is_empty() {
            self.append(vec![Record::Unresponsive(waits)]);
        }
    }
}
