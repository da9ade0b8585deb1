//! Host counts by pool and data centre.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::DcName;
use crate::name::PoolName;
use crate::name::RackName;
use crate::record::Host;
use crate::record::State;
use crate::record::UpkeepGoal;
use crate::upkeep::Policy;
use crate::upkeep::pause_reason::is_overdue;
use crate::upkeep::pause_reason::stuck_hosts;

/// Counts of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolCount<'a> {
    /// Hosts that operators have assigned to the pool, lent ones included.
    pub home_hosts: usize,
    /// Hosts that are in the pool now, borrowed ones included.
    pub size: usize,
    /// Usable hosts in the pool.
    pub usable: usize,
    /// Slots of the usable hosts.
    pub slots: u32,
    /// Hosts that are being moved into the pool.
    pub arriving: usize,
    /// Maximum number of hosts that may be unusable.
    pub budget: usize,
    /// Racks under maintenance.
    pub racks: BTreeSet<&'a RackName>,
    /// Whether maintenance waits because a host has not returned from its reboot.
    pub blocked: bool,
}

impl PoolCount<'_> {
    /// Number of hosts that may be drained before the budget is used up. Hosts that are lent to
    /// other pools count against the budget.
    pub(super) fn room(&self) -> usize {
        let unusable = self.size - self.usable;
        let spare = (self.usable + self.budget).saturating_sub(self.home_hosts);
        self.budget.saturating_sub(unusable).min(spare)
    }
}

/// Counts of one data centre.
#[derive(Debug, Default)]
pub(super) struct DcCount {
    hosts: usize,
    unusable: usize,
}

/// Host counts of the fleet. A planner step updates them with each drain that it plans.
#[derive(Debug)]
pub(super) struct HostCounts<'a> {
    pub(super) pools: BTreeMap<&'a PoolName, PoolCount<'a>>,
    dcs: BTreeMap<&'a DcName, DcCount>,
    /// Hosts under maintenance, without those overdue from their reboot.
    pub(super) maintained: usize,
}

impl<'a> HostCounts<'a> {
    /// Counts the hosts of a state at `now`, in Unix milliseconds.
    pub(super) fn of(state: &'a State, policy: &'a Policy, now: u64) -> Self {
        let mut counts = Self {
            pools: BTreeMap::new(),
            dcs: BTreeMap::new(),
            maintained: 0,
        };
        for (name, pool) in &state.pools {
            let count = counts.pools.entry(name).or_default();
            count.budget = pool.budget as usize;
        }
        for host in state.hosts.values() {
            counts.add_host(host, state.is_usable(host));
            match &host.upkeep {
                Some(upkeep) if !is_overdue(upkeep, policy, now) => {
                    counts.add_plan(host, &upkeep.goal)
                }
                _ => {}
            }
        }
        for (_, host) in stuck_hosts(state, policy, now) {
            counts.pool_mut(&host.pool).blocked = true;
        }
        counts
    }

    /// Marks a usable host as drained for maintenance.
    pub(super) fn add_maintenance(&mut self, host: &'a Host) {
        self.remove_usable(host);
        self.pool_mut(&host.pool).racks.insert(&host.rack);
        self.maintained += 1;
    }

    /// Marks a usable host as drained for a move.
    pub(super) fn add_move(&mut self, host: &'a Host, to: &'a PoolName) {
        self.remove_usable(host);
        self.pool_mut(to).arriving += 1;
    }

    /// Whether another host of a data centre may be drained for maintenance.
    pub(super) fn may_maintain_in(&self, dc: &DcName) -> bool {
        let count = self.dcs.get(dc);
        count.is_some_and(|count| count.unusable < Policy::dc_budget(count.hosts))
    }

    fn add_host(&mut self, host: &'a Host, usable: bool) {
        self.pool_mut(&host.home).home_hosts += 1;
        let pool = self.pool_mut(&host.pool);
        pool.size += 1;
        if usable {
            pool.usable += 1;
            pool.slots += host.slots;
        }
        let dc = self.dc_mut(&host.dc);
        dc.hosts += 1;
        dc.unusable += usize::from(!usable);
    }

    fn remove_usable(&mut self, host: &'a Host) {
        let pool = self.pool_mut(&host.pool);
        pool.usable -= 1;
        pool.slots -= host.slots;
        self.dc_mut(&host.dc).unusable += 1;
    }

    fn add_plan(&mut self, host: &'a Host, goal: &'a UpkeepGoal) {
        match goal {
            UpkeepGoal::Maintain => {
                self.pool_mut(&host.pool).racks.insert(&host.rack);
                self.maintained += 1;
            }
            UpkeepGoal::Move(to) => self.pool_mut(to).arriving += 1,
        }
    }

    fn pool_mut(&mut self, pool: &'a PoolName) -> &mut PoolCount<'a> {
        self.pools.entry(pool).or_default()
    }

    fn dc_mut(&mut self, dc: &'a DcName) -> &mut DcCount {
        self.dcs.entry(dc).or_default()
    }
}
