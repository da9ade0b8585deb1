//! Counts of hosts by pool and data centre.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::DcName;
use crate::name::PoolName;
use crate::name::RackName;
use crate::record::Host;
use crate::record::State;
use crate::record::UpkeepGoal;
use crate::upkeep::Policy;
use crate::upkeep::pause::is_overdue;
use crate::upkeep::pause::stuck_hosts;

/// Hosts of a pool.
#[derive(Debug, Default)]
pub(super) struct PoolCount<'a> {
    /// Hosts that operators have put in the pool.
    pub home: usize,
    /// Hosts in the pool.
    pub size: usize,
    /// Usable hosts.
    pub usable: usize,
    /// Slots of the usable hosts.
    pub slots: u32,
    /// Hosts on their way into the pool.
    pub coming: usize,
    /// Most hosts that may be out.
    pub budget: usize,
    /// Racks that are being maintained.
    pub racks: BTreeSet<&'a RackName>,
    /// Whether a host that does not come back holds the pool up.
    pub held: bool,
}

impl PoolCount<'_> {
    /// Hosts that may be drained before the budget is used up.
    pub(super) fn room(&self) -> usize {
        let out = self.size - self.usable;
        let spare = (self.usable + self.budget).saturating_sub(self.home);
        self.budget.saturating_sub(out).min(spare)
    }
}

/// Hosts of a data centre.
#[derive(Debug, Default)]
pub(super) struct DcCount {
    hosts: usize,
    out: usize,
}

/// Counts of hosts, kept up to date while a step plans drains.
#[derive(Debug)]
pub(super) struct Census<'a> {
    pub(super) pools: BTreeMap<&'a PoolName, PoolCount<'a>>,
    dcs: BTreeMap<&'a DcName, DcCount>,
    /// Hosts under maintenance; those that do not come back are not counted.
    pub(super) maintained: usize,
}

impl<'a> Census<'a> {
    /// Counts the hosts of a state.
    pub(super) fn of(state: &'a State, policy: &'a Policy, now: u64) -> Self {
        let mut census = Self {
            pools: BTreeMap::new(),
            dcs: BTreeMap::new(),
            maintained: 0,
        };
        for (name, pool) in &state.pools {
            let count = census.pools.entry(name).or_default();
            count.budget = pool.budget as usize;
        }
        for host in state.hosts.values() {
            census.count(host, state.is_usable(host));
            match &host.upkeep {
                Some(upkeep) if !is_overdue(upkeep, policy, now) => census.plan(host, &upkeep.goal),
                _ => {}
            }
        }
        for (_, host) in stuck_hosts(state, policy, now) {
            census.pool(&host.pool).held = true;
        }
        census
    }

    /// Counts a usable host as drained for maintenance.
    pub(super) fn maintain(&mut self, host: &'a Host) {
        self.drain(host);
        self.pool(&host.pool).racks.insert(&host.rack);
        self.maintained += 1;
    }

    /// Counts a usable host as drained for a move.
    pub(super) fn send(&mut self, host: &'a Host, to: &'a PoolName) {
        self.drain(host);
        self.pool(to).coming += 1;
    }

    /// Whether maintenance may take another host of a data centre.
    pub(super) fn dc_allows(&self, dc: &DcName) -> bool {
        let count = self.dcs.get(dc);
        count.is_some_and(|count| count.out < Policy::dc_budget(count.hosts))
    }

    fn count(&mut self, host: &'a Host, usable: bool) {
        self.pool(&host.home).home += 1;
        let pool = self.pool(&host.pool);
        pool.size += 1;
        if usable {
            pool.usable += 1;
            pool.slots += host.slots;
        }
        let dc = self.dc(&host.dc);
        dc.hosts += 1;
        dc.out += usize::from(!usable);
    }

    fn drain(&mut self, host: &'a Host) {
        let pool = self.pool(&host.pool);
        pool.usable -= 1;
        pool.slots -= host.slots;
        self.dc(&host.dc).out += 1;
    }

    fn plan(&mut self, host: &'a Host, goal: &'a UpkeepGoal) {
        match goal {
            UpkeepGoal::Maintain => {
                self.pool(&host.pool).racks.insert(&host.rack);
                self.maintained += 1;
            }
            UpkeepGoal::Move(to) => self.pool(to).coming += 1,
        }
    }

    fn pool(&mut self, pool: &'a PoolName) -> &mut PoolCount<'a> {
        self.pools.entry(pool).or_default()
    }

    fn dc(&mut self, dc: &'a DcName) -> &mut DcCount {
        self.dcs.entry(dc).or_default()
    }
}
