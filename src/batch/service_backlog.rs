//! Jobs of one service that have tasks to start, sorted, and the load of all its jobs.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::batch::Resources;
use crate::batch::backlog_entry::BacklogEntry;
use crate::batch::candidate::Candidate;
use crate::batch::drawn::Drawn;
use crate::batch::multiset::Multiset;
use crate::batch::service_load::ServiceLoad;

/// Jobs of one service.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ServiceBacklog {
    by_work: BTreeSet<Candidate>,
    by_draw: BTreeSet<Drawn>,
    // CPU and memory that the smallest tasks to start of each job reserve.
    cpus: Multiset,
    memories: Multiset,
    load: ServiceLoad,
    jobs: usize,
    blocked: usize,
}

impl ServiceBacklog {
    /// Adds a job.
    pub fn add(&mut self, entry: &BacklogEntry) {
        self.load.add(&entry.load);
        self.jobs += 1;
        self.blocked += usize::from(entry.blocked);
        if let Some(candidate) = entry.candidate {
            self.by_work.insert(candidate);
            self.by_draw.insert(Drawn::from(&candidate));
            self.cpus.add(entry.least.cpu);
            self.memories.add(entry.least.memory);
        }
    }

    /// Removes a job that was added.
    pub fn remove(&mut self, entry: &BacklogEntry) {
        self.load.sub(&entry.load);
        self.jobs -= 1;
        self.blocked -= usize::from(entry.blocked);
        if let Some(candidate) = entry.candidate {
            self.by_work.remove(&candidate);
            self.by_draw.remove(&Drawn::from(&candidate));
            self.cpus.remove(entry.least.cpu);
            self.memories.remove(entry.least.memory);
        }
    }

    /// Whether there are no jobs.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.jobs == 0
    }

    /// Returns the load of all jobs.
    #[must_use]
    pub const fn load(&self) -> &ServiceLoad {
        &self.load
    }

    /// Returns the number of jobs that wait for executors with unknown runs.
    #[must_use]
    pub const fn blocked(&self) -> usize {
        self.blocked
    }

    /// Returns resources that no task of a candidate reserves less of.
    #[must_use]
    pub fn smallest(&self) -> Resources {
        Resources {
            cpu: self.cpus.min(),
            memory: self.memories.min(),
            gpu: 0,
        }
    }

    /// Returns the candidates, those with the least remaining work in each rank first.
    pub fn by_work(&self) -> impl Iterator<Item = &Candidate> + use<'_> {
        self.by_work.iter()
    }

    /// Returns the candidates, in the order of the draw in each rank.
    pub fn by_draw(&self) -> impl Iterator<Item = &Drawn> + use<'_> {
        self.by_draw.iter()
    }

    /// Returns the candidates of [`Self::by_work`] in a range.
    pub fn within(
        &self,
        range: (Bound<Candidate>, Bound<Candidate>),
    ) -> impl Iterator<Item = &Candidate> + use<'_> {
        self.by_work.range(range)
    }
}
