//! Makes sure that orders reach the process of an executor that they are meant for.

use slog::warn;

use crate::batch::Dispatcher;
use crate::batch::Now;
use crate::batch::Start;
use crate::batch::StartAnswer;
use crate::batch::clock_reading::ClockReading;
use crate::batch::clock_reading::Continuity;
use crate::batch::heartbeat_state::HeartbeatState;
use crate::name::ExecutorId;

impl Dispatcher {
    /// Returns the starts on executors that can't have restarted since they last answered, and asks the
    /// others whether they have. Returns none if `all` are wanted and some are left out.
    pub(super) fn verified_only(
        &mut self,
        now: Now,
        all: bool,
        mut starts: Vec<(u32, ExecutorId, u64)>,
    ) -> Vec<(u32, ExecutorId, u64)> {
        let planned = starts.len();
        starts.retain(|(_, id, _)| {
            let Some(executor) = self.executors.get_mut(id) else {
                return false;
            };
            let verified = executor.is_verified(now.at);
            if !verified {
                executor.ask(now.at);
            }
            verified
        });
        if all && starts.len() < planned {
            starts.clear();
        }
        starts
    }

    /// Learns from the clock in the answer to a start whether the order was carried out by the process
    /// that it was meant for. If that isn't sure, asks the executor.
    pub(super) fn check_process(&mut self, now: Now, order: &Start, answer: &StartAnswer) {
        let id = &order.target.executor;
        let executor = self.executors.get_mut(id);
        let (Some(executor), Some(clock)) = (executor, answer.clock) else {
            return;
        };
        if order.target.token < executor.token {
            // Carried out before the present process had its own fencing token.
            return executor.leases.extend(now.at, self.longest_lease);
        }
        let reading = ClockReading {
            clock,
            sent: order.decided,
            received: now.at,
        };
        match executor.process.continuity(&reading) {
            None => return,
            Some(Continuity::Same) => {
                // Tasks may have waited for the answer to a heartbeat.
                self.dirty |= executor.process.asked.is_some();
                return executor.process.note_clock(reading);
            }
            Some(Continuity::Unknown) => {}
            Some(Continuity::Restarted) => {
                warn!(self.log, "clock behind in the answer to a start; the executor has restarted";
                    "executor" => %id, "clock_ms" => clock,
                    "expected_ms" => executor.process.clock.map(|last| last.reached(reading.sent)));
            }
        }
        executor.leases.extend(now.at, self.longest_lease);
        executor.process.asked.get_or_insert(now.at);
        // A heartbeat that was sent before may have gone to the earlier process.
        executor.heartbeat = HeartbeatState::Due(now.at);
    }
}
