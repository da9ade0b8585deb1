//! Keeps the backlog up to date as jobs, executors and the configuration change.

use std::collections::BTreeSet;

use slog::info;

use crate::batch::Directives;
use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::Now;
use crate::batch::backlog_entry::BacklogEntry;
use crate::name::ServiceName;
use crate::name::TeamName;

impl Dispatcher {
    /// Brings the backlog up to date. The cost grows with what has changed, not with what waits.
    pub fn update_backlog(&mut self, now: Now) {
        let mut ids = self.state.jobs.take_changed();
        ids.extend(self.backlog.expired(now.unix));
        ids.extend(self.update_unknown());
        ids.extend(self.relimited_jobs());
        // Jobs may have been ranked as later than they are.
        let earlier = now.unix < self.ranked_at;
        self.ranked_at = now.unix;
        if std::mem::take(&mut self.ranks_changed) || earlier {
            ids.extend(self.backlog.ids());
        }
        let mut blocked = Vec::new();
        self.effort.ranked += ids.len() as u64;
        for id in ids {
            if self.update_entry(now, id) {
                blocked.push(id);
            }
        }
        self.log_blocked(&blocked);
    }

    /// Brings the backlog up to date; returns whether it holds what is computed from all jobs anew.
    /// For tests.
    pub fn check_backlog(&mut self, now: Now) -> bool {
        self.update_backlog(now);
        let jobs = self.state.jobs.values();
        let entries = jobs.filter_map(|entry| Some((entry.job.id, self.entry_of(now, entry)?)));
        self.backlog == entries.collect()
    }

    fn entry_of(&self, now: Now, job_progress: &JobProgress) -> Option<BacklogEntry> {
        let job = &job_progress.job;
        let policy = self.directives.policy.as_ref();
        let queue = policy.and_then(|policy| policy.queue_named(&job.queue));
        let limited = policy.zip(job.team.as_ref());
        let limited = limited.is_some_and(|(policy, team)| policy.is_limited(team));
        let unknown = self.unknown.get(&job.service).copied().unwrap_or_default();
        BacklogEntry::of(
            job_progress,
            queue,
            limited,
            unknown,
            &self.capacity.largest,
            now.unix,
        )
    }

    /// Notes what differs in new directives that the backlog depends on.
    pub(super) fn note_changes(&mut self, directives: &Directives) {
        self.ranks_changed |= directives.queues() != self.directives.queues();
        let limited = directives.limited_teams();
        let changed = &limited ^ &self.directives.limited_teams();
        self.relimited.extend(changed);
    }

    /// Returns the jobs of teams that have had a limit set or lifted since the last call.
    fn relimited_jobs(&mut self) -> Vec<JobId> {
        let teams = std::mem::take(&mut self.relimited);
        if teams.is_empty() {
            return Vec::new();
        }
        let of_teams = |id: &JobId| {
            let entry = self.state.jobs.get(id);
            let team = entry.and_then(|entry| entry.job.team.as_ref());
            team.is_some_and(|team| teams.contains(team))
        };
        self.backlog.ids().filter(of_teams).collect()
    }

    /// Updates the backlog's entry of a job; returns whether it is newly blocked by unknown runs.
    fn update_entry(&mut self, now: Now, id: JobId) -> bool {
        let job_progress = self.state.jobs.get(&id);
        let entry = job_progress.and_then(|job_progress| self.entry_of(now, job_progress));
        let newly_blocked = self.backlog.set(id, entry);
        if !self.backlog.is_candidate(&id) {
            self.extra_hosts.remove(&id);
        }
        newly_blocked
    }

    /// Updates the partitions of executors with unknown runs; returns the jobs that may be affected
    /// by a change.
    fn update_unknown(&mut self) -> Vec<JobId> {
        let unknown = self.unknown_partitions();
        if unknown == self.unknown {
            return Vec::new();
        }
        let earlier = std::mem::replace(&mut self.unknown, unknown);
        let services = earlier.keys().chain(self.unknown.keys());
        let changed = services.filter(|&service| earlier.get(service) != self.unknown.get(service));
        let changed: BTreeSet<ServiceName> = changed.cloned().collect();
        self.backlog.inherited_of(&changed)
    }

    /// Marks the new jobs that exceed their team's share.
    pub(super) fn mark_excess(&mut self) {
        let Some(policy) = self.directives.policy.clone() else {
            return;
        };
        let ids = std::mem::take(&mut self.unchecked);
        let jobs = ids.iter().filter_map(|id| self.state.jobs.get(id));
        let jobs = jobs.map(|entry| (entry.job.accepted, entry.job.id));
        let mut jobs: Vec<(u64, JobId)> = jobs.collect();
        jobs.sort_unstable();
        for (accepted, id) in jobs {
            let Some(entry) = self.state.jobs.get_mut(&id) else {
                continue;
            };
            let team = entry.job.team.as_ref();
            let weighed = team.and_then(|name| Some((name, policy.teams.get(name)?.weight)));
            let within = weighed.is_none_or(|(name, weight)| {
                weight == 0 || self.shares.admit(accepted, name, weight)
            });
            entry.over_share = Some(!within);
            if !within {
                info!(self.log, "job exceeds the team's share"; "job" => %id,
                    "team" => entry.job.team.as_ref().map(TeamName::as_str),
                    "weight" => weighed.map(|(_, weight)| weight));
            }
        }
    }
}
