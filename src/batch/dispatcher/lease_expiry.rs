//! Executors whose leases have expired, and the waits for those that haven't reported.

use std::time::Duration;

use slog::warn;

use crate::batch::Dispatcher;
use crate::batch::Now;
use crate::batch::Record;
use crate::name::ExecutorId;

/// Time between two records of the waits for executors with unknown runs, in milliseconds.
const WAITS_INTERVAL_MS: u64 = 500;
/// Most waits in one record.
const WAITS_PER_RECORD: usize = 500;

impl Dispatcher {
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
