//! Jobs that have work left, by service, kept sorted as they change: what a start or an end costs
//! doesn't depend on how many jobs wait.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::batch::JobId;
use crate::batch::Resources;
use crate::batch::backlog_entry::BacklogEntry;
use crate::batch::round::Round;
use crate::batch::service_backlog::ServiceBacklog;
use crate::batch::service_order::ServiceOrder;
use crate::batch::turns::Turns;
use crate::batch::unanswered_starts::UnansweredStarts;
use crate::name::QueueName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::unseen::UnseenUsage;

/// Index of the jobs that have work left.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    entries: BTreeMap<JobId, BacklogEntry>,
    services: BTreeMap<ServiceName, ServiceBacklog>,
    // Number of jobs of each queue of which no task has started.
    waiting: BTreeMap<QueueName, u64>,
    // Demand of tasks that earlier owners may have started on executors that haven't reported yet.
    unseen: UnseenUsage,
    // Jobs that may have runs of an earlier owner.
    inherited: BTreeSet<JobId>,
    // When the ranks of jobs change by the time alone, in Unix milliseconds.
    expiries: BTreeSet<(u64, JobId)>,
}

impl Backlog {
    /// Replaces the entry of a job, or removes it. Returns whether the job is newly blocked by
    /// unknown runs.
    pub fn set(&mut self, id: JobId, entry: Option<BacklogEntry>) -> bool {
        let was_blocked = self.remove(id);
        let Some(entry) = entry else {
            return false;
        };
        let service = self.services.entry(entry.service.clone()).or_default();
        service.add(&entry);
        if entry.waiting {
            *self.waiting.entry(entry.queue.clone()).or_default() += 1;
        }
        if let Some((team, demand)) = &entry.unseen {
            self.unseen.add(team, &entry.service, demand);
        }
        if entry.inherited {
            self.inherited.insert(id);
        }
        if let Some(expires) = entry.expires {
            self.expiries.insert((expires, id));
        }
        let blocked = entry.blocked;
        self.entries.insert(id, entry);
        blocked && !was_blocked
    }

    /// Removes the entry of a job; returns whether it was blocked.
    fn remove(&mut self, id: JobId) -> bool {
        let Some(entry) = self.entries.remove(&id) else {
            return false;
        };
        if let Some(service) = self.services.get_mut(&entry.service) {
            service.remove(&entry);
            if service.is_empty() {
                self.services.remove(&entry.service);
            }
        }
        if entry.waiting
            && let Some(waiting) = self.waiting.get_mut(&entry.queue)
        {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting.remove(&entry.queue);
            }
        }
        if let Some((team, demand)) = &entry.unseen {
            self.unseen.sub(team, &entry.service, demand);
        }
        self.inherited.remove(&id);
        if let Some(expires) = entry.expires {
            self.expiries.remove(&(expires, id));
        }
        entry.blocked
    }

    /// Returns the jobs whose ranks have changed by the time alone.
    #[must_use]
    pub fn expired(&self, unix: u64) -> Vec<JobId> {
        let expired = self.expiries.iter().take_while(|&&(at, _)| at <= unix);
        expired.map(|&(_, id)| id).collect()
    }

    /// Returns the jobs of these services that may have runs of an earlier owner.
    pub fn inherited_of(&self, services: &BTreeSet<ServiceName>) -> Vec<JobId> {
        let of_services = |id: &&JobId| {
            let entry = self.entries.get(*id);
            entry.is_some_and(|entry| services.contains(&entry.service))
        };
        self.inherited.iter().filter(of_services).copied().collect()
    }

    /// Returns all jobs.
    pub fn ids(&self) -> impl Iterator<Item = JobId> {
        self.entries.keys().copied()
    }

    /// Returns the jobs of a service; `None` if there are none.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> Option<&ServiceBacklog> {
        self.services.get(service)
    }

    /// Returns the number of jobs of a queue of which no task has started.
    #[must_use]
    pub fn waiting(&self, queue: &QueueName) -> u64 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Returns the demand of tasks that earlier owners may have started on executors that haven't
    /// reported yet.
    #[must_use]
    pub const fn unseen(&self) -> &UnseenUsage {
        &self.unseen
    }

    /// Whether a job has tasks that could start.
    #[must_use]
    pub fn is_candidate(&self, id: &JobId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.candidate.is_some())
    }

    /// Returns, for each service, the jobs with tasks to start in the order in which to serve them.
    /// Behind the front, each goes on with the service's round. The jobs of teams of which `is_open`
    /// does not hold are left out; it is given the team and the least that a task of it needs.
    #[must_use]
    pub fn orders(
        &self,
        turns: &Turns,
        rounds: &BTreeMap<ServiceName, Round>,
        starts: &UnansweredStarts,
        is_open: impl Fn(&TeamName, &Resources) -> bool,
    ) -> Vec<ServiceOrder<'_>> {
        let services = self.services.iter();
        let orders = services.map(|(service, backlog)| {
            let round = rounds.get(service).copied().unwrap_or_default();
            let drawn = turns.is_drawn(service);
            let teams = backlog
                .teams()
                .filter(|(team, jobs)| team.is_none_or(|team| is_open(team, &jobs.least_demand())));
            ServiceOrder::new(service, teams.collect(), drawn, round, starts.of(service))
        });
        orders.collect()
    }
}

impl FromIterator<(JobId, BacklogEntry)> for Backlog {
    fn from_iter<I: IntoIterator<Item = (JobId, BacklogEntry)>>(entries: I) -> Self {
        let mut backlog = Self::default();
        for (id, entry) in entries {
            backlog.set(id, Some(entry));
        }
        backlog
    }
}
