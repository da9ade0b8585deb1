//! Which waiting tasks start now, and where.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::batch::Action;
use crate::batch::Demand;
use crate::batch::Dispatcher;
use crate::batch::Entry;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::Step;
use crate::batch::StepId;
use crate::batch::TaskId;
use crate::batch::rank::Rank;
use crate::batch::seat::Seat;
use crate::batch::stage::Stage;
use crate::name::ExecutorId;
use crate::name::ServiceName;
use crate::name::TeamName;

impl Dispatcher {
    /// Starts the tasks that are due, in the order of their jobs' ranks, while there is room.
    pub(super) fn place(&mut self, now: Now) {
        let unclear = self.seats.values().filter(|seat| !seat.cleared);
        let unclear: BTreeSet<ServiceName> = unclear.map(|seat| seat.service.clone()).collect();
        for id in self.ranked(now) {
            let Some(entry) = self.book.jobs.get(&id) else {
                continue;
            };
            let elsewhere = entry.inherited && unclear.contains(&entry.job.service);
            if elsewhere || !entry.claimed {
                continue;
            }
            for (occurrence, step) in ready(entry) {
                self.place_step(now, id, occurrence, step);
            }
        }
    }

    /// The active jobs with tasks to start, those to be served first in front.
    fn ranked(&self, now: Now) -> Vec<JobId> {
        let policy = self.orders.policy.as_ref();
        let jobs = self.active.iter().filter_map(|id| self.book.jobs.get(id));
        let jobs = jobs.filter(|entry| !ready(entry).is_empty());
        let ranked = jobs.map(|entry| {
            let queue = policy.and_then(|policy| policy.named(&entry.job.queue));
            (Rank::of(entry, queue, now.unix), entry.job.id)
        });
        let mut ranked: Vec<(Rank, JobId)> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    fn place_step(&mut self, now: Now, id: JobId, occurrence: u32, number: u32) {
        let Some(entry) = self.book.jobs.get(&id) else {
            return;
        };
        let Some(step) = entry.job.steps.get(number as usize).cloned() else {
            return;
        };
        let service = entry.job.service.clone();
        let team = entry.job.team.clone();
        let stage = &entry.occurrences[&occurrence][number as usize];
        let mut spread = stage.spread();
        let place = StepId {
            job: id,
            occurrence,
            step: number,
        };
        let idle = stage.tasks.iter().enumerate();
        let idle = idle.filter(|(_, task)| task.is_idle());
        let idle: Vec<(u32, u64)> = idle.map(|(index, task)| (index as u32, task.run)).collect();
        if self.is_advised(id) && !self.consult(now, id, occurrence, number, &service, &step) {
            return;
        }
        if step.gang {
            return self.place_gang(now, id, occurrence, number, &idle);
        }
        for (index, last) in idle {
            if !self.allows(team.as_ref(), &step.demand) {
                return;
            }
            let wish = Wish {
                id: place,
                service: &service,
                step: &step,
                spread: &spread,
                planned: &BTreeMap::new(),
            };
            let Some(executor) = self.choose(now, &wish) else {
                return;
            };
            *spread.entry(executor.clone()).or_default() += 1;
            let task = TaskId {
                job: id,
                occurrence,
                step: number,
                index,
            };
            let run = self.next_run(last);
            self.start(now, &executor, task, run);
        }
    }

    fn is_advised(&self, id: JobId) -> bool {
        let policy = self.orders.policy.as_ref();
        let entry = self.book.jobs.get(&id);
        let queue = entry.and_then(|entry| policy?.named(&entry.job.queue));
        queue.is_some_and(|queue| queue.advised)
    }

    /// Asks the advice service for a step where need be; returns whether there is advice.
    fn consult(
        &mut self,
        now: Now,
        job: JobId,
        occurrence: u32,
        number: u32,
        service: &ServiceName,
        step: &Step,
    ) -> bool {
        let id = StepId {
            job,
            occurrence,
            step: number,
        };
        if self.advisor.has(now.at, &id) {
            return true;
        }
        let free = Demand::default();
        let fitting = self.seats.iter();
        let fitting = fitting.filter(|(_, seat)| self.suits(now, service, step, seat, &free));
        let fitting = fitting.map(|(id, _)| id.clone()).collect();
        if let Some(question) = self.advisor.ask(now.at, id, fitting) {
            self.actions.push(Action::Consult(question));
        }
        false
    }

    /// Starts all tasks of a gang, or none.
    fn place_gang(
        &mut self,
        now: Now,
        id: JobId,
        occurrence: u32,
        number: u32,
        idle: &[(u32, u64)],
    ) {
        let Some(entry) = self.book.jobs.get(&id) else {
            return;
        };
        let step = entry.job.steps[number as usize].clone();
        let service = entry.job.service.clone();
        let team = entry.job.team.clone();
        if idle.len() < step.count as usize {
            return;
        }
        let whole = times(&step.demand, u64::from(step.count));
        if !self.allows(team.as_ref(), &whole) {
            return;
        }
        let place = StepId {
            job: id,
            occurrence,
            step: number,
        };
        let mut spread = BTreeMap::new();
        let mut planned: BTreeMap<ExecutorId, Demand> = BTreeMap::new();
        let mut places = Vec::with_capacity(idle.len());
        for _ in idle {
            let wish = Wish {
                id: place,
                service: &service,
                step: &step,
                spread: &spread,
                planned: &planned,
            };
            let Some(executor) = self.choose(now, &wish) else {
                return;
            };
            *spread.entry(executor.clone()).or_default() += 1;
            let demand = planned.entry(executor.clone()).or_default();
            demand.add(&step.reserved());
            places.push(executor);
        }
        let last = idle.iter().map(|&(_, last)| last).max().unwrap_or(0);
        let run = self.next_run(last);
        for (&(index, _), executor) in idle.iter().zip(&places) {
            let task = TaskId {
                job: id,
                occurrence,
                step: number,
                index,
            };
            self.start(now, executor, task, run);
        }
    }

    /// Whether a team may have that much more running.
    fn allows(&self, team: Option<&TeamName>, demand: &Demand) -> bool {
        let Some(team) = team else {
            return true;
        };
        let policy = self.orders.policy.as_ref();
        let Some(limit) = policy.and_then(|policy| policy.teams.get(team)) else {
            return true;
        };
        let mut used = self.usage.get(team).copied().unwrap_or_default();
        for seat in self.seats.values().filter(|seat| !seat.cleared) {
            if let Some(info) = &seat.info {
                used.add(&info.capacity);
            }
        }
        let unlimited = |limit: u64| if limit == 0 { u64::MAX } else { limit };
        let limit = Demand {
            cpu: unlimited(limit.limit.cpu),
            memory: unlimited(limit.limit.memory),
            gpu: unlimited(limit.limit.gpu),
        };
        demand.fits(&used, &limit)
    }

    /// The executor on which a task of a step is best started now, if there is any.
    pub(super) fn choose(&self, now: Now, wish: &Wish) -> Option<ExecutorId> {
        let Wish {
            id,
            service,
            step,
            spread,
            planned,
        } = wish;
        let beside = |executor: &ExecutorId| spread.get(executor).copied().unwrap_or(0);
        let fitting = self.seats.iter().filter(|(executor, seat)| {
            let planned = planned.get(*executor).copied().unwrap_or_default();
            step.spread.is_none_or(|most| beside(executor) < most)
                && self.advisor.allows(id, executor)
                && self.suits(now, service, step, seat, &planned)
        });
        let best = fitting.min_by_key(|(executor, seat)| {
            // Packed on few hosts, tasks leave others empty, and these can leave the pool.
            let lasting = if step.lasting { seat.lasting() } else { 0 };
            let rack = step.rack.as_deref();
            let far = rack.is_some_and(|rack| !seat.has_label(rack));
            let packed = (Reverse(lasting), Reverse(seat.load()));
            (far, packed, beside(executor))
        });
        best.map(|(executor, _)| executor.clone())
    }

    fn suits(
        &self,
        now: Now,
        service: &ServiceName,
        step: &Step,
        seat: &Seat,
        planned: &Demand,
    ) -> bool {
        let Some(info) = &seat.info else {
            return false;
        };
        if info.service != *service || !seat.is_open(now.at) {
            return false;
        }
        if self.pools.is_closed(info.host.as_ref()) {
            return false;
        }
        if self.orders.closed.contains(&info.dc) || self.waves.is_closed(info.host.as_ref()) {
            return false;
        }
        if step
            .label
            .as_deref()
            .is_some_and(|label| !seat.has_label(label))
        {
            return false;
        }
        let mut used = seat.used;
        used.add(planned);
        step.reserved().fits(&used, &info.capacity)
    }
}

/// A task that is to be placed.
pub(super) struct Wish<'a> {
    /// Its step.
    pub id: StepId,
    /// Service whose executors run it.
    pub service: &'a ServiceName,
    /// What it needs.
    pub step: &'a Step,
    /// Tasks of its step by executor.
    pub spread: &'a BTreeMap<ExecutorId, u32>,
    /// What is planned on executors besides what they run.
    pub planned: &'a BTreeMap<ExecutorId, Demand>,
}

/// The steps, by occurrence, that wait for none and have tasks to start.
fn ready(entry: &Entry) -> Vec<(u32, u32)> {
    let mut found = Vec::new();
    for (&occurrence, stages) in &entry.occurrences {
        for (number, step) in entry.job.steps.iter().enumerate() {
            let done = |&before: &u32| stages.get(before as usize).is_none_or(Stage::is_done);
            if stages[number].has_idle() && step.after.iter().all(done) {
                found.push((occurrence, number as u32));
            }
        }
    }
    found
}

const fn times(demand: &Demand, count: u64) -> Demand {
    Demand {
        cpu: demand.cpu * count,
        memory: demand.memory * count,
        gpu: demand.gpu * count,
    }
}
