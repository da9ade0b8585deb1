//! Load of a service: what its jobs run or could run now.

use std::collections::BTreeMap;

use crate::batch::JobProgress;
use crate::batch::Resources;
use crate::batch::multiset::Multiset;
use crate::division::Claim;
use crate::division::TeamRoom;
use crate::name::TeamName;

/// Time over which work of jobs that are too late to be of use is spread, in milliseconds.
const LATE_WORK_MS: u64 = 4_000;

/// Most of each resource that one job counts for, so that the sum over all jobs can't overflow.
pub const JOB_LIMIT: Resources = Resources {
    cpu: u64::MAX >> 24,
    memory: u64::MAX >> 24,
    gpu: u64::MAX >> 24,
};

/// What one job adds to the load of its service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobLoad {
    demand: Resources,
    late_work: u64,
    min_hosts: usize,
}

impl JobLoad {
    /// Returns the load of a job. If it is blocked by unknown runs, only the tasks that have been
    /// placed count: no hosts are moved or kept for the others. Nor do tasks count that need more
    /// than the `largest` host has.
    #[must_use]
    pub fn of(
        job_progress: &JobProgress,
        too_late: bool,
        blocked: bool,
        largest: &Resources,
    ) -> Self {
        let mut load = Self::default();
        for steps in job_progress.occurrences.values() {
            for (progress, step) in steps.iter().zip(&job_progress.job.steps) {
                let ready = step.after.iter().all(|&n| steps[n as usize].is_done());
                if !ready || !step.reserved().is_within(largest) {
                    continue;
                }
                let left = if blocked {
                    progress.placed().count()
                } else {
                    progress.tasks.len() - progress.done as usize
                };
                let left = left as u64;
                if too_late {
                    let work = left.saturating_mul(step.estimate);
                    let work = work.saturating_mul(step.reserved().cpu);
                    load.late_work = load.late_work.saturating_add(work);
                    continue;
                }
                load.demand
                    .add(&step.reserved().min(&JOB_LIMIT).times(left).min(&JOB_LIMIT));
                if let Some(spread) = step.spread {
                    let hosts = progress.tasks.len().div_ceil(spread.max(1) as usize);
                    load.min_hosts = load.min_hosts.max(hosts);
                }
            }
        }
        load.demand = load.demand.min(&JOB_LIMIT);
        load.late_work = load.late_work.min(JOB_LIMIT.cpu);
        load
    }
}

/// Whose demand it is: the priority of the jobs' queue, and their team if that has a limit.
type Owner = (u32, Option<TeamName>);

/// Sum of the loads of a service's jobs.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    demands: BTreeMap<Owner, Resources>,
    // Work of jobs that are too late to be of use, in thousandths of a core-millisecond, by team.
    late_work: BTreeMap<Option<TeamName>, u64>,
    // Numbers of hosts over which jobs must be spread.
    spreads: Multiset,
}

impl ServiceLoad {
    /// Adds the load of a job of a queue of `priority` and of a team, if that has a limit.
    pub fn add(&mut self, load: &JobLoad, priority: u32, team: Option<&TeamName>) {
        if load.demand != Resources::default() {
            let demand = self.demands.entry((priority, team.cloned())).or_default();
            demand.add(&load.demand);
        }
        if load.late_work > 0 {
            *self.late_work.entry(team.cloned()).or_default() += load.late_work;
        }
        if load.min_hosts > 0 {
            self.spreads.add(load.min_hosts as u64);
        }
    }

    /// Subtracts the load of a job that was added with the same arguments.
    pub fn sub(&mut self, load: &JobLoad, priority: u32, team: Option<&TeamName>) {
        let owner = (priority, team.cloned());
        if let Some(demand) = self.demands.get_mut(&owner) {
            demand.sub(&load.demand);
            if *demand == Resources::default() {
                self.demands.remove(&owner);
            }
        }
        if let Some(work) = self.late_work.get_mut(&owner.1) {
            *work -= load.late_work;
            if *work == 0 {
                self.late_work.remove(&owner.1);
            }
        }
        self.spreads.remove(load.min_hosts as u64);
    }

    /// Returns the demand of teams that have a limit, in several items for each; that of jobs that are
    /// too late to be of use last.
    pub fn limited(&self) -> impl Iterator<Item = (&TeamName, Resources)> {
        let demands = self.demands.iter();
        let demands = demands.filter_map(|((_, team), demand)| Some((team.as_ref()?, *demand)));
        let late = self.late_work.iter();
        let late = late.filter_map(|(team, &work)| Some((team.as_ref()?, late_demand(work))));
        demands.chain(late)
    }

    /// Returns the CPU of the hosts that the load takes, as far as its teams have room. Load that
    /// takes a larger share of the `total` memory of the hosts than of their CPU counts by its
    /// memory.
    #[must_use]
    pub fn claim(&self, total: &Resources, room: &TeamRoom) -> Claim {
        let mut claim = Claim::default();
        let mut sum = Resources::default();
        for ((priority, team), demand) in &self.demands {
            let usable = team.as_ref().map(|team| room.usable(team, demand));
            sum.add(usable.as_ref().unwrap_or(demand));
            claim.raise_to(*priority, hosts_cpu(&sum, total));
        }
        claim
    }

    /// Returns the CPU for work of jobs that are too late to be of use to their clients, as far as
    /// their teams have room, in thousandths of a core. It is not part of the claim.
    #[must_use]
    pub fn late_cpu(&self, room: &TeamRoom) -> u64 {
        let late = self.late_work.iter().map(|(team, &work)| {
            let demand = late_demand(work);
            let usable = team.as_ref().map(|team| room.usable(team, &demand));
            usable.unwrap_or(demand).cpu
        });
        late.fold(0, u64::saturating_add)
    }

    /// Most hosts over which a single step must be spread.
    #[must_use]
    pub fn min_hosts(&self) -> usize {
        self.spreads.max() as usize
    }
}

/// Returns the demand of late work, which is spread over some time.
fn late_demand(work: u64) -> Resources {
    Resources {
        cpu: work / LATE_WORK_MS,
        ..Resources::default()
    }
}

/// Returns the CPU of the hosts that a demand takes, by CPU or by memory, whichever takes more of the
/// `total`.
fn hosts_cpu(demand: &Resources, total: &Resources) -> u64 {
    let memory = u128::from(demand.memory) * u128::from(total.cpu);
    let memory = memory.checked_div(u128::from(total.memory)).unwrap_or(0);
    let memory = u64::try_from(memory).unwrap_or(u64::MAX);
    demand.cpu.max(memory)
}
