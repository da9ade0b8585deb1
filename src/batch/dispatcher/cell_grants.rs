//! Where tasks of a job may be started. The log says so before, so that a later owner knows which
//! executors may have them.

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

/// Most jobs of one record.
const GRANT_LIMIT: usize = 1_000;

impl Dispatcher {
    /// Cells for a job that is accepted now: where there is room for it, and its home.
    pub fn initial_cells(&mut self, job: &Job) -> Cells {
        if job.lasts() || job.steps.iter().any(|step| step.gang) || self.is_advised(job) {
            return Cells::ALL;
        }
        let mut cells = Cells::home(job.id);
        let Some(step) = job.steps.first() else {
            return cells;
        };
        let rooms = self.free_capacity.of_mut(&job.service);
        let mut placement = StepPlacement::new(step, None, rooms, std::iter::empty());
        for _ in 0..step.count {
            let Some(cell) = placement.take_cell(rooms) else {
                break;
            };
            cells = cells.with(cell);
        }
        cells
    }

    /// Asks for the records without which no task of these jobs may be started.
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

    /// Asks for the records of the jobs that need further cells.
    pub(super) fn grant_further(&mut self) {
        let grants = self.widening.take();
        self.grant(&grants);
    }

    /// The cells, by service, of executors on which tasks may run that this owner doesn't know of.
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

    /// Notes which jobs wait for executors that have not answered, and names these once a job.
    pub(super) fn note_blocked(&mut self, held: Vec<JobId>) {
        for id in &held {
            if self.held.contains(id) {
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
            info!(self.log, "job held"; "job" => %id, "service" => %service,
                "executors" => waits.join(" "));
        }
        self.held = held.into_iter().collect();
    }

    /// What work of each team may run on executors that have not answered: no more than they
    /// have room for, and no more than the team has tasks that may be there.
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

/// What the tasks of a job take that are not known to run.
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
