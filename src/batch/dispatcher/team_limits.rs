//! Keeps teams within the limits on what they run.

use std::collections::BTreeMap;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Resources;
use crate::batch::service_order::ServiceOrder;
use crate::name::TeamName;

impl Dispatcher {
    /// Leaves out the other jobs of a job's team at a service if the team is at its limit now.
    pub(super) fn close_team(
        &self,
        order: &mut ServiceOrder<'_>,
        unknown_usage: &BTreeMap<TeamName, Resources>,
        id: &JobId,
    ) {
        let entry = self.state.jobs.get(id);
        let Some(team) = entry.and_then(|entry| entry.job.team.as_ref()) else {
            return;
        };
        let demand = order.least_demand(team);
        if demand.is_some_and(|demand| self.is_at_limit(team, unknown_usage, &demand)) {
            order.close(team);
        }
    }

    /// Whether a team may run no further task of this demand or a larger one.
    pub(super) fn is_at_limit(
        &self,
        team: &TeamName,
        unknown_usage: &BTreeMap<TeamName, Resources>,
        demand: &Resources,
    ) -> bool {
        self.team_allowance(Some(team), unknown_usage, demand) == 0
    }

    /// Returns how many more tasks of a demand a team may run under its limit.
    pub(super) fn team_allowance(
        &self,
        team: Option<&TeamName>,
        unknown_usage: &BTreeMap<TeamName, Resources>,
        demand: &Resources,
    ) -> usize {
        let policy = self.directives.policy.as_ref();
        let limits = policy.and_then(|policy| policy.teams.get(team?));
        let Some(limits) = limits else {
            return usize::MAX;
        };
        let unknown_usage = team.and_then(|team| unknown_usage.get(team));
        let mut used = unknown_usage.copied().unwrap_or_default();
        if let Some(own) = team.and_then(|team| self.usage.get(team)) {
            used.add(own);
        }
        usize::try_from(limits.limit.max_count(&used, demand)).unwrap_or(usize::MAX)
    }
}
