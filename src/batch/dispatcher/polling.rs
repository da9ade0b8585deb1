//! The phases of a poll.

use std::time::Duration;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Effort;
use crate::batch::Now;
use crate::batch::PollPhase;

/// Time between two checks for executors whose heartbeat is due.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(3);

impl Dispatcher {
    /// Returns the actions that have become due.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        for phase in PollPhase::ALL {
            self.run_phase(now, phase);
        }
        self.take_actions()
    }

    /// Runs a phase of a poll. A poll runs all of them, in the order of [`PollPhase::ALL`].
    pub fn run_phase(&mut self, now: Now, phase: PollPhase) {
        match phase {
            PollPhase::Opening => self.open_due(now),
            PollPhase::Waves => self.plan_waves(now),
            PollPhase::Pools => self.balance(now),
            PollPhase::Records => self.write_records(now),
            PollPhase::Placement => self.place_due(now),
            PollPhase::Heartbeats => self.check_heartbeats(now),
        }
    }

    /// Returns the actions that the phases and the events have resulted in since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Work done since the beginning of the term.
    #[must_use]
    pub const fn effort(&self) -> Effort {
        self.effort
    }

    fn write_records(&mut self, now: Now) {
        self.rewrite_old(now);
        self.record_waits(now);
        if !self.ungranted.is_empty() {
            let ids = std::mem::take(&mut self.ungranted);
            self.grant_new(&ids);
        }
    }

    fn place_due(&mut self, now: Now) {
        self.expire_starts(now);
        if self.is_placement_due(now) {
            if self.dirty || !self.unfinished {
                self.restart_rounds();
            }
            self.dirty = false;
            self.unfinished = false;
            self.last_placement = now.at;
            self.place_tasks(now);
        }
    }

    fn check_heartbeats(&mut self, now: Now) {
        if now.at >= self.last_heartbeat + HEARTBEAT_INTERVAL {
            self.last_heartbeat = now.at;
            self.expire_leases(now);
            self.send_heartbeats(now);
        }
    }
}
