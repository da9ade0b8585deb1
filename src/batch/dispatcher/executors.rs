//! Which executors there are.

use std::collections::BTreeSet;
use std::rc::Rc;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::Executor;
use crate::batch::HostPhase;
use crate::batch::Now;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::batch::executor_state::Assignment;
use crate::batch::executor_state::ExecutorState;
use crate::batch::executor_state::HeartbeatState;
use crate::name::ExecutorId;
use crate::name::HostName;

impl Dispatcher {
    /// Begins the term: every executor that may have work of an earlier owner is asked for it.
    pub fn begin(&mut self, now: Now) {
        for (id, (service, addr)) in &self.state.assigned {
            let mut seat =
                ExecutorState::inherited(service.clone(), *addr, Partitions::of(id), now.at);
            if let Some(&waited) = self.state.unresponsive.get(id) {
                seat.resume_wait(waited);
            }
            self.seats.insert(id.clone(), seat);
        }
        // Their records may be old.
        self.rewritten = 0;
    }

    /// Takes the platform's list of executors.
    pub(super) fn list(&mut self, now: Now, list: Vec<Executor>) {
        let ids: BTreeSet<ExecutorId> = list.iter().map(|executor| executor.id.clone()).collect();
        for (id, seat) in &mut self.seats {
            if !ids.contains(id) {
                seat.info = None;
            }
        }
        for executor in list {
            self.list_one(now, executor);
        }
        self.release_gone();
        self.index_hosts();
        self.unassign_moved();
        self.note_missing(now);
        self.mark_usable(now);
        self.dirty = true;
    }

    fn list_one(&mut self, now: Now, executor: Executor) {
        let id = executor.id.clone();
        let Some(seat) = self.seats.get_mut(&id) else {
            info!(self.log, "executor listed"; "executor" => %id, "service" => %executor.service);
            self.seats
                .insert(id.clone(), ExecutorState::fresh(executor, now.at));
            return self.assign(&id);
        };
        if seat.born.is_some_and(|born| executor.born < born) {
            return;
        }
        let leaves = seat.info.as_ref().is_none_or(|info| !info.draining);
        if executor.draining && leaves {
            info!(self.log, "executor leaves"; "executor" => %id);
        }
        let reborn = seat.born.is_some_and(|born| executor.born > born);
        let moved = seat.addr != executor.addr;
        seat.addr = executor.addr;
        seat.service = executor.service.clone();
        seat.born = Some(executor.born);
        seat.info = Some(Rc::new(executor));
        if reborn {
            self.reset(now, &id);
        }
        if moved {
            self.assign(&id);
        }
    }

    /// Asks for the record without which an executor is given nothing.
    pub(super) fn assign(&mut self, id: &ExecutorId) {
        let Some(seat) = self.seats.get(id) else {
            return;
        };
        let record = Record::Assigned {
            executor: id.clone(),
            service: seat.service.clone(),
            addr: seat.addr,
        };
        let append_id = self.append(vec![record]);
        self.engaging.insert(append_id, id.clone());
        if let Some(seat) = self.seats.get_mut(id) {
            seat.assignment = Assignment::Asked(append_id);
        }
    }

    pub(super) fn assigned(&mut self, id: &ExecutorId, append_id: u64) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        if seat.assignment != Assignment::Asked(append_id) {
            // It was given up meanwhile.
            return;
        }
        seat.assignment = Assignment::Recorded;
        let place = (seat.service.clone(), seat.addr);
        self.state.assigned.insert(id.clone(), place);
    }

    fn release_gone(&mut self) {
        let gone = |seat: &ExecutorState| seat.info.is_none() && seat.is_empty();
        let ids = self.seats.iter().filter(|(_, seat)| gone(seat));
        let ids: Vec<ExecutorId> = ids.map(|(id, _)| id.clone()).collect();
        for id in ids {
            info!(self.log, "executor gone"; "executor" => %id);
            let seat = self.seats.remove(&id);
            self.state.assigned.remove(&id);
            if seat.is_some_and(|seat| seat.assignment != Assignment::None) {
                self.append(vec![Record::Released(id)]);
            }
        }
    }

    /// The executor of a host is gone with all that ran there; another one will come.
    pub(super) fn retire(&mut self, now: Now, host: &HostName) {
        let ids = self.lives.get(host).cloned().unwrap_or_default();
        for id in ids {
            self.free_all(&id);
            if let Some(seat) = self.seats.get_mut(&id) {
                seat.retired = seat.born;
                seat.expires = now.at;
            }
            self.unassign(&id);
        }
        self.note_missing(now);
    }

    /// Gives up the executors that the owner hasn't heard from and whose hosts have been ordered
    /// down or to another pool since: the platform ends an executor with such an order.
    pub(super) fn unassign_moved(&mut self) {
        let unresponsive = self.seats.iter().filter(|(_, seat)| seat.is_unheard());
        let ended = unresponsive.filter(|(_, seat)| self.is_ended(seat));
        let ended: Vec<ExecutorId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            info!(self.log, "executor ended by an order"; "executor" => %id);
            self.unassign(&id);
        }
    }

    fn is_ended(&self, seat: &ExecutorState) -> bool {
        let host = seat.info.as_ref().and_then(|info| info.host.as_ref());
        let Some(host) = host.and_then(|host| self.hosts.get(host)) else {
            return false;
        };
        match host.phase {
            HostPhase::Moving | HostPhase::Upkeep => true,
            HostPhase::Up => host.pool != seat.service,
            HostPhase::Down => false,
        }
    }

    /// Notes which executors say that they are lives of which hosts.
    fn index_hosts(&mut self) {
        self.lives.clear();
        for (id, seat) in &self.seats {
            let info = seat.info.as_ref();
            if let Some(host) = info.and_then(|info| info.host.as_ref()) {
                let lives = self.lives.entry(host.clone()).or_default();
                lives.push(id.clone());
            }
        }
    }

    /// Executors of a host that have not been ended by an order.
    pub(super) fn on_host(
        &self,
        host: &HostName,
    ) -> impl Iterator<Item = (&ExecutorId, &ExecutorState)> {
        let lives = self.lives.get(host).into_iter().flatten();
        let seats = lives.filter_map(|id| self.seats.get_key_value(id));
        seats.filter(|(_, seat)| !seat.is_retired())
    }

    /// Forgets what ran on an executor that began another life.
    pub(super) fn reset(&mut self, now: Now, id: &ExecutorId) {
        info!(self.log, "executor began another life"; "executor" => %id);
        self.free_all(id);
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        seat.seen = 0;
        seat.acked = 0;
        seat.clock = None;
        seat.resolved = false;
        seat.cleared = true;
        seat.expires = now.at;
        if !matches!(seat.probe, HeartbeatState::Sent(_)) {
            seat.probe = HeartbeatState::At(now.at);
        }
    }
}
