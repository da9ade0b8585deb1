//! Drains hosts and takes them down for maintenance.

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
use crate::batch::dispatcher::host_orders::HostOrder;
use crate::batch::dispatcher::host_orders::ORDER_VALIDITY_MS;
use crate::batch::executor_capacity::SiteCapacity;
use crate::batch::executor_capacity::StepPlacement;
use crate::batch::run_state::Phase;
use crate::batch::step_progress::StepProgress;
use crate::batch::waves;
use crate::batch::waves::HostState;
use crate::batch::waves::RunCounts;
use crate::name::ExecutorId;
use crate::name::HostName;

/// Time between two checks of the waves, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// Time after an earlier owner's order for a host in which this owner sends none, in milliseconds.
const ORDER_PAUSE_MS: u64 = 3_300;
/// Time after the record of an earlier owner's order for a host in which this owner sends none, in
/// milliseconds: the order may be sent up to `ORDER_VALIDITY_MS` after its record.
const RECENT_ORDER_MS: u64 = ORDER_PAUSE_MS + ORDER_VALIDITY_MS;
/// Time after which nothing can run any more on a host whose executor is not listed, in
/// milliseconds.
const UNLISTED_MS: u64 = 6_500;

impl Dispatcher {
    /// Advances the maintenance waves that operators have requested.
    pub(super) fn plan_waves(&mut self, now: Now) {
        if now.at < self.last_planning + Duration::from_millis(CHECK_INTERVAL_MS) {
            return;
        }
        self.last_planning = now.at;
        let mut waves = std::mem::take(&mut self.waves);
        let actions = waves.plan(now.at, |host| self.host_state(now, host));
        self.waves = waves;
        self.mark_usable(now);
        for (wave, host, action) in actions {
            match action {
                waves::HostAction::TakeDown => self.take_down(now, wave, host),
                waves::HostAction::StopLongRunning => self.stop_runs(now, &host, false),
                waves::HostAction::StopAll => self.stop_runs(now, &host, true),
            }
        }
        for (wave, state) in self.waves.due_reports(now.at) {
            info!(self.log, "reporting wave state"; "wave" => wave, "state" => ?state);
            self.actions.push(Action::Report { wave, state });
        }
    }

    /// Applies the waves that operators have requested. The time of each request is recorded in the
    /// log, so that a wave's period does not start again with the next owner.
    pub(super) fn note_waves(&mut self, now: Now, waves: &BTreeMap<u64, Wave>) {
        for &wave in waves.keys() {
            if self.state.wave_requests.contains_key(&wave) {
                continue;
            }
            let at = now.unix;
            self.state.wave_requests.insert(wave, at);
            self.append(vec![Record::WaveRequested { wave, at }]);
        }
        self.waves.update(now, waves, &self.state.wave_requests);
    }

    /// Notes since when hosts that are up, outside the spare pool, have had no listed executor.
    pub(super) fn note_unlisted(&mut self, now: Now) {
        let policy = self.directives.policy.as_ref();
        let spare = |host: &Host| {
            let pool = policy.and_then(|policy| policy.pools.get(&host.pool));
            pool.is_some_and(|pool| pool.spare)
        };
        let has_executor = |host: &Host| self.executors_on(&host.name).next().is_some();
        let unlisted = self
            .hosts
            .values()
            .filter(|host| host.phase == HostPhase::Up && !spare(host) && !has_executor(host));
        let unlisted: BTreeSet<HostName> = unlisted.map(|host| host.name.clone()).collect();
        self.unlisted.retain(|host, _| unlisted.contains(host));
        for host in unlisted {
            self.unlisted.entry(host).or_insert(now.at);
        }
    }

    /// Returns what is known of a host that is due for maintenance.
    fn host_state(&self, now: Now, host: &HostName) -> HostState {
        if self.hosts.is_empty() {
            return HostState::Unknown;
        }
        let listed = self.hosts.get(host);
        match listed.map(|listed| listed.phase) {
            Some(HostPhase::Up) => {}
            Some(HostPhase::Maintenance) => return HostState::Down,
            Some(HostPhase::Moving | HostPhase::Down) => return HostState::Unknown,
            // The answer to the order shows whether the host still exists.
            None => return HostState::Up(RunCounts::default()),
        }
        if is_order_recent(self.state.ordered.get(host), now) {
            return HostState::Down;
        }
        let unknown = self
            .executors_on(host)
            .any(|(_, executor)| !executor.is_load_known());
        let wait = Duration::from_millis(UNLISTED_MS);
        let unlisted = self
            .unlisted
            .get(host)
            .is_some_and(|&since| now.at < since + wait);
        if unknown || unlisted || self.pools.has_pending_move(Some(host)) {
            return HostState::Unknown;
        }
        HostState::Up(self.run_counts(host))
    }

    fn take_down(&mut self, now: Now, wave: u64, host: HostName) {
        info!(self.log, "maintenance ordered"; "host" => %host, "wave" => wave);
        self.waves.mark_ordered(wave, &host);
        let order = Maintain {
            host,
            wave,
            holder: self.node.clone(),
            fence: self.fence,
        };
        self.record_order(now, HostOrder::Maintain(order));
    }

    pub(super) fn on_maintained(
        &mut self,
        now: Now,
        order: &Maintain,
        result: Result<(), OrderError>,
    ) {
        let Maintain { host, wave, .. } = order;
        match result {
            Ok(()) => {
                info!(self.log, "maintenance begun"; "host" => %host, "wave" => wave);
                self.on_order_done(now, host);
            }
            Err(OrderError::Fenced) => {
                warn!(self.log, "order fenced by a later owner; ending the term";
                    "host" => %host, "fence" => self.fence);
                self.actions.push(Action::StepDown);
            }
            Err(err) => warn!(self.log, "maintenance order failed"; "host" => %host, "why" => %err),
        }
        self.note_order_result(host, &result);
        if self.waves.on_answer(now.at, *wave, host, result) {
            let (wave, host) = (*wave, host.clone());
            self.append(vec![Record::HostMaintained { wave, host }]);
        }
        self.mark_usable(now);
        self.dirty = true;
    }

    /// Stops runs on a host as far as their steps' limits on interrupted tasks allow: with `all`,
    /// every run; otherwise those of long-running tasks that have room on another executor.
    pub(super) fn stop_runs(&mut self, now: Now, host: &HostName, all: bool) {
        let runs = self.executors_on(host).flat_map(|(id, executor)| {
            let running = executor.runs.iter();
            let running =
                running.filter(|(_, run_state)| matches!(run_state.phase, Phase::Running(_)));
            let wanted = running.filter(|(_, run_state)| all || run_state.long_running);
            wanted.map(|(&(task, run), _)| (id.clone(), task, run))
        });
        let runs: Vec<(ExecutorId, TaskId, u64)> = runs.collect();
        if runs.is_empty() {
            return;
        }
        let capacity = self.free_capacity(now);
        for (id, task, run) in runs {
            if self.may_interrupt(now, &task) && (all || self.can_run_elsewhere(&capacity, &task)) {
                self.stop(&id, task, run);
            }
        }
    }

    /// Whether another executor has the capacity for a task.
    fn can_run_elsewhere(&self, capacity: &SiteCapacity, id: &TaskId) -> bool {
        let Some(entry) = self.state.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = entry.job.steps.get(id.step as usize) else {
            return true;
        };
        let steps = entry.occurrences.get(&id.occurrence);
        let progress = steps.and_then(|steps| steps.get(id.step as usize));
        let placed = progress.into_iter().flat_map(StepProgress::placed);
        let executors = capacity.of(&entry.job.service);
        let permitted = self.advisor.permitted(&id.of_step());
        StepPlacement::new(step, permitted.as_ref(), executors, placed)
            .best(executors)
            .is_some()
    }

    /// Whether a task may be interrupted without exceeding its step's limit on interrupted tasks.
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
        if now.at < self.stop_deadline {
            return false;
        }
        let steps = entry.occurrences.get(&id.occurrence);
        let Some(progress) = steps.and_then(|steps| steps.get(id.step as usize)) else {
            return true;
        };
        let others = progress.tasks.iter().enumerate();
        let others = others.filter(|(index, _)| *index != id.index as usize);
        let away = others.filter(|(index, task)| {
            let id = TaskId {
                index: *index as u32,
                ..*id
            };
            !self.is_ready(&id, task.placed.as_ref(), task.run)
        });
        away.count() < limit as usize
    }

    /// Counts the runs on a host.
    pub(super) fn run_counts(&self, host: &HostName) -> RunCounts {
        let mut counts = RunCounts::default();
        for (_, executor) in self.executors_on(host) {
            let long_running = executor.long_running;
            counts.long_running += long_running;
            counts.finite += executor.runs.len() - long_running;
        }
        counts
    }

    /// Whether a run is in progress and at 100 percent, at which a long-running task is ready.
    /// Other tasks get there only as they end.
    fn is_ready(&self, id: &TaskId, placed: Option<&ExecutorId>, run: u64) -> bool {
        let executor = placed.and_then(|id| self.executors.get(id));
        let executor = executor.filter(|executor| !executor.heartbeat_failed);
        let run_state = executor.and_then(|executor| executor.runs.get(&(*id, run)));
        run_state.is_some_and(|run_state| {
            matches!(run_state.phase, Phase::Running(_)) && run_state.percent >= 100
        })
    }
}

/// Whether an earlier owner's order for a host, recorded at `ordered` in Unix milliseconds, may
/// still be sent or in progress.
pub(super) fn is_order_recent(ordered: Option<&u64>, now: Now) -> bool {
    ordered.is_some_and(|at| now.unix < at + RECENT_ORDER_MS)
}
