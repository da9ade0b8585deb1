//! Takes hosts down for their upkeep, emptied first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Host;
use crate::batch::HostPhase;
use crate::batch::Maintain;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Record;
use crate::batch::TaskId;
use crate::batch::Wave;
use crate::batch::dispatcher::host_orders::FRESH_MS;
use crate::batch::dispatcher::host_orders::HostOrder;
use crate::batch::executor_capacity::SiteCapacity;
use crate::batch::executor_capacity::Wish;
use crate::batch::run_state::Phase;
use crate::batch::step_progress::StepProgress;
use crate::batch::waves;
use crate::batch::waves::HostState;
use crate::batch::waves::Load;
use crate::name::ExecutorId;
use crate::name::HostName;

/// Time between two looks at the waves, in milliseconds.
const LOOK_MS: u64 = 50;
/// Time after an earlier owner's order for a host in which this one gives none, in milliseconds.
const REST_MS: u64 = 3_300;
/// The same after the record of the order, which may be given as late as that allows.
const SETTLE_MS: u64 = REST_MS + FRESH_MS;
/// Time after which nothing runs any more on a host whose executor isn't listed, in milliseconds.
const MISSING_MS: u64 = 6_500;

impl Dispatcher {
    /// Follows the waves that operators ask for.
    pub(super) fn waves(&mut self, now: Now) {
        if now.at < self.upkept + Duration::from_millis(LOOK_MS) {
            return;
        }
        self.upkept = now.at;
        let mut waves = std::mem::take(&mut self.waves);
        let wishes = waves.plan(now.at, |host| self.host_state(now, host));
        self.waves = waves;
        self.mark_usable(now);
        for (wave, host, wish) in wishes {
            match wish {
                waves::Wish::TakeDown => self.take_down(now, wave, host),
                waves::Wish::Empty => self.empty(now, &host, false),
                waves::Wish::Clear => self.empty(now, &host, true),
            }
        }
        for (wave, state) in self.waves.tell(now.at) {
            info!(self.log, "wave"; "wave" => wave, "state" => ?state);
            self.actions.push(Action::Report { wave, state });
        }
    }

    /// Takes the waves that operators ask for. The log says since when, so that their time doesn't
    /// begin anew with the next owner.
    pub(super) fn note_waves(&mut self, now: Now, waves: &BTreeMap<u64, Wave>) {
        for &wave in waves.keys() {
            if self.state.wave_requests.contains_key(&wave) {
                continue;
            }
            let at = now.unix;
            self.state.wave_requests.insert(wave, at);
            self.append(vec![Record::WaveRequested { wave, at }]);
        }
        self.waves.ask(now, waves, &self.state.wave_requests);
    }

    /// Notes since when hosts that are up have no executor that the platform lists.
    pub(super) fn note_missing(&mut self, now: Now) {
        let policy = self.directives.policy.as_ref();
        let spare = |host: &Host| {
            let pool = policy.and_then(|policy| policy.pools.get(&host.pool));
            pool.is_some_and(|pool| pool.spare)
        };
        let seated = |host: &Host| self.on_host(&host.name).next().is_some();
        let missing = self
            .hosts
            .values()
            .filter(|host| host.phase == HostPhase::Up && !spare(host) && !seated(host));
        let missing: BTreeSet<HostName> = missing.map(|host| host.name.clone()).collect();
        self.missing.retain(|host, _| missing.contains(host));
        for host in missing {
            self.missing.entry(host).or_insert(now.at);
        }
    }

    /// Whether a host can be had for its upkeep, as far as is known.
    fn host_state(&self, now: Now, host: &HostName) -> HostState {
        if self.hosts.is_empty() {
            return HostState::Unknown;
        }
        let listed = self.hosts.get(host);
        match listed.map(|listed| listed.phase) {
            Some(HostPhase::Up) => {}
            Some(HostPhase::Upkeep) => return HostState::Down,
            Some(HostPhase::Moving | HostPhase::Down) => return HostState::Unknown,
            // The order will tell whether it is gone for good.
            None => return HostState::Up(Load::default()),
        }
        if is_settling(self.state.ordered.get(host), now) {
            return HostState::Down;
        }
        let unknown = self.on_host(host).any(|(_, seat)| !seat.is_known());
        let wait = Duration::from_millis(MISSING_MS);
        let missing = self
            .missing
            .get(host)
            .is_some_and(|&since| now.at < since + wait);
        if unknown || missing || self.pools.is_closed(Some(host)) {
            return HostState::Unknown;
        }
        HostState::Up(self.load(host))
    }

    fn take_down(&mut self, now: Now, wave: u64, host: HostName) {
        info!(self.log, "upkeep ordered"; "host" => %host, "wave" => wave);
        self.waves.ordered(wave, &host);
        let order = Maintain {
            host,
            wave,
            holder: self.node.clone(),
            fence: self.fence,
        };
        self.announce(now, HostOrder::Maintain(order));
    }

    pub(super) fn maintained(
        &mut self,
        now: Now,
        order: &Maintain,
        result: Result<(), OrderError>,
    ) {
        let Maintain { host, wave, .. } = order;
        match result {
            Ok(()) => {
                info!(self.log, "upkeep begun"; "host" => %host, "wave" => wave);
                self.retire(now, host);
            }
            Err(OrderError::Fenced) => {
                warn!(self.log, "fenced"; "host" => %host, "fence" => self.fence);
                self.actions.push(Action::StepDown);
            }
            Err(err) => warn!(self.log, "upkeep not begun"; "host" => %host, "why" => %err),
        }
        if self.waves.answered(now.at, *wave, host, result) {
            let (wave, host) = (*wave, host.clone());
            self.append(vec![Record::HostMaintained { wave, host }]);
        }
        self.mark_usable(now);
        self.dirty = true;
    }

    /// Stops tasks on a host: those that last, and the others as well if `all`.
    pub(super) fn empty(&mut self, now: Now, host: &HostName, all: bool) {
        let runs = self.on_host(host).flat_map(|(id, seat)| {
            let running = seat.slots.iter();
            let running = running.filter(|(_, slot)| matches!(slot.phase, Phase::Running(_)));
            let wanted = running.filter(|(_, slot)| all || slot.lasting);
            wanted.map(|(&(task, run), _)| (id.clone(), task, run))
        });
        let runs: Vec<(ExecutorId, TaskId, u64)> = runs.collect();
        if runs.is_empty() {
            return;
        }
        let rooms = self.rooms(now);
        for (id, task, run) in runs {
            if self.may_interrupt(now, &task) && (all || self.has_place(&rooms, &task)) {
                self.stop(&id, task, run);
            }
        }
    }

    /// Whether another executor would take a task, were it started now.
    fn has_place(&self, rooms: &SiteCapacity, id: &TaskId) -> bool {
        let Some(entry) = self.state.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = entry.job.steps.get(id.step as usize) else {
            return true;
        };
        let stages = entry.occurrences.get(&id.occurrence);
        let stage = stages.and_then(|stages| stages.get(id.step as usize));
        let placed = stage.into_iter().flat_map(StepProgress::placed);
        let rooms = rooms.of(&entry.job.service);
        let good = self.advisor.tickets(&id.of_step());
        Wish::new(step, good, rooms, placed).best(rooms).is_some()
    }

    /// Whether a task may be interrupted without too many of its step being away.
    fn may_interrupt(&self, now: Now, id: &TaskId) -> bool {
        let Some(entry) = self.state.jobs.get(&id.job) else {
            return true;
        };
        let Some(limit) = entry
            .job
            .steps
            .get(id.step as usize)
            .and_then(|step| step.away)
        else {
            return true;
        };
        if now.at < self.settled {
            return false;
        }
        let stages = entry.occurrences.get(&id.occurrence);
        let Some(stage) = stages.and_then(|stages| stages.get(id.step as usize)) else {
            return true;
        };
        let others = stage.tasks.iter().enumerate();
        let others = others.filter(|(index, _)| *index != id.index as usize);
        let away = others.filter(|(index, task)| {
            let id = TaskId {
                index: *index as u32,
                ..*id
            };
            !self.is_at_work(&id, task.placed.as_ref(), task.run)
        });
        away.count() < limit as usize
    }

    /// What runs on a host.
    pub(super) fn load(&self, host: &HostName) -> Load {
        let mut load = Load::default();
        for (_, seat) in self.on_host(host) {
            let lasting = seat.lasting;
            load.lasting += lasting;
            load.passing += seat.slots.len() - lasting;
        }
        load
    }

    fn is_at_work(&self, id: &TaskId, executor: Option<&ExecutorId>, run: u64) -> bool {
        let seat = executor.and_then(|executor| self.seats.get(executor));
        let seat = seat.filter(|seat| !seat.silent);
        let slot = seat.and_then(|seat| seat.slots.get(&(*id, run)));
        slot.is_some_and(|slot| matches!(slot.phase, Phase::Running(_)) && slot.percent >= 100)
    }
}

/// Whether an earlier owner has just given an order for a host, at `ordered`.
pub(super) fn is_settling(ordered: Option<&u64>, now: Now) -> bool {
    ordered.is_some_and(|at| now.unix < at + SETTLE_MS)
}
