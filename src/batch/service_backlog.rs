//! Jobs of one service that have tasks to start, sorted, and the load of all its jobs.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::batch::JobId;
use crate::batch::Resources;
use crate::batch::backlog_entry::BacklogEntry;
use crate::batch::candidate::Candidate;
use crate::batch::multiset::Multiset;
use crate::batch::rank::Rank;
use crate::batch::service_load::ServiceLoad;

/// A candidate's place among those of its rank if the next one is drawn by lot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Drawn {
    /// Its precedence over other jobs.
    pub rank: Rank,
    draw: u64,
    /// The job.
    pub id: JobId,
}

impl From<&Candidate> for Drawn {
    fn from(candidate: &Candidate) -> Self {
        Self {
            rank: candidate.rank,
            draw: candidate.id.draw(),
            id: candidate.id,
        }
    }
}

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

    /// Returns the number of candidates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_work.len()
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

    /// Returns the candidates of [`Self::by_work`] that come after `cursor`; all if it is `None`.
    pub fn after(&self, cursor: Option<Candidate>) -> impl Iterator<Item = &Candidate> + use<'_> {
        let from = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_work.range((from, Bound::Unbounded))
    }
}
