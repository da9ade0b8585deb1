//! Cells in which tasks of a job may be started. They are recorded in the log before a start, so that
//! a later owner knows which executors may have runs of the job.

use std::collections::BTreeMap;

use slog::info;

use crate::batch::Cells;
use crate::batch::Dispatcher;
use crate::batch::Entry;
use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::Record;
use crate::batch::Resources;
use crate::batch::executor_capacity::StepPlacement;
use crate::name::ServiceName;
use crate::name::TeamName;

/// Most jobs in one record.
const GRANT_LIMIT: usize = 1_000;

impl Dispatcher {
    /// Returns the cells for a job that is being accepted: its home cell and those with free capacity
    /// for its first step, or all cells for jobs that are long-running, gang-scheduled or need advice.
    pub fn initial_cells(&mut self, job: &Job) -> Cells {
        if job.lasts() || job.steps.iter().any(|step| step.gang) || self.is_advised(job) {
            return Cells::ALL;
        }
        let mut cells = Cells::home(job.id);
        let Some(step) = job.steps.first() else {
            return cells;
        };
        let executors = self.free_capacity.of_mut(&job.service);
        let mut placement = StepPlacement::new(step, None, executors, std::iter::empty());
        for _ in 0..step.count {
            let Some(cell) = placement.take_cell(executors) else {
                break;
            };
            cells = cells.with(cell);
        }
        cells
    }

    /// Requests the grants of cells without which no task of these jobs may be started.
    pub(super) fn grant_new(&mut self, ids: &[JobId]) {
        let mut grants = Vec::new();
        for &id in ids {
            let job = self.book.jobs.get(&id).map(|entry| entry.job.clone());
            if let Some(job) = job {
                grants.push((id, self.initial_cells(&job)));
            }
        }
        self.grant(&grants);
    }

    fn grant(&mut self, grants: &[(JobId, Cells)]) {
        for grants in grants.chunks(GRANT_LIMIT) {
            let receipt = self.append(vec![Record::Granted(grants.to_vec())]);
            self.pending_grants.insert(receipt, grants.to_vec());
        }
    }

    pub(super) fn on_granted(&mut self, grants: Vec<(JobId, Cells)>) {
        for (id, cells) in grants {
            self.widening.on_granted(id);
            self.book.grant(id, cells);
        }
        self.dirty = true;
    }

    /// Requests the grants for jobs that need further cells.
    pub(super) fn grant_further(&mut self) {
        let grants = self.widening.take();
        self.grant(&grants);
    }

    /// Returns the cells of executors with unknown runs, by service.
    pub(super) fn unknown_cells(&self) -> BTreeMap<ServiceName, Cells> {
        let mut unknown_cells: BTreeMap<ServiceName, Cells> = BTreeMap::new();
        for executor in self
            .executors
            .values()
            .filter(|executor| executor.has_unknown_runs())
        {
            let cells = unknown_cells.entry(executor.service.clone()).or_default();
            *cells = cells.with(executor.cell);
        }
        unknown_cells
    }

    /// Notes the jobs that wait for executors with unknown runs, and logs these once per job.
    pub(super) fn note_blocked(&mut self, blocked: Vec<JobId>) {
        for id in &blocked {
            if self.blocked.contains(id) {
                continue;
            }
            let Some(entry) = self.book.jobs.get(id) else {
                continue;
            };
            let service = &entry.job.service;
            let waits = self.executors.iter().filter(|(_, executor)| {
                executor.has_unknown_runs()
                    && executor.service == *service
                    && entry.inherited.meets(executor.cell)
            });
            let waits: Vec<&str> = waits.map(|(executor, _)| executor.as_str()).collect();
            info!(self.log, "job blocked by unknown runs"; "job" => %id, "service" => %service,
                "executors" => waits.join(" "));
        }
        self.blocked = blocked.into_iter().collect();
    }

    /// Returns the resources that each team may use on executors with unknown runs: at most what its
    /// tasks take that may be there, and at most the capacity of these executors.
    pub(super) fn unknown_usage(&self) -> BTreeMap<TeamName, Resources> {
        let unknown_cells = self.unknown_cells();
        let mut unknown_usage: BTreeMap<TeamName, Resources> = BTreeMap::new();
        if unknown_cells.is_empty() {
            return unknown_usage;
        }
        for entry in self.book.jobs.values() {
            let Some(team) = &entry.job.team else {
                continue;
            };
            let cells = unknown_cells.get(&entry.job.service);
            let cells = cells.copied().unwrap_or_default();
            if entry.inherited.meets(cells) {
                unknown_usage
                    .entry(team.clone())
                    .or_default()
                    .add(&unplaced(entry));
            }
        }
        let mut capacity = Resources::default();
        for executor in self
            .executors
            .values()
            .filter(|executor| executor.has_unknown_runs())
        {
            match &executor.info {
                Some(info) => capacity.add(&info.capacity),
                None => return unknown_usage,
            }
        }
        for demand in unknown_usage.values_mut() {
            *demand = demand.min(&capacity);
        }
        unknown_usage
    }
}

/// Returns the resources of a job's tasks that are neither done nor known to run.
fn unplaced(entry: &Entry) -> Resources {
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
