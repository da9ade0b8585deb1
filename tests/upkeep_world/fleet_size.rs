//! Sizes of fleets.

use mimosastep::record::Change;
use mimosastep::record::HostRow;
use mimosastep::record::Member;
use mimosastep::record::PoolRow;
use mimosastep::record::Role;

use super::name;

/// Number of hosts in a rack.
const RACK: usize = 4;

/// Size of a fleet; `hosts` and `budget` are for each pool, `slots` for each host.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    pub pools: usize,
    pub hosts: usize,
    pub spares: usize,
    pub dcs: usize,
    pub slots: u32,
    pub budget: u32,
    pub scheds: usize,
}

impl FleetSize {
    /// Fleet size of a present user.
    pub const CURRENT: Self = Self {
        pools: 5,
        hosts: 10,
        spares: 8,
        dcs: 3,
        slots: 8,
        budget: 4,
        scheds: 3,
    };
    /// The size that the design has to support: 4,400 hosts in 20 pools, 400 of them spare.
    pub const TARGET: Self = Self {
        pools: 19,
        hosts: 210,
        spares: 410,
        dcs: 8,
        slots: 8,
        budget: 42,
        scheds: 9,
    };

    /// Number of hosts, spare ones included.
    pub const fn total(&self) -> usize {
        self.pools * self.hosts + self.spares
    }

    /// Returns the changes that set up the fleet.
    pub fn changes(&self) -> Vec<Change> {
        let mut rows: Vec<PoolRow> = (0..self.pools)
            .map(|pool| row(&format!("p{pool}"), true, self.budget))
            .collect();
        rows.push(row("spare", false, self.spares as u32));
        let mut changes = vec![Change::Pools(rows)];
        changes.push(Change::Hosts(
            (0..self.total()).map(|index| self.host(index)).collect(),
        ));
        changes.extend((0..self.scheds).map(|index| Change::Join {
            node: name(&format!("s{index}")),
            member: Member {
                role: Role::Sched,
                incarnation: 1,
                addr: ([127, 0, 0, 1], 1).into(),
                dc: name("dc0"),
                leaving: false,
            },
        }));
        changes
    }

    fn host(&self, index: usize) -> HostRow {
        let pool = index / self.hosts;
        let pool = if pool < self.pools {
            format!("p{pool}")
        } else {
            "spare".to_owned()
        };
        let dc = index % self.dcs;
        let rack = index / self.dcs / RACK;
        HostRow {
            host: name(&format!("h{index}")),
            dc: name(&format!("dc{dc}")),
            rack: name(&format!("dc{dc}-{rack}")),
            addr: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
            slots: self.slots,
            pool: name(&pool),
        }
    }
}

fn row(pool: &str, serves: bool, budget: u32) -> PoolRow {
    PoolRow {
        pool: name(pool),
        service: serves.then(|| name(pool)),
        open: false,
        teams: Vec::new(),
        budget,
    }
}
