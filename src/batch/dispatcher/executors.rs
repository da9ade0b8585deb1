//! The list of executors, and their assignment in the log.
//!
//! An executor must be assigned in the log before it is given work. It loses its assignment, with a
//! `Released` record, when it is unassigned (nothing can run there any more) or removed (it is no
//! longer listed). One that has restarted is reset: it loses its runs, but stays assigned.

use std::collections::BTreeSet;
use std::rc::Rc;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::Executor;
use crate::batch::Fence;
use crate::batch::HostPhase;
use crate::batch::Now;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::batch::Target;
use crate::batch::assignment::Assignment;
use crate::batch::end_numbers::EndNumbers;
use crate::batch::executor_state::ExecutorState;
use crate::batch::heartbeat_state::HeartbeatState;
use crate::batch::record::TOKENS_PER_FENCE;
use crate::batch::unconfirmed_entry::UnconfirmedEntry;
use crate::name::ExecutorId;
use crate::name::HostName;

impl Dispatcher {
    /// Begins the term with the executors that the log lists as assigned. Each may have runs of an
    /// earlier owner and is sent a heartbeat.
    pub fn begin(&mut self, now: Now) {
        for (id, (service, addr)) in &self.state.assigned {
            let token = self.token(id);
            let partition = Partitions::of(id);
            let mut executor =
                ExecutorState::inherited(service.clone(), *addr, partition, token, now.at);
            if let Some(&waited) = self.state.recovery_waits.get(id) {
                executor.resume_wait(waited);
            }
            self.executors.insert(id.clone(), executor);
        }
        // Their records may soon expire, so they are rewritten at the next check.
        self.last_rewrite = 0;
        self.update_backlog(now);
    }

    /// Applies the platform's list of executors.
    pub(super) fn update_executors(&mut self, now: Now, list: Vec<Executor>) {
        let ids: BTreeSet<ExecutorId> = list.iter().map(|listed| listed.id.clone()).collect();
        for (id, executor) in &mut self.executors {
            if !ids.contains(id) {
                executor.info = None;
                executor.unconfirmed = None;
            }
        }
        for listed in list {
            self.update_executor(now, listed);
        }
        self.remove_gone();
        self.index_hosts();
        self.unassign_moved();
        self.note_unlisted(now);
        self.mark_usable(now);
        self.dirty = true;
    }

    fn update_executor(&mut self, now: Now, listed: Executor) {
        let id = listed.id.clone();
        let Some(executor) = self.executors.get_mut(&id) else {
            info!(self.log, "executor listed"; "executor" => %id, "service" => %listed.service);
            let token = self.token(&id);
            self.executors
                .insert(id.clone(), ExecutorState::listed(listed, token, now.at));
            return self.assign(&id);
        };
        let earlier = executor.born.is_some_and(|born| listed.born < born);
        if earlier && executor.born_reported {
            // The listing is of an earlier process.
            return;
        }
        if executor.is_contradicted_by(&listed) {
            return self.ask_about(now, listed);
        }
        let was_active = executor.info.as_ref().is_none_or(|info| !info.draining);
        if listed.draining && was_active {
            info!(self.log, "executor draining"; "executor" => %id);
        }
        let restarted = executor.born.is_some_and(|born| listed.born > born);
        executor.born_reported &= !restarted;
        // An earlier start stated by the list alone shows no restart; its report tells.
        executor.born = executor.born.max(Some(listed.born));
        let assigned = executor.assignment != Assignment::None;
        // One with unknown runs is assigned again once it has reported.
        let reported = !executor.has_unknown_runs();
        let moved = executor.set_info(Rc::new(listed));
        if restarted {
            self.reset(now, &id);
        }
        if moved || (assigned && reported && self.has_outgrown_record(&id)) {
            self.assign(&id);
        }
    }

    /// Asks an executor about an entry that differs from what it reported. Its runs count as running
    /// until it answers or its leases are over.
    fn ask_about(&mut self, now: Now, listed: Executor) {
        let Some(executor) = self.executors.get_mut(&listed.id) else {
            return;
        };
        let unconfirmed = executor.unconfirmed.as_ref();
        if unconfirmed.is_some_and(|entry| *entry.info == listed) {
            return;
        }
        info!(self.log, "another start or address listed; asking the executor";
            "executor" => %listed.id, "addr" => %listed.addr, "born" => listed.born);
        executor.unconfirmed = Some(UnconfirmedEntry::listed(listed));
        executor.heartbeat = HeartbeatState::Due(now.at);
    }

    /// Applies an entry that the executor has confirmed.
    pub(super) fn apply_confirmed(&mut self, now: Now, info: Rc<Executor>) {
        let id = info.id.clone();
        let Some(executor) = self.executors.get_mut(&id) else {
            return;
        };
        if executor.set_info(info) {
            self.assign(&id);
        }
        self.index_hosts();
        self.mark_usable(now);
    }

    /// Whether an executor states more capacity than the log has for it.
    pub(super) fn has_outgrown_record(&self, id: &ExecutorId) -> bool {
        let executor = self.executors.get(id);
        let info = executor.and_then(|executor| executor.info.as_ref());
        info.is_some_and(|info| self.state.is_outgrown(id, &info.capacity))
    }

    /// Requests the record that must be in the log before an executor is given work.
    pub(super) fn assign(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let records = Record::assignment(id, executor);
        if let Some(info) = &executor.info {
            self.state.note_capacity(id, &info.capacity);
        }
        let append_id = self.append(records);
        self.pending_assignments.insert(append_id, id.clone());
        if let Some(executor) = self.executors.get_mut(id) {
            executor.assignment = Assignment::Pending(append_id);
        }
    }

    pub(super) fn on_assigned(&mut self, id: &ExecutorId, append_id: u64) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.assignment != Assignment::Pending(append_id) {
            // The executor was unassigned meanwhile.
            return;
        }
        executor.assignment = Assignment::Recorded;
        let place = (executor.service.clone(), executor.addr);
        self.state.assigned.insert(id.clone(), place);
    }

    /// Removes the executors that are no longer listed and have nothing left to wait for.
    fn remove_gone(&mut self) {
        let gone = |executor: &ExecutorState| executor.info.is_none() && executor.is_empty();
        let ids = self.executors.iter().filter(|(_, executor)| gone(executor));
        let ids: Vec<ExecutorId> = ids.map(|(id, _)| id.clone()).collect();
        for id in ids {
            info!(self.log, "executor removed"; "executor" => %id);
            let executor = self.executors.remove(&id);
            self.state.release(&id);
            if executor.is_some_and(|executor| executor.assignment != Assignment::None) {
                self.append(vec![Record::Released(id)]);
            }
        }
    }

    /// Unassigns the executors of a host that this owner has had moved or taken down, and drops
    /// their runs. Another executor will start there.
    pub(super) fn retire_executors(&mut self, now: Now, host: &HostName) {
        let ids = self.by_host.get(host).cloned().unwrap_or_default();
        for id in ids {
            self.remove_runs(&id);
            if let Some(executor) = self.executors.get_mut(&id) {
                let listed = executor.unconfirmed.take().map(|entry| entry.info.born);
                executor.retired = executor.born.max(listed);
                executor.leases.expires = now.at;
            }
            self.unassign(&id);
        }
        self.note_unlisted(now);
    }

    /// Asks the executors of a host what they run. They get no work until they have answered; their
    /// runs count as running until then or until their leases are over.
    pub(super) fn ask_executors(&mut self, now: Now, host: &HostName) {
        for id in self.by_host.get(host).into_iter().flatten() {
            let Some(executor) = self.executors.get_mut(id) else {
                continue;
            };
            executor.reported = false;
            if !matches!(executor.heartbeat, HeartbeatState::Sent(_)) {
                executor.heartbeat = HeartbeatState::Due(now.at);
            }
        }
    }

    /// Unassigns executors with unknown runs whose hosts have been taken down or moved to another
    /// pool: such an order ends the executor.
    pub(super) fn unassign_moved(&mut self) {
        let unknown = self
            .executors
            .iter()
            .filter(|(_, executor)| executor.has_unknown_runs());
        let ended = unknown.filter(|(_, executor)| self.is_ended_by_order(executor));
        let ended: Vec<ExecutorId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            info!(self.log, "host moved or taken down; unassigning its executor";
                "executor" => %id);
            self.unassign(&id);
        }
    }

    /// Whether the state of its host shows that an order to move the host or to take it down has
    /// ended the executor.
    fn is_ended_by_order(&self, executor: &ExecutorState) -> bool {
        let host = executor.info.as_ref().and_then(|info| info.host.as_ref());
        let Some(host) = host.and_then(|host| self.hosts.get(host)) else {
            return false;
        };
        match host.phase {
            HostPhase::Moving | HostPhase::Maintenance => true,
            HostPhase::Up => host.pool != executor.service,
            HostPhase::Down => false,
        }
    }

    /// Rebuilds the index of executors by host.
    fn index_hosts(&mut self) {
        self.by_host.clear();
        for (id, executor) in &self.executors {
            let info = executor.info.as_ref();
            if let Some(host) = info.and_then(|info| info.host.as_ref()) {
                let ids = self.by_host.entry(host.clone()).or_default();
                ids.push(id.clone());
            }
        }
    }

    /// Returns the executors of a host, except those that were ended by an order.
    pub(super) fn executors_on(
        &self,
        host: &HostName,
    ) -> impl Iterator<Item = (&ExecutorId, &ExecutorState)> {
        let ids = self.by_host.get(host).into_iter().flatten();
        let executors = ids.filter_map(|id| self.executors.get_key_value(id));
        executors.filter(|(_, executor)| !executor.is_retired())
    }

    /// Handles the refusal of an order by a process for which it was not meant. At an address that
    /// only the list states, this is no proof that the executor's process has ended.
    pub(super) fn on_reborn(&mut self, now: Now, target: &Target) {
        let executor = self.executors.get_mut(&target.executor);
        let Some(executor) = executor.filter(|executor| executor.addr == target.addr) else {
            return;
        };
        // The process at its address is not for it and refuses what still arrives.
        executor.unanswered.clear();
        self.reset(now, &target.executor);
        if let Some(executor) = self.executors.get_mut(&target.executor) {
            executor.leases.end(now.at);
        }
    }

    /// Returns the fencing token of the present process of an executor.
    pub(super) fn token(&self, id: &ExecutorId) -> Fence {
        let restarts = self.restarts.get(id).copied().unwrap_or(0);
        let number = restarts.min(TOKENS_PER_FENCE - 1);
        self.fence.saturating_mul(TOKENS_PER_FENCE) + number
    }

    /// Drops all runs of an executor that has restarted, except those that orders to its earlier
    /// process may still start. Its new process gets a fencing token of its own.
    pub(super) fn reset(&mut self, now: Now, id: &ExecutorId) {
        info!(self.log, "executor restarted"; "executor" => %id);
        self.remove_runs(id);
        self.advisor.forget_executor(id);
        *self.restarts.entry(id.clone()).or_default() += 1;
        let token = self.token(id);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.ends = EndNumbers::default();
        executor.process.clock = None;
        executor.reported = false;
        executor.runs_known = true;
        executor.token = token;
        executor.restarted = Some(now.at);
        executor.leases.restart(now.at, self.longest_lease);
        // A heartbeat that was sent before may still be answered by the earlier process.
        executor.heartbeat = HeartbeatState::Due(now.at);
        self.expect_late_starts(now, id);
    }
}
