//! Heartbeats: they renew the leases of executors and return reports of their runs.

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
use crate::batch::Target;
use crate::batch::assignment::Assignment;
use crate::batch::clock_reading::ClockReading;
use crate::batch::dispatcher::pending_ends::PendingEnds;
use crate::batch::heartbeat_state::HeartbeatState;
use crate::batch::task_progress::Avoided;
use crate::name::ExecutorId;

/// Longest time that an executor delays its answer until a run ends, in milliseconds.
const REPLY_WAIT_MS: u64 = 1_000;
/// Pause after the first heartbeat without an answer, in milliseconds.
const RETRY_MS: u64 = 250;
/// Number of times that the pause doubles, once for each further heartbeat without an answer.
const RETRY_DOUBLINGS: u32 = 3;
/// Longest pause while runs of an earlier owner may be there, in milliseconds.
const MAX_RETRY_MS: u64 = 1_000;
/// Longest pause once this owner knows all runs there, in milliseconds.
const MAX_KNOWN_RETRY_MS: u64 = 2_000;
/// Time between two records of the waits for executors with unknown runs, in milliseconds.
const WAITS_INTERVAL_MS: u64 = 500;
/// Most waits in one record.
const WAITS_PER_RECORD: usize = 500;
/// Most records of ends in one append.
const ENDS_PER_APPEND: usize = 3;
/// Time for which a task is not started again on the executor where it failed, in milliseconds.
const AVOID_MS: u64 = 1_000;
/// Time after which an executor gets the next heartbeat though its ends are not in the log yet, in
/// milliseconds.
const LOG_WAIT_MS: u64 = 1_500;
/// Shortest time between two heartbeats to an executor that reports no new ends, in milliseconds.
const MIN_INTERVAL_MS: u64 = 150;

impl Dispatcher {
    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: Now) {
        let lease = self.lease(now.at);
        for (id, executor) in &mut self.executors {
            let (HeartbeatState::Due(due) | HeartbeatState::AwaitingLog(due)) = executor.heartbeat
            else {
                continue;
            };
            if due > now.at || !executor.is_heartbeat_needed() {
                continue;
            }
            let renewed = lease.filter(|_| executor.is_settled());
            let deadline = renewed.and_then(|lease| {
                executor.leases.renew(now.at);
                executor.deadline(now.at, lease)
            });
            executor.heartbeat = HeartbeatState::Sent(now.at);
            self.actions.push(Action::Heartbeat(Heartbeat {
                target: Target {
                    addr: executor.heartbeat_addr(),
                    ..executor.target(id)
                },
                deadline,
                acked: executor.acknowledgement(now.at),
                wait: if executor.is_urgent() {
                    0
                } else {
                    REPLY_WAIT_MS
                },
                decided: now.at,
            }));
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Now,
        order: &Heartbeat,
        sent: Instant,
        result: Result<Report, OrderError>,
    ) {
        let target = &order.target;
        if result == Err(OrderError::Fenced) {
            return self.on_fenced(target);
        }
        let executor = self.executors.get(&target.executor);
        let latest = HeartbeatState::Sent(order.decided);
        if executor.is_none_or(|executor| executor.heartbeat != latest) {
            // The answer to a later one tells all that this one does.
            return;
        }
        match result {
            Ok(report) => {
                self.note_released(order);
                self.on_report(now, target, sent, report);
            }
            Err(err) => {
                if err == OrderError::Reborn {
                    self.on_reborn(now, target);
                }
                self.on_heartbeat_failed(now, target, err);
            }
        }
    }

    /// Notes that the ends that a heartbeat acknowledged are forgotten, whichever process answered it.
    fn note_released(&mut self, order: &Heartbeat) {
        if let Some(executor) = self.executors.get_mut(&order.target.executor) {
            executor.released = executor.released.max(order.acked);
        }
    }

    /// Handles the refusal of an order because the executor has seen a higher fencing token.
    pub(super) fn on_fenced(&mut self, target: &Target) {
        let id = &target.executor;
        if target.token < self.token(id) {
            info!(self.log, "order to an earlier process refused"; "executor" => %id);
            return;
        }
        warn!(self.log, "order fenced by a later owner; ending the term";
            "executor" => %id, "fence" => self.fence);
        self.actions.push(Action::StepDown);
    }

    fn on_heartbeat_failed(&mut self, now: Now, target: &Target, err: OrderError) {
        let id = &target.executor;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.swap_address(target.addr) {
            executor.heartbeat = HeartbeatState::Due(now.at);
            return;
        }
        if !executor.heartbeat_failed {
            warn!(self.log, "heartbeat failed; executor gets no new work";
                "executor" => %id, "why" => %err);
        }
        executor.heartbeat_failed = true;
        let limit = if executor.runs_known {
            MAX_KNOWN_RETRY_MS
        } else {
            MAX_RETRY_MS
        };
        let pause = (RETRY_MS << executor.missed.min(RETRY_DOUBLINGS)).min(limit);
        executor.missed += 1;
        executor.heartbeat = HeartbeatState::Due(now.at + Duration::from_millis(pause));
    }

    fn on_report(&mut self, now: Now, target: &Target, sent: Instant, report: Report) {
        let id = &target.executor;
        self.note_start(now, target, report.born);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.heartbeat_failed {
            info!(self.log, "heartbeat answered again"; "executor" => %id);
            self.dirty = true;
        }
        executor.heartbeat_failed = false;
        executor.missed = 0;
        // Until an order with the process's own token is answered, others to an earlier one may arrive.
        let settled = target.token == executor.token;
        if settled {
            executor.leases.fence(now.at, self.longest_lease);
        }
        let first = settled && !executor.reported;
        executor.unanswered_since = executor.unanswered_since.filter(|&since| since > sent);
        // Tasks may have waited for the answer.
        self.dirty |= executor.process.asked.is_some();
        executor.process.note_clock(ClockReading {
            clock: report.clock,
            sent,
            received: now.at,
        });
        executor.expire_starts(now.at);
        executor.more_ends = report.more_ends;
        if settled && (!report.more_ends || executor.runs_known) {
            self.note_reported(id);
        }
        self.dirty |= first;
        if first {
            self.expect_late_starts(now, id);
        }
        self.apply_ends(now, id, &report.ended);
        self.apply_runs(now, id, &report.running);
        self.stop_long_leases(now, id);
        if !settled {
            return;
        }
        if !report.more_ends {
            self.reconcile(id, sent, &report.running);
            self.stop_stalled(now, id);
        }
        self.pace(id);
        self.schedule_heartbeat(now, id, sent, first);
    }

    /// Notes that an executor has reported all runs that earlier owners may have started there.
    fn note_reported(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let info = executor.info.as_ref();
        let outgrown = info.is_some_and(|info| self.state.is_outgrown(id, &info.capacity));
        let unassigned =
            executor.wait_recorded || executor.assignment == Assignment::None || outgrown;
        executor.wait_recorded = false;
        executor.reported = true;
        executor.runs_known = true;
        if unassigned {
            self.assign(id);
        }
    }

    /// Notes when the process started that answered an order, if it states that.
    fn note_start(&mut self, now: Now, target: &Target, born: Option<u64>) {
        let id = &target.executor;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        // Tasks may have waited for the answer.
        self.dirty |= executor.is_confirmation_due();
        let known = executor.born;
        let confirmed = executor.confirm_entry(target.addr, born);
        let born = born.or_else(|| confirmed.as_ref().map(|info| info.born));
        if born.is_some() {
            executor.born = born;
            executor.born_reported = true;
        }
        let restarted = known.is_some() && executor.born != known;
        if let Some(info) = confirmed {
            self.apply_confirmed(now, info);
        }
        if restarted {
            self.reset(now, id);
        }
    }

    fn schedule_heartbeat(&mut self, now: Now, id: &ExecutorId, sent: Instant, first: bool) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.seen > executor.acked {
            let latest = now.at + Duration::from_millis(LOG_WAIT_MS);
            executor.heartbeat = HeartbeatState::AwaitingLog(latest);
            return;
        }
        // After an early answer without new ends, the next heartbeat waits for the interval.
        let interval = if first { 0 } else { MIN_INTERVAL_MS };
        let next = sent + Duration::from_millis(interval);
        executor.heartbeat = HeartbeatState::Due(next.max(now.at));
    }

    /// Applies the ends that were not reported before.
    fn apply_ends(&mut self, now: Now, id: &ExecutorId, ends: &[RunEnd]) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let seen = executor.seen;
        let new_ends: Vec<RunEnd> = ends
            .iter()
            .filter(|end| end.number > seen)
            .cloned()
            .collect();
        let Some(highest) = new_ends.iter().map(|end| end.number).max() else {
            return;
        };
        executor.seen = highest;
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
            if executor.born == ends.born && executor.seen >= ends.number {
                executor.acked = executor.acked.max(ends.number);
            }
            if matches!(executor.heartbeat, HeartbeatState::AwaitingLog(_)) {
                executor.heartbeat = HeartbeatState::Due(now.at);
            }
        }
        for id in ends.jobs {
            self.state.jobs.note_logged(&id);
        }
    }

    /// Unassigns executors whose leases have expired, once the election has confirmed this owner
    /// after the expiry: then no other owner has renewed the leases.
    pub(super) fn expire_leases(&mut self, now: Now) {
        let over = self.executors.iter().filter(|(_, executor)| {
            executor.is_lease_over(now.at) && self.confirmed >= executor.leases.expires
        });
        let ids: Vec<ExecutorId> = over.map(|(id, _)| id.clone()).collect();
        for id in ids {
            warn!(self.log, "leases expired; giving up the runs on the executor";
                "executor" => %id);
            self.unassign(&id);
        }
    }

    /// Drops all runs of an executor on which nothing can run any more, and records that, so that
    /// the next owner does not wait for it.
    pub(super) fn unassign(&mut self, id: &ExecutorId) {
        self.remove_runs(id);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.unassign();
        }
        self.state.release(id);
        self.append(vec![Record::Released(id.clone())]);
        self.dirty = true;
    }

    /// Records how long this owner has waited for each executor with unknown runs. The next owner
    /// goes on from there instead of waiting for the full time again.
    pub(super) fn record_waits(&mut self, now: Now) {
        if now.at < self.last_waits + Duration::from_millis(WAITS_INTERVAL_MS) {
            return;
        }
        self.last_waits = now.at;
        let unknown = self
            .executors
            .iter_mut()
            .filter(|(_, executor)| executor.has_unknown_runs());
        let waits = unknown.map(|(id, executor)| {
            executor.wait_recorded = true;
            (id.clone(), executor.waited(now.at))
        });
        let waits: Vec<(ExecutorId, u64)> = waits.collect();
        for chunk in waits.chunks(WAITS_PER_RECORD) {
            self.append(vec![Record::RecoveryWaits(chunk.to_vec())]);
        }
    }
}
