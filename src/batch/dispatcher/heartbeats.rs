//! Heartbeats: they renew the leases of executors and return reports of their runs.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Heartbeat;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Report;
use crate::batch::Target;
use crate::batch::assignment::Assignment;
use crate::batch::clock_reading::ClockReading;
use crate::batch::heartbeat_state::HeartbeatState;
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
            let ends = &mut executor.ends;
            ends.released = ends.released.max(order.acked);
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
        executor.ends.more = report.more_ends;
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
        let outgrown = self.has_outgrown_record(id);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
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
        if executor.ends.seen > executor.ends.acked {
            let latest = now.at + Duration::from_millis(LOG_WAIT_MS);
            executor.heartbeat = HeartbeatState::AwaitingLog(latest);
            return;
        }
        // After an early answer without new ends, the next heartbeat waits for the interval.
        let interval = if first { 0 } else { MIN_INTERVAL_MS };
        let next = sent + Duration::from_millis(interval);
        executor.heartbeat = HeartbeatState::Due(next.max(now.at));
    }
}
