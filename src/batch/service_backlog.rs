//! Jobs of one service that have tasks to start, sorted, and the load of all its jobs.

use std::collections::BTreeMap;

use crate::batch::backlog_entry::BacklogEntry;
use crate::batch::service_load::ServiceLoad;
use crate::batch::team_backlog::TeamBacklog;
use crate::name::TeamName;

/// Jobs of one service.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ServiceBacklog {
    // Candidates by team, those of all teams without a limit together.
    teams: BTreeMap<Option<TeamName>, TeamBacklog>,
    load: ServiceLoad,
    jobs: usize,
    blocked: usize,
}

impl ServiceBacklog {
    /// Adds a job.
    pub fn add(&mut self, entry: &BacklogEntry) {
        self.load
            .add(&entry.load, entry.priority, entry.limited.as_ref());
        self.jobs += 1;
        self.blocked += usize::from(entry.blocked);
        if let Some(candidate) = entry.candidate {
            let team = self.teams.entry(entry.limited.clone()).or_default();
            team.add(candidate, &entry.least_demand, &entry.least_reserved);
        }
    }

    /// Removes a job that was added.
    pub fn remove(&mut self, entry: &BacklogEntry) {
        self.load
            .sub(&entry.load, entry.priority, entry.limited.as_ref());
        self.jobs -= 1;
        self.blocked -= usize::from(entry.blocked);
        if let Some(candidate) = entry.candidate
            && let Some(team) = self.teams.get_mut(&entry.limited)
        {
            team.remove(candidate, &entry.least_demand, &entry.least_reserved);
            if team.is_empty() {
                self.teams.remove(&entry.limited);
            }
        }
    }

    /// Whether there are no jobs.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.jobs == 0
    }

    /// Returns the number of jobs.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.jobs
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

    /// Returns the candidates of each team that has a limit, and those of all others together.
    pub fn teams(&self) -> impl Iterator<Item = (Option<&TeamName>, &TeamBacklog)> + use<'_> {
        self.teams.iter().map(|(team, jobs)| (team.as_ref(), jobs))
    }
}
