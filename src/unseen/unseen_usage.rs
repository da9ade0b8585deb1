//! Demand of the tasks that may run on executors that haven't reported, and its bound.

use std::collections::BTreeMap;

use crate::batch::Resources;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::unseen::UnknownCapacity;
use crate::unseen::UnseenDemand;

/// Demand of the tasks that may run on executors that haven't reported, by team and service.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UnseenUsage(BTreeMap<(TeamName, ServiceName), UnseenDemand>);

impl UnseenUsage {
    /// Adds the demand of a job's tasks.
    pub fn add(&mut self, team: &TeamName, service: &ServiceName, demand: &UnseenDemand) {
        let key = (team.clone(), service.clone());
        self.0.entry(key).or_default().add(demand);
    }

    /// Subtracts a demand that was added.
    pub fn sub(&mut self, team: &TeamName, service: &ServiceName, demand: &UnseenDemand) {
        let key = (team.clone(), service.clone());
        let Some(sum) = self.0.get_mut(&key) else {
            return;
        };
        sum.sub(demand);
        if *sum == UnseenDemand::default() {
            self.0.remove(&key);
        }
    }

    /// Returns the most that each team uses on executors of this capacity.
    #[must_use]
    pub fn bound(&self, capacity: &UnknownCapacity) -> BTreeMap<TeamName, Resources> {
        let mut bounds: BTreeMap<TeamName, Resources> = BTreeMap::new();
        for ((team, service), demand) in &self.0 {
            if let Some(capacity) = capacity.of(service) {
                let bound = bounds.entry(team.clone()).or_default();
                bound.add(&demand.bound(capacity));
            }
        }
        bounds
    }
}
