//! Selects the waiting tasks to start now, and the executors for them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Executor;
use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::Partitions;
use crate::batch::Resources;
use crate::batch::Step;
use crate::batch::StepId;
use crate::batch::dispatcher::idle_task::IdleTask;
use crate::batch::dispatcher::maintenance::is_order_recent;
use crate::batch::dispatcher::placed::Placed;
use crate::batch::executor_capacity::ExecutorCapacity;
use crate::batch::executor_capacity::SiteCapacity;
use crate::batch::executor_capacity::StepPlacement;
use crate::batch::position::Position;
use crate::batch::service_order::ServiceOrder;
use crate::name::ExecutorId;
use crate::name::TeamName;

/// Time for which the reader of the log may lag before starts are suspended, in milliseconds.
const MAX_LAG_MS: u64 = 300;
/// Most starts without an answer at a time.
const START_LIMIT: usize = 100;
/// Shortest time between two placements, in milliseconds.
const MIN_INTERVAL_MS: u64 = 4;
/// Shortest time between two placements of which the later one only goes on with jobs that the
/// earlier one left out, in milliseconds.
const CONTINUE_MS: u64 = 10;
/// Longest time between two placements while there are active jobs, in milliseconds. Some
/// changes that let a task start come with time alone: no event tells that a pause is over.
const MAX_INTERVAL_MS: u64 = 250;

impl Dispatcher {
    /// Whether to look for tasks to start: at once after a change that may allow it, soon after a
    /// placement that left jobs out, and from time to time while there are active jobs.
    pub(super) fn is_placement_due(&self, now: Now) -> bool {
        let since = now.at.saturating_duration_since(self.last_placement);
        let after = |ms: u64| since >= Duration::from_millis(ms);
        (self.dirty && after(MIN_INTERVAL_MS))
            || (self.unfinished && after(CONTINUE_MS))
            || (!self.active.is_empty() && after(MAX_INTERVAL_MS))
    }

    /// Whether there may be tasks that can be started.
    #[must_use]
    pub const fn is_dirty(&self) -> bool {
        self.dirty || self.unfinished
    }

    /// Begins a new round through the jobs of each service: after a change, those that have been
    /// examined may start as well.
    pub(super) fn restart_rounds(&mut self) {
        for round in self.rounds.values_mut() {
            *round = round.restarted();
        }
    }

    /// Whether the reader of the log lags too far: jobs that look due may have been cancelled.
    /// Starts are suspended then, which also leaves the reader the processor time to catch up.
    fn is_lagging(&self, now: Now) -> bool {
        let limit = Duration::from_millis(MAX_LAG_MS);
        self.lagging_since
            .is_some_and(|since| now.at > since + limit)
    }

    /// Starts the tasks that are due, in the order of their jobs' ranks within each service, while
    /// capacity lasts.
    pub(super) fn place_tasks(&mut self, now: Now) {
        if self.is_lagging(now) {
            // Reading the remaining records sets `dirty` again.
            return;
        }
        if self.lease(now.at).is_none() {
            // The next confirmation by the election sets `dirty` again.
            return;
        }
        self.effort.placements += 1;
        let throttled = std::mem::take(&mut self.throttled);
        self.mark_excess();
        self.update_backlog(now);
        let unknown_usage = self.unknown_usage();
        let mut capacity = self.free_capacity(now);
        let backlog = std::mem::take(&mut self.backlog);
        let is_open = |team: &TeamName, demand: &_| !self.is_at_limit(team, &unknown_usage, demand);
        let mut orders = backlog.orders(&self.turns, &self.rounds, &self.starts, is_open);
        while let Some((order, position)) = next_order(&mut orders) {
            if self.starts.len() >= START_LIMIT {
                self.throttled = true;
                break;
            }
            if capacity.is_full_for(order.service(), &order.least_reserved()) {
                order.finish();
                continue;
            }
            self.effort.candidates += 1;
            let placed = self.place_job(now, &mut capacity, &unknown_usage, position.id);
            if placed == Placed::HeldBack {
                order.finish();
                continue;
            }
            self.close_team(order, &unknown_usage, &position.id);
            let served = placed == Placed::Started;
            order.pass(served, self.starts.of(order.service()));
        }
        let left = orders.iter().any(|order| !order.is_complete());
        // After the limit on unanswered starts was reached, the next answer sets `dirty`.
        self.unfinished = left && !self.throttled;
        self.effort.limited += u64::from(self.throttled);
        self.throttled |= throttled;
        let rounds = orders
            .iter()
            .map(|order| (order.service().clone(), order.round()));
        self.rounds = rounds.collect();
        drop(orders);
        self.backlog = backlog;
        let requests = self.advisor.take_requests().into_iter();
        self.actions.extend(requests.map(Action::Consult));
        self.free_capacity = capacity;
        self.grant_further();
    }

    /// Starts the tasks of a job that are due, while capacity lasts.
    fn place_job(
        &mut self,
        now: Now,
        capacity: &mut SiteCapacity,
        unknown_usage: &BTreeMap<TeamName, Resources>,
        id: JobId,
    ) -> Placed {
        let Some(entry) = self.state.jobs.get(&id) else {
            return Placed::Nothing;
        };
        self.extra_hosts.remove(&id);
        let remaining = entry.remaining();
        if !capacity.may_fit(&entry.job.service, &remaining.least_reserved) {
            return Placed::Nothing;
        }
        let before = self.starts.len();
        let mut held_back = false;
        for &(occurrence, step) in &remaining.ready {
            held_back |= self.place_step(now, capacity, unknown_usage, id, occurrence, step);
        }
        if held_back {
            return Placed::HeldBack;
        }
        if self.starts.len() > before {
            return Placed::Started;
        }
        Placed::Nothing
    }

    /// Returns the free capacity of the executors that can take new work.
    pub(super) fn free_capacity(&self, now: Now) -> SiteCapacity {
        let mut capacity = SiteCapacity::default();
        let open = self
            .executors
            .values()
            .filter(|executor| executor.can_take_work(now.at));
        for executor in open {
            if let Some(info) = &executor.info {
                capacity.add(ExecutorCapacity::new(
                    info.clone(),
                    executor.partition,
                    executor.used,
                    executor.long_running,
                    executor.due,
                ));
            }
        }
        capacity
    }

    /// Updates which executors are usable and which are on hosts that are due for maintenance. Must
    /// be called after every change to the plans for hosts or to the list of closed data centres.
    pub(super) fn mark_usable(&mut self, now: Now) {
        let mut executors = std::mem::take(&mut self.executors);
        for executor in executors.values_mut() {
            let info = executor.info.as_ref();
            executor.usable = info.is_some_and(|info| self.is_usable(now, info));
            executor.due = info.is_some_and(|info| self.waves.is_due(info.host.as_ref()));
        }
        self.executors = executors;
    }

    fn is_usable(&self, now: Now, info: &Executor) -> bool {
        let host = info.host.as_ref();
        let evacuated = self.directives.closed.contains(&info.dc);
        let leaves = self.pools.has_pending_move(host)
            || self.pools.is_draining(host)
            || self.waves.is_blocked(host);
        !evacuated && !leaves && !self.is_order_pending(now, info)
    }

    /// Whether an earlier owner's order for the host of an executor may still be sent. An executor
    /// that started after the order's record is the result of that order.
    fn is_order_pending(&self, now: Now, info: &Executor) -> bool {
        let ordered = info
            .host
            .as_ref()
            .and_then(|host| self.state.ordered.get(host));
        is_order_recent(ordered, now) && ordered.is_some_and(|&at| info.born <= at)
    }

    /// Starts the tasks of a step that are due, while capacity lasts. Returns whether there is
    /// capacity for a gang that is held back by the limit on unanswered starts.
    fn place_step(
        &mut self,
        now: Now,
        capacity: &mut SiteCapacity,
        unknown_usage: &BTreeMap<TeamName, Resources>,
        id: JobId,
        occurrence: u32,
        number: u32,
    ) -> bool {
        let Some(entry) = self.state.jobs.get(&id) else {
            return false;
        };
        let job = entry.job.clone();
        let Some(step) = job.steps.get(number as usize) else {
            return false;
        };
        if !step.long_running && capacity.is_known_full(&job.service, &step.reserved()) {
            return false;
        }
        let step_id = StepId {
            job: id,
            occurrence,
            step: number,
        };
        let unanswered = self.unanswered_limit(&job, step);
        let allowed = self.team_allowance(job.team.as_ref(), unknown_usage, &step.demand);
        if allowed == 0 || (unanswered == 0 && !step.gang) {
            self.throttled |= allowed > 0;
            return false;
        }
        let entry = &self.state.jobs[&id];
        let progress = &entry.occurrences[&occurrence][number as usize];
        let advised = self.is_advised(&job) || self.advisor.is_required(&step_id);
        let ticketed = advised.then(|| self.advisor.ticketed(now.at, &step_id));
        let executors = capacity.of(&job.service);
        let mut placement =
            StepPlacement::new(step, ticketed.as_ref(), executors, progress.placed());
        placement.partitions = entry.partitions;
        let idle = progress.tasks.iter().enumerate();
        let exclusive = self.is_exclusive(now.at);
        // While another owner may have been elected, only tasks without a run may start: the other
        // owner may have recorded the end of a run that this one takes for lost.
        let idle = idle.filter(|(_, task)| task.is_idle() && (exclusive || task.run == 0));
        let idle: Vec<IdleTask> = idle
            .map(|(index, task)| IdleTask::new(now.at, index as u32, task))
            .collect();
        let wanted = idle.len().min(allowed);
        let mut asking = false;
        let executors = capacity.of_mut(&job.service);
        let starts = if step.gang {
            self.place_gang(executors, &mut placement, &idle, allowed)
        } else {
            self.place_each(executors, &mut placement, &idle, wanted.min(unanswered))
        };
        if starts.len() > unanswered {
            self.throttled = true;
            return true;
        }
        let left = wanted.min(unanswered).saturating_sub(starts.len());
        let restricted = idle.iter().any(|task| task.avoided.is_some());
        if advised && left > 0 {
            let candidates = placement.candidates(executors);
            asking = self.advisor.consult(now.at, step_id, candidates);
        }
        let has_room = left == 0
            || (placement.partitions != Partitions::ALL
                && self
                    .widening
                    .widen(now.at, id, executors, &mut placement, left));
        let sized = step.reserved() != Resources::default();
        if !has_room && sized && step.is_plain() && !advised && !restricted {
            capacity.note_full(&job.service, step.reserved());
        }
        self.throttled |= wanted > unanswered;
        if !asking {
            self.note_extra_hosts(&job, step, left);
        }
        let all = step.gang;
        for (index, executor, run) in self.verified_only(now, all, starts) {
            self.start(now, &executor, step_id.task(index), run);
        }
        false
    }

    /// Notes the hosts that long-running tasks of a step lack: one, unless the number of its tasks
    /// on one executor is limited. Without further hosts, the tasks would wait until others end, so
    /// hosts are moved to their pool. Steps that require a label are left out, as labels are known
    /// only of hosts that are up, and so are those that fit on no host.
    fn note_extra_hosts(&mut self, job: &Job, step: &Step, left: usize) {
        let fits = step.reserved().is_within(&self.capacity.largest);
        if left == 0 || !step.long_running || step.label.is_some() || !fits {
            return;
        }
        let hosts = step.spread.map_or(1, |most| left.div_ceil(most as usize));
        let extra = self.extra_hosts.entry(job.id);
        extra.or_insert_with(|| (job.service.clone(), 0)).1 += hosts;
    }

    /// Returns how many more tasks of a step may be started before earlier starts are answered.
    /// The limit keeps tasks back to be ranked again with newer jobs, and leaves the owner the
    /// processor time to read answers and records in time. A gang for which too little of it is
    /// left starts once no other start of its service is unanswered: other services may use up the
    /// limit all the time.
    fn unanswered_limit(&self, job: &Job, step: &Step) -> usize {
        let left = START_LIMIT.saturating_sub(self.starts.len());
        if step.gang && self.starts.of(&job.service) == 0 {
            return left.max(step.count as usize);
        }
        left
    }

    /// Selects executors for the tasks of a step, one by one, while capacity lasts.
    fn place_each<'a>(
        &self,
        executors: &mut [ExecutorCapacity],
        placement: &mut StepPlacement<'a>,
        idle: &[IdleTask<'a>],
        limit: usize,
    ) -> Vec<(u32, ExecutorId, u64)> {
        let mut starts = Vec::new();
        for task in idle.iter().take(limit) {
            placement.avoided = task.avoided;
            match placement.place(executors) {
                Some(executor) => starts.push((task.index, executor, self.next_run(task.last))),
                None if task.avoided.is_some() => {}
                None => break,
            }
        }
        starts
    }

    /// Selects executors for all tasks of a gang, or for none.
    fn place_gang(
        &self,
        executors: &mut [ExecutorCapacity],
        placement: &mut StepPlacement,
        idle: &[IdleTask<'_>],
        limit: usize,
    ) -> Vec<(u32, ExecutorId, u64)> {
        let count = placement.step.count as usize;
        if idle.len() < count || limit < count {
            return Vec::new();
        }
        let mut planned = executors.to_vec();
        let last = idle.iter().map(|task| task.last).max().unwrap_or(0);
        let run = self.next_run(last);
        let mut starts = Vec::new();
        for task in idle {
            let Some(executor) = placement.place(&mut planned) else {
                return Vec::new();
            };
            starts.push((task.index, executor, run));
        }
        executors.clone_from_slice(&planned);
        starts
    }

    pub(super) fn is_advised(&self, job: &Job) -> bool {
        let policy = self.directives.policy.as_ref();
        let queue = policy.and_then(|policy| policy.queue_named(&job.queue));
        queue.is_some_and(|queue| queue.advised)
    }
}

/// Returns the order of the service with the fewest unanswered starts, and the position of its next
/// job. Services have no executors in common, so the limit on these starts must not be used up by
/// the jobs of one, whatever their rank.
fn next_order<'a, 'b>(
    orders: &'a mut [ServiceOrder<'b>],
) -> Option<(&'a mut ServiceOrder<'b>, Position)> {
    let heads = orders.iter_mut();
    let heads = heads.filter_map(|order| order.head().map(|position| (order, position)));
    heads.min_by_key(|(order, position)| (order.unanswered(), *position))
}
