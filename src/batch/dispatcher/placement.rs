//! Which waiting tasks start now, and where.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::info;

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
use crate::batch::dispatcher::maintenance::is_settling;
use crate::batch::executor_capacity::ExecutorCapacity;
use crate::batch::executor_capacity::SiteCapacity;
use crate::batch::executor_capacity::Wish;
use crate::batch::rank::Rank;
use crate::name::ExecutorId;
use crate::name::TeamName;

/// How long the reader of the log may be behind before nothing is started, in milliseconds.
const BEHIND_MS: u64 = 300;
/// Most orders to start that are on their way.
const START_LIMIT: usize = 100;
/// Shortest time between two looks for tasks to start, in milliseconds.
const LOOK_MS: u64 = 4;
/// Jobs for each of which a look for tasks to start is put off, in jobs a millisecond.
const JOBS_PER_MS: u64 = 100;

impl Dispatcher {
    /// Time between two looks for tasks to start. A look takes longer the more jobs there are.
    pub(super) fn place_pace(&self) -> Duration {
        let pace = self.active.len() as u64 / JOBS_PER_MS;
        Duration::from_millis(pace.max(LOOK_MS))
    }

    /// Whether tasks may wait to be started.
    #[must_use]
    pub const fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Whether the log is read too late: jobs may be cancelled that look as if they were due. To
    /// start nothing gives the reader the time that it lacks.
    fn is_behind(&self, now: Now) -> bool {
        let limit = Duration::from_millis(BEHIND_MS);
        self.behind.is_some_and(|since| now.at > since + limit)
    }

    /// Starts the tasks that are due, in the order of their jobs' ranks, while there is room.
    pub(super) fn place(&mut self, now: Now) {
        if self.is_behind(now) {
            // The records that end this make it dirty again.
            return;
        }
        if self.lease(now.at).is_none() {
            // Once the election confirms this owner again, it's dirty again.
            return;
        }
        self.share_out();
        let ranked = self.ranked(now);
        let unclear = self.unclear();
        let hidden = self.hidden();
        let mut held = Vec::new();
        self.lacking.clear();
        let mut rooms = self.rooms(now);
        for id in ranked {
            let Some(entry) = self.state.jobs.get(&id) else {
                continue;
            };
            if entry.partitions.is_empty() {
                continue;
            }
            let partitions = unclear.get(&entry.job.service).copied().unwrap_or_default();
            if entry.may_run_unseen(partitions) {
                held.push(id);
                continue;
            }
            let remaining = entry.remaining();
            for &(occurrence, step) in &remaining.ready {
                self.place_step(now, &mut rooms, &hidden, id, occurrence, step);
            }
        }
        self.vacant = rooms;
        self.grant_wider();
        self.note_held(held);
    }

    /// Marks the new jobs that are beyond their team's share.
    fn share_out(&mut self) {
        let Some(policy) = self.directives.policy.clone() else {
            return;
        };
        let ids = std::mem::take(&mut self.unmeasured);
        let jobs = ids.iter().filter_map(|id| self.state.jobs.get(id));
        let jobs = jobs.map(|entry| (entry.job.accepted, entry.job.id));
        let mut jobs: Vec<(u64, JobId)> = jobs.collect();
        jobs.sort_unstable();
        for (accepted, id) in jobs {
            let Some(entry) = self.state.jobs.get_mut(&id) else {
                continue;
            };
            let team = entry.job.team.as_ref();
            let weighed = team.and_then(|name| Some((name, policy.teams.get(name)?.weight)));
            let within = weighed.is_none_or(|(name, weight)| {
                weight == 0 || self.shares.admit(accepted, name, weight)
            });
            entry.over_share = Some(!within);
            if !within {
                info!(self.log, "beyond the team's share"; "job" => %id,
                    "team" => entry.job.team.as_ref().map(TeamName::as_str),
                    "weight" => weighed.map(|(_, weight)| weight));
            }
        }
    }

    /// The active jobs with tasks to start, those to be served first in front.
    fn ranked(&self, now: Now) -> Vec<JobId> {
        let policy = self.directives.policy.as_ref();
        let jobs = self.active.iter().filter_map(|id| self.state.jobs.get(id));
        let jobs = jobs.filter(|entry| !entry.remaining().ready.is_empty());
        let ranked = jobs.map(|entry| {
            let queue = policy.and_then(|policy| policy.queue_named(&entry.job.queue));
            (Rank::of(entry, queue, now.unix), entry.job.id)
        });
        let mut ranked: Vec<(Rank, JobId)> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// The executors that take new work.
    pub(super) fn rooms(&self, now: Now) -> SiteCapacity {
        let mut rooms = SiteCapacity::default();
        let open = self.seats.values().filter(|seat| seat.is_open(now.at));
        for seat in open {
            if let Some(info) = &seat.info {
                rooms.add(ExecutorCapacity::new(
                    info.clone(),
                    seat.partition,
                    seat.used,
                    seat.lasting,
                ));
            }
        }
        rooms
    }

    /// Marks the executors whose hosts are not about to leave. To be called whenever what follows
    /// for hosts may have changed.
    pub(super) fn mark_usable(&mut self, now: Now) {
        let mut seats = std::mem::take(&mut self.seats);
        for seat in seats.values_mut() {
            let info = seat.info.as_ref();
            seat.usable = info.is_some_and(|info| self.is_usable(now, info));
        }
        self.seats = seats;
    }

    fn is_usable(&self, now: Now, info: &Executor) -> bool {
        let host = info.host.as_ref();
        let evacuated = self.directives.closed.contains(&info.dc);
        let leaves = self.pools.is_closed(host)
            || self.pools.is_emptying(host)
            || self.waves.is_closed(host);
        !evacuated && !leaves && !self.is_ordered(now, info)
    }

    /// Whether an earlier owner's order for the host of an executor may yet be given. A life that
    /// began after the order's record is what the order left behind.
    fn is_ordered(&self, now: Now, info: &Executor) -> bool {
        let ordered = info
            .host
            .as_ref()
            .and_then(|host| self.state.ordered.get(host));
        is_settling(ordered, now) && ordered.is_some_and(|&at| info.born <= at)
    }

    fn place_step(
        &mut self,
        now: Now,
        rooms: &mut SiteCapacity,
        hidden: &BTreeMap<TeamName, Resources>,
        id: JobId,
        occurrence: u32,
        number: u32,
    ) {
        let Some(entry) = self.state.jobs.get(&id) else {
            return;
        };
        let job = entry.job.clone();
        let Some(step) = job.steps.get(number as usize) else {
            return;
        };
        if !step.lasting && rooms.refuses(&job.service, &step.reserved()) {
            return;
        }
        let place = StepId {
            job: id,
            occurrence,
            step: number,
        };
        if self.is_advised(&job) && !self.consult(now, place, rooms.of(&job.service), step) {
            return;
        }
        let unanswered = self.unanswered_limit(step);
        let entry = &self.state.jobs[&id];
        let stage = &entry.occurrences[&occurrence][number as usize];
        let good = self.advisor.tickets(&place);
        let mut wish = Wish::new(step, good, rooms.of(&job.service), stage.placed());
        wish.within = entry.partitions;
        let idle = stage.tasks.iter().enumerate();
        let sole = self.is_sole(now.at);
        // Another owner may have seen the end of a run that this one takes for lost.
        let idle = idle.filter(|(_, task)| task.is_idle() && (sole || task.run == 0));
        let idle: Vec<(u32, u64)> = idle.map(|(index, task)| (index as u32, task.run)).collect();
        let allowed = self.allowed(job.team.as_ref(), hidden, &step.demand);
        let most = allowed.min(unanswered);
        let wanted = idle.len().min(allowed);
        let free = rooms.of_mut(&job.service);
        let starts = if step.gang {
            self.place_gang(free, &mut wish, &idle, most)
        } else {
            self.place_each(free, &mut wish, &idle, most)
        };
        let left = wanted.min(unanswered).saturating_sub(starts.len());
        let room = left == 0
            || (wish.within != Partitions::ALL
                && self.widening.widen(now.at, id, free, &mut wish, left));
        if !room && step.is_plain() && good.is_none() {
            rooms.refuse(&job.service, step.reserved());
        }
        self.throttled |= wanted > unanswered;
        self.note_lacking(&job, step, left);
        for (index, executor, run) in starts {
            self.start(now, &executor, place.task(index), run);
        }
    }

    /// Notes the hosts without which tasks of a step that last can't be started. They wait for as
    /// long as no other task ends, so a host has to be fetched for them. Which hosts have a label
    /// is known of those that are up only, so none is fetched for it.
    fn note_lacking(&mut self, job: &Job, step: &Step, left: usize) {
        if left == 0 || !step.lasting || step.label.is_some() {
            return;
        }
        let hosts = step.spread.map_or(1, |most| left.div_ceil(most as usize));
        *self.lacking.entry(job.service.clone()).or_default() += hosts;
    }

    /// How many more tasks of a step may be ordered to start before others are answered. What
    /// waits longer is ordered by its rank, and an owner that is short of processor still reads
    /// answers and records in time.
    fn unanswered_limit(&self, step: &Step) -> usize {
        let left = START_LIMIT.saturating_sub(self.starting.len());
        let whole = if step.gang { step.count as usize } else { 1 };
        if left >= whole {
            return left;
        }
        if self.starting.is_empty() { whole } else { 0 }
    }

    /// Finds places for tasks of a step while there is room.
    fn place_each(
        &self,
        rooms: &mut [ExecutorCapacity],
        wish: &mut Wish,
        idle: &[(u32, u64)],
        most: usize,
    ) -> Vec<(u32, ExecutorId, u64)> {
        let mut starts = Vec::new();
        for &(index, last) in idle.iter().take(most) {
            let Some(executor) = wish.take(rooms) else {
                break;
            };
            starts.push((index, executor, self.next_run(last)));
        }
        starts
    }

    /// Finds places for all tasks of a gang, or none.
    fn place_gang(
        &self,
        rooms: &mut [ExecutorCapacity],
        wish: &mut Wish,
        idle: &[(u32, u64)],
        most: usize,
    ) -> Vec<(u32, ExecutorId, u64)> {
        let count = wish.step.count as usize;
        if idle.len() < count || most < count {
            return Vec::new();
        }
        let mut planned = rooms.to_vec();
        let last = idle.iter().map(|&(_, last)| last).max().unwrap_or(0);
        let run = self.next_run(last);
        let mut starts = Vec::new();
        for &(index, _) in idle {
            let Some(executor) = wish.take(&mut planned) else {
                return Vec::new();
            };
            starts.push((index, executor, run));
        }
        rooms.clone_from_slice(&planned);
        starts
    }

    pub(super) fn is_advised(&self, job: &Job) -> bool {
        let policy = self.directives.policy.as_ref();
        let queue = policy.and_then(|policy| policy.queue_named(&job.queue));
        queue.is_some_and(|queue| queue.advised)
    }

    /// Asks the advice service for a step where need be; returns whether there is advice.
    fn consult(&mut self, now: Now, id: StepId, rooms: &[ExecutorCapacity], step: &Step) -> bool {
        if self.advisor.has(now.at, &id) {
            return true;
        }
        let fitting = rooms.iter().filter(|room| room.suits(step));
        let fitting = fitting.map(|room| room.executor().clone()).collect();
        if let Some(question) = self.advisor.ask(now.at, id, fitting) {
            self.actions.push(Action::Consult(question));
        }
        false
    }

    /// How many more tasks of a demand a team may have running.
    fn allowed(
        &self,
        team: Option<&TeamName>,
        hidden: &BTreeMap<TeamName, Resources>,
        demand: &Resources,
    ) -> usize {
        let policy = self.directives.policy.as_ref();
        let limits = policy.and_then(|policy| policy.teams.get(team?));
        let Some(limits) = limits else {
            return usize::MAX;
        };
        let hidden = team.and_then(|team| hidden.get(team));
        let mut used = hidden.copied().unwrap_or_default();
        if let Some(own) = team.and_then(|team| self.usage.get(team)) {
            used.add(own);
        }
        usize::try_from(limits.limit.allows(&used, demand)).unwrap_or(usize::MAX)
    }
}
