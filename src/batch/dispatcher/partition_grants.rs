//! Partitions of executors in which tasks of a job may be started. They are recorded in the log
//! before a start, so that a later owner knows which executors may have runs of the job.

use std::collections::BTreeMap;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::batch::Resources;
use crate::batch::executor_capacity::StepPlacement;
use crate::name::ExecutorId;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::unseen::UnknownCapacity;

/// Most jobs in one record.
const GRANT_LIMIT: usize = 1_000;

impl Dispatcher {
    /// Selects the partitions for a job that is being accepted: its home partition and those with
    /// free capacity for its first step, which is reserved until the next placement. Jobs that are
    /// long-running, gang-scheduled or need advice get all.
    pub fn initial_partitions(&mut self, job: &Job) -> Partitions {
        if job.is_long_running() || job.steps.iter().any(|step| step.gang) || self.is_advised(job) {
            return Partitions::ALL;
        }
        let mut partitions = Partitions::home(job.id);
        let Some(step) = job.steps.first() else {
            return partitions;
        };
        let executors = self.free_capacity.of_mut(&job.service);
        let mut placement = StepPlacement::new(step, None, executors, std::iter::empty());
        for _ in 0..step.count {
            let Some(partition) = placement.take_partition(executors) else {
                break;
            };
            partitions = partitions.union(partition);
        }
        partitions
    }

    /// Requests the grants of partitions without which no task of these jobs may be started.
    pub(super) fn grant_new(&mut self, ids: &[JobId]) {
        let mut grants = Vec::new();
        for &id in ids {
            let job = self.state.jobs.get(&id).map(|entry| entry.job.clone());
            if let Some(job) = job {
                grants.push((id, self.initial_partitions(&job)));
            }
        }
        self.request_grants(&grants);
    }

    fn request_grants(&mut self, grants: &[(JobId, Partitions)]) {
        for grants in grants.chunks(GRANT_LIMIT) {
            let append_id = self.append(vec![Record::Granted(grants.to_vec())]);
            self.pending_grants.insert(append_id, grants.to_vec());
        }
    }

    pub(super) fn on_granted(&mut self, grants: Vec<(JobId, Partitions)>) {
        for (id, partitions) in grants {
            self.widening.on_granted(id);
            self.state.grant(id, partitions);
        }
        self.dirty = true;
    }

    /// Requests the grants for jobs that need further partitions.
    pub(super) fn grant_further(&mut self) {
        let grants = self.widening.take();
        self.request_grants(&grants);
    }

    /// Returns the partitions of executors with unknown runs, by service.
    pub(super) fn unknown_partitions(&self) -> BTreeMap<ServiceName, Partitions> {
        let mut unknown_partitions: BTreeMap<ServiceName, Partitions> = BTreeMap::new();
        for executor in self
            .executors
            .values()
            .filter(|executor| executor.has_unknown_runs())
        {
            let partitions = unknown_partitions
                .entry(executor.service.clone())
                .or_default();
            *partitions = partitions.union(executor.partition);
        }
        unknown_partitions
    }

    /// Logs which executors with unknown runs these jobs wait for.
    pub(super) fn log_blocked(&self, blocked: &[JobId]) {
        let unknown = self.executors.iter();
        let unknown = unknown.filter(|(_, executor)| executor.has_unknown_runs());
        let unknown: Vec<_> = unknown.collect();
        for id in blocked {
            let Some(entry) = self.state.jobs.get(id) else {
                continue;
            };
            let service = &entry.job.service;
            let waited_for = unknown.iter().filter(|(_, executor)| {
                entry.inherited.intersects(executor.partition) && executor.service == *service
            });
            let waited_for: Vec<&str> = waited_for.map(|(executor, _)| executor.as_str()).collect();
            info!(self.log, "job blocked by unknown runs"; "job" => %id, "service" => %service,
                "executors" => waited_for.join(" "));
        }
    }

    /// Returns the most that each team may be using on executors with unknown runs.
    pub(super) fn unknown_usage(&self) -> BTreeMap<TeamName, Resources> {
        if self.unknown.is_empty() {
            return BTreeMap::new();
        }
        let mut capacity = UnknownCapacity::default();
        for (id, executor) in &self.executors {
            if executor.has_unknown_runs() {
                capacity.add(&executor.service, self.greatest_capacity(id).as_ref());
            }
        }
        self.backlog.unseen().bound(&capacity)
    }

    /// Returns the most that an executor may have had while it was assigned: by the log, and by its
    /// entry if it is listed. `None` if neither tells.
    fn greatest_capacity(&self, id: &ExecutorId) -> Option<Resources> {
        let recorded = self.state.capacities.get(id).copied();
        let executor = self.executors.get(id)?;
        let listed = executor.info.as_ref().map(|info| info.capacity);
        match (recorded, listed) {
            (Some(recorded), Some(listed)) => Some(recorded.max(&listed)),
            _ => recorded.or(listed),
        }
    }
}
