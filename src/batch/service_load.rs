//! Load of a service: what its jobs run or could run now.

use crate::batch::JobProgress;
use crate::batch::Resources;
use crate::batch::multiset::Multiset;

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

/// Sum of the loads of a service's jobs.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    demand: Resources,
    late_work: u64,
    // Numbers of hosts over which jobs must be spread.
    spreads: Multiset,
}

impl ServiceLoad {
    /// Adds the load of a job.
    pub fn add(&mut self, load: &JobLoad) {
        self.demand.add(&load.demand);
        self.late_work += load.late_work;
        if load.min_hosts > 0 {
            self.spreads.add(load.min_hosts as u64);
        }
    }

    /// Subtracts the load of a job that was added.
    pub fn sub(&mut self, load: &JobLoad) {
        self.demand.sub(&load.demand);
        self.late_work -= load.late_work;
        self.spreads.remove(load.min_hosts as u64);
    }

    /// CPU of the hosts that the load takes, in thousandths of a core. Load that takes a larger
    /// share of the `total` memory of the hosts than of their CPU counts by its memory.
    #[must_use]
    pub fn need(&self, total: &Resources) -> u64 {
        let memory = u128::from(self.demand.memory) * u128::from(total.cpu);
        let memory = memory.checked_div(u128::from(total.memory)).unwrap_or(0);
        let memory = u64::try_from(memory).unwrap_or(u64::MAX);
        self.demand.cpu.max(memory)
    }

    /// Work of jobs that are too late to be of use to their clients, in thousandths of a
    /// core-millisecond. It is not part of the need.
    #[must_use]
    pub const fn late_work(&self) -> u64 {
        self.late_work
    }

    /// Most hosts over which a single step must be spread.
    #[must_use]
    pub fn min_hosts(&self) -> usize {
        self.spreads.max() as usize
    }
}
