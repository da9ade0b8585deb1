//! Where tasks of a job may be started. The log says so before, so that a later owner knows which
//! executors may have them.

use std::collections::BTreeMap;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::batch::Resources;
use crate::batch::executor_capacity::Wish;
use crate::name::ServiceName;
use crate::name::TeamName;

/// Most jobs of one record.
const GRANT_LIMIT: usize = 1_000;

impl Dispatcher {
    /// Cells for a job that is accepted now: where there is room for it, and its home.
    pub fn initial_partitions(&mut self, job: &Job) -> Partitions {
        if job.is_lasting() || job.steps.iter().any(|step| step.gang) || self.is_advised(job) {
            return Partitions::ALL;
        }
        let mut partitions = Partitions::home(job.id);
        let Some(step) = job.steps.first() else {
            return partitions;
        };
        let rooms = self.vacant.of_mut(&job.service);
        let mut wish = Wish::new(step, None, rooms, std::iter::empty());
        for _ in 0..step.count {
            let Some(partition) = wish.take_partition(rooms) else {
                break;
            };
            partitions = partitions.union(partition);
        }
        partitions
    }

    /// Asks for the records without which no task of these jobs may be started.
    pub(super) fn grant_new(&mut self, ids: &[JobId]) {
        let mut grants = Vec::new();
        for &id in ids {
            let job = self.state.jobs.get(&id).map(|entry| entry.job.clone());
            if let Some(job) = job {
                grants.push((id, self.initial_partitions(&job)));
            }
        }
        self.grant(&grants);
    }

    fn grant(&mut self, grants: &[(JobId, Partitions)]) {
        for grants in grants.chunks(GRANT_LIMIT) {
            let append_id = self.append(vec![Record::Granted(grants.to_vec())]);
            self.granting.insert(append_id, grants.to_vec());
        }
    }

    pub(super) fn granted(&mut self, grants: Vec<(JobId, Partitions)>) {
        for (id, partitions) in grants {
            self.widening.settle(id);
            self.state.grant(id, partitions);
        }
        self.dirty = true;
    }

    /// Asks for the records of the jobs that need further cells.
    pub(super) fn grant_wider(&mut self) {
        let grants = self.widening.take();
        self.grant(&grants);
    }

    /// The cells, by service, of executors on which tasks may run that this owner doesn't know of.
    pub(super) fn unclear(&self) -> BTreeMap<ServiceName, Partitions> {
        let mut unclear: BTreeMap<ServiceName, Partitions> = BTreeMap::new();
        for seat in self.seats.values().filter(|seat| seat.is_unheard()) {
            let partitions = unclear.entry(seat.service.clone()).or_default();
            *partitions = partitions.union(seat.partition);
        }
        unclear
    }

    /// Notes which jobs wait for executors that have not answered, and names these once a job.
    pub(super) fn note_held(&mut self, held: Vec<JobId>) {
        for id in &held {
            if self.held.contains(id) {
                continue;
            }
            let Some(entry) = self.state.jobs.get(id) else {
                continue;
            };
            let service = &entry.job.service;
            let waits = self.seats.iter().filter(|(_, seat)| {
                seat.is_unheard()
                    && seat.service == *service
                    && entry.inherited.intersects(seat.partition)
            });
            let waits: Vec<&str> = waits.map(|(executor, _)| executor.as_str()).collect();
            info!(self.log, "job held"; "job" => %id, "service" => %service,
                "executors" => waits.join(" "));
        }
        self.held = held.into_iter().collect();
    }

    /// What work of each team may run on executors that have not answered: no more than they
    /// have room for, and no more than the team has tasks that may be there.
    pub(super) fn hidden(&self) -> BTreeMap<TeamName, Resources> {
        let unclear = self.unclear();
        let mut hidden: BTreeMap<TeamName, Resources> = BTreeMap::new();
        if unclear.is_empty() {
            return hidden;
        }
        for entry in self.state.jobs.values() {
            let Some(team) = &entry.job.team else {
                continue;
            };
            let partitions = unclear.get(&entry.job.service);
            let partitions = partitions.copied().unwrap_or_default();
            if entry.inherited.intersects(partitions) {
                hidden
                    .entry(team.clone())
                    .or_default()
                    .add(&unplaced(entry));
            }
        }
        let mut room = Resources::default();
        for seat in self.seats.values().filter(|seat| seat.is_unheard()) {
            match &seat.info {
                Some(info) => room.add(&info.capacity),
                None => return hidden,
            }
        }
        for demand in hidden.values_mut() {
            *demand = demand.least(&room);
        }
        hidden
    }
}

/// What the tasks of a job take that are not known to run.
fn unplaced(entry: &JobProgress) -> Resources {
    let mut demand = Resources::default();
    for stages in entry.occurrences.values() {
        for (stage, step) in stages.iter().zip(&entry.job.steps) {
            for _ in stage.tasks.iter().filter(|task| task.is_idle()) {
                demand.add(&step.demand);
            }
        }
    }
    demand
}
