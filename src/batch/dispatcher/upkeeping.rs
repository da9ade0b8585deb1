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
use crate::batch::dispatcher::placing;
use crate::batch::seat::Seat;
use crate::batch::slot::Phase;
use crate::batch::stage::Stage;
use crate::batch::upkeep::HostState;
use crate::batch::upkeep::Load;
use crate::batch::upkeep::Wish;
use crate::name::ExecutorId;
use crate::name::HostName;

/// Time after an earlier owner's order for a host in which this one gives none, in milliseconds.
const SETTLE_MS: u64 = 3_300;
/// Time after which nothing runs any more on a host whose executor isn't listed, in milliseconds.
const MISSING_MS: u64 = 6_500;

impl Dispatcher {
    /// Follows the waves that operators ask for.
    pub(super) fn upkeep(&mut self, now: Now) {
        self.note_missing(now);
        let mut waves = std::mem::take(&mut self.waves);
        let wishes = waves.plan(now.at, |host| self.host_state(now, host));
        self.waves = waves;
        for (wave, host, wish) in wishes {
            match wish {
                Wish::TakeDown => self.take_down(now, wave, host),
                Wish::Empty => self.empty(now, &host, false),
                Wish::Clear => self.empty(now, &host, true),
            }
        }
        for (wave, state) in self.waves.tell(now.at) {
            info!(self.log, "wave"; "wave" => wave, "state" => ?state);
            self.actions.push(Action::Report { wave, state });
        }
    }

    /// Notes since when hosts that are up have no executor that the platform lists.
    fn note_missing(&mut self, now: Now) {
        let policy = self.orders.policy.as_ref();
        let spare = |host: &Host| {
            let pool = policy.and_then(|policy| policy.pools.get(&host.pool));
            pool.is_some_and(|pool| pool.spare)
        };
        let seats = &self.seats;
        let seated = |host: &Host| seats.values().any(|seat| stands_on(seat, &host.name));
        let missing = self
            .hosts
            .iter()
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
        let listed = self.hosts.iter().find(|listed| listed.name == *host);
        match listed.map(|listed| listed.phase) {
            Some(HostPhase::Up) => {}
            Some(HostPhase::Upkeep) => return HostState::Down,
            Some(HostPhase::Moving | HostPhase::Down) => return HostState::Unknown,
            // The order will tell whether it is gone for good.
            None => return HostState::Up(Load::default()),
        }
        if is_settling(self.book.ordered.get(host), now) {
            return HostState::Down;
        }
        let unknown = self.seats.values().filter(|seat| stands_on(seat, host));
        let unknown = unknown
            .filter(|seat| !seat.resolved || !seat.cleared)
            .count()
            > 0;
        let wait = Duration::from_millis(MISSING_MS);
        let missing = self
            .missing
            .get(host)
            .is_some_and(|&since| now.at < since + wait);
        if unknown || missing || self.pools.is_closed(Some(host)) {
            return HostState::Unknown;
        }
        HostState::Up(load(self.seats.values(), host))
    }

    fn take_down(&mut self, now: Now, wave: u64, host: HostName) {
        info!(self.log, "upkeep ordered"; "host" => %host, "wave" => wave);
        self.waves.ordered(wave, &host);
        self.note_order(now, &host);
        self.actions.push(Action::Maintain(Maintain {
            host,
            wave,
            holder: self.node.clone(),
            fence: self.fence,
        }));
    }

    /// Lets a later owner know that this one has given an order for a host.
    pub(super) fn note_order(&mut self, now: Now, host: &HostName) {
        let host = host.clone();
        let at = now.unix;
        self.append(vec![Record::Ordered { host, at }]);
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
                self.actions.push(Action::Abdicate);
            }
            Err(err) => warn!(self.log, "upkeep not begun"; "host" => %host, "why" => %err),
        }
        if self.waves.answered(now.at, *wave, host, result) {
            let (wave, host) = (*wave, host.clone());
            self.append(vec![Record::Kept { wave, host }]);
        }
        self.dirty = true;
    }

    /// Stops tasks on a host: those that last, and the others as well if `all`.
    pub(super) fn empty(&mut self, now: Now, host: &HostName, all: bool) {
        let on = |seat: &Seat| stands_on(seat, host);
        let seats = self.seats.iter().filter(|(_, seat)| on(seat));
        let runs = seats.flat_map(|(id, seat)| {
            let running = seat.slots.iter();
            let running = running.filter(|(_, slot)| matches!(slot.phase, Phase::Running(_)));
            let wanted = running.filter(|(_, slot)| all || slot.lasting);
            wanted.map(|(&(task, run), _)| (id.clone(), task, run))
        });
        let runs: Vec<(ExecutorId, TaskId, u64)> = runs.collect();
        for (id, task, run) in runs {
            if self.may_interrupt(now, &task) && (all || self.has_place(now, &task)) {
                self.stop(&id, task, run);
            }
        }
    }

    /// Whether another executor would take a task, were it started now.
    fn has_place(&self, now: Now, id: &TaskId) -> bool {
        let Some(entry) = self.book.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = entry.job.steps.get(id.step as usize) else {
            return true;
        };
        let stages = entry.occurrences.get(&id.occurrence);
        let stage = stages.and_then(|stages| stages.get(id.step as usize));
        let spread = stage.map(Stage::spread).unwrap_or_default();
        let wish = placing::Wish {
            id: id.of_step(),
            service: &entry.job.service,
            step,
            spread: &spread,
            planned: &BTreeMap::new(),
        };
        self.choose(now, &wish).is_some()
    }

    /// Whether a task may be interrupted without too many of its step being away.
    fn may_interrupt(&self, now: Now, id: &TaskId) -> bool {
        let Some(entry) = self.book.jobs.get(&id.job) else {
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

pub(super) fn stands_on(seat: &Seat, host: &HostName) -> bool {
    let info = seat.info.as_ref();
    info.is_some_and(|info| info.host.as_ref() == Some(host)) && !seat.is_retired()
}

pub(super) fn load<'a>(seats: impl Iterator<Item = &'a Seat>, host: &HostName) -> Load {
    let mut load = Load::default();
    for seat in seats.filter(|seat| stands_on(seat, host)) {
        for slot in seat.slots.values() {
            if slot.lasting {
                load.lasting += 1;
            } else {
                load.passing += 1;
            }
        }
    }
    load
}
