//! States of a chosen size, built by applying records.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use mimosastep::name::DcName;
use mimosastep::name::HostName;
use mimosastep::name::NodeName;
use mimosastep::name::PoolName;
use mimosastep::name::RackName;
use mimosastep::name::ServiceName;
use mimosastep::name::TeamName;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::HostRow;
use mimosastep::record::KeyHash;
use mimosastep::record::Member;
use mimosastep::record::PoolRow;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::TeamRow;

/// Slots per host.
pub const SLOTS: u32 = 8;
/// Hosts per rack.
const RACK_HOSTS: u32 = 40;

/// Size of a state.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of hosts in all pools.
    pub hosts: u32,
    /// Number of pools, each with a service of its own.
    pub pools: u32,
    /// Number of teams, each with one key.
    pub teams: u32,
    /// Number of data centres, over which hosts and members are spread.
    pub dcs: u32,
    /// Number of entry hosts, each with three processes.
    pub entries: u32,
}

impl Size {
    /// A small size, for measurements that vary a single field.
    pub const MIN: Self = Self {
        hosts: 8,
        pools: 1,
        teams: 1,
        dcs: 8,
        entries: 1,
    };
    /// The size that the design has to support, with the present number of entry hosts.
    pub const DESIGN: Self = Self {
        hosts: 4_400,
        pools: 20,
        teams: 130,
        dcs: 8,
        entries: 9,
    };

    /// Builds the state by applying [`Self::changes`].
    pub fn state(self) -> State {
        let mut state = State::default();
        for change in self.changes() {
            apply(&mut state, change);
        }
        state
    }

    /// Returns the changes that build the state, in order.
    pub fn changes(self) -> Vec<Change> {
        let mut changes = vec![self.table(), self.pool_rows()];
        changes.extend(
            (0..self.hosts)
                .step_by(500)
                .map(|from| self.host_rows(from)),
        );
        changes.extend((0..self.teams).map(|i| Change::GrantKey {
            team: team(i),
            hash: key(i),
        }));
        changes.extend((0..self.entries).flat_map(|i| self.join_changes(i)));
        changes
    }

    /// Returns the change that sets the table of teams.
    pub fn table(self) -> Change {
        let row = |i| TeamRow {
            team: team(i),
            weight: 1 + i % 4,
            limit: self.hosts * SLOTS,
            urgent: i % 2 == 0,
        };
        Change::Table((0..self.teams).map(row).collect())
    }

    fn pool_rows(self) -> Change {
        let row = |i| PoolRow {
            pool: PoolName::new(&format!("pool-{i:02}")).expect("valid name"),
            service: Some(service(i)),
            open: false,
            teams: Vec::new(),
            budget: 12,
        };
        Change::Pools((0..self.pools).map(row).collect())
    }

    fn host_rows(self, from: u32) -> Change {
        let row = |i: u32| HostRow {
            host: host(i),
            dc: self.dc(i),
            rack: RackName::new(&format!("rack-{:03}", i / RACK_HOSTS)).expect("valid name"),
            addr: addr(i),
            slots: SLOTS,
            pool: PoolName::new(&format!("pool-{:02}", i % self.pools)).expect("valid name"),
        };
        Change::Hosts((from..self.hosts.min(from + 500)).map(row).collect())
    }

    fn dc(self, i: u32) -> DcName {
        DcName::new(&format!("dc-{}", i % self.dcs)).expect("valid name")
    }

    fn join_changes(self, i: u32) -> impl Iterator<Item = Change> {
        let member = move |role| Change::Join {
            node: node(i, role),
            member: Member {
                role,
                incarnation: 1,
                addr: addr(1_000_000 + i),
                dc: self.dc(i),
                leaving: false,
            },
        };
        [Role::Fleet, Role::Sched, Role::Gate]
            .into_iter()
            .map(member)
    }
}

/// Applies `change` as the next record of the log.
pub fn apply(state: &mut State, change: Change) {
    let data = record(change).encode();
    let offset = state.offset;
    let outcome = state.apply(offset, &data);
    assert!(
        outcome.result().is_ok(),
        "the state should accept the change"
    );
}

/// Returns a record of `change` with a random id.
pub fn record(change: Change) -> Record {
    Record {
        id: RecordId::random(),
        base: None,
        author: Author::Operator("operator".to_owned()),
        at: 1_790_000_000_000,
        change,
    }
}

/// Name of host `i`.
pub fn host(i: u32) -> HostName {
    HostName::new(&format!("host-{i:05}")).expect("valid name")
}

/// Name of team `i`.
pub fn team(i: u32) -> TeamName {
    TeamName::new(&format!("team-{i:03}")).expect("valid name")
}

/// Name of service `i`.
pub fn service(i: u32) -> ServiceName {
    ServiceName::new(&format!("service-{i:02}")).expect("valid name")
}

/// Hash of the key of team `i`.
pub fn key(i: u32) -> KeyHash {
    KeyHash::of(format!("key-{i}").as_bytes())
}

/// Name of the process with `role` on entry host `i`.
pub fn node(i: u32, role: Role) -> NodeName {
    NodeName::new(&format!("entry-{i:03}-{role:?}").to_lowercase()).expect("valid name")
}

/// Address `i` of the network 10.0.0.0/8.
pub fn addr(i: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + i), 7_100))
}
