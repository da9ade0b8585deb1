//! The fleet state that the simulated processes share.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use mimosastep::name::DcName;
use mimosastep::name::HostName;
use mimosastep::name::NodeName;
use mimosastep::record::Host;
use mimosastep::record::KeyHash;
use mimosastep::record::Member;
use mimosastep::record::Pool;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::Team;
use mimosastep::wire::Peer;

/// Names of the services.
pub const SERVICES: [&str; 2] = ["labels", "prices"];
/// Names of the teams; the name of a team is also its API key.
pub const TEAMS: [&str; 3] = ["museum", "plaques", "beads"];
/// Number of hosts of each service.
pub const HOSTS: u8 = 6;
/// Slots of each host.
pub const SLOTS: u32 = 4;
/// Number of schedulers, and of gates.
pub const PROCESSES: usize = 3;

/// Returns the node name of a gate or scheduler.
pub fn node(role: Role, index: usize) -> NodeName {
    let role = if role == Role::Gate { "gate" } else { "sched" };
    format!("{role}-{index}").parse().expect("a name")
}

/// Returns the first incarnation of a gate or scheduler.
pub fn peer(role: Role, index: usize) -> Peer {
    Peer {
        node: node(role, index),
        incarnation: 1,
    }
}

/// Returns the name of a data centre.
pub fn dc(index: u8) -> DcName {
    format!("dc-{index}").parse().expect("a name")
}

/// Returns the address of a backend server.
pub fn addr(service: usize, index: u8) -> SocketAddr {
    ([127, 0, service as u8, index], 80).into()
}

/// Returns a state in which every data centre and host is in service.
pub fn state() -> State {
    let mut state = State {
        // Each process has joined once and none was removed.
        epoch: 2 * PROCESSES as u64,
        ..State::default()
    };
    for team in TEAMS {
        let row = Team {
            weight: 1,
            limit: 1_000,
            urgent: false,
        };
        state.teams.insert(team.parse().expect("a name"), row);
        let name = team.parse().expect("a name");
        state.keys.insert(KeyHash::of(team.as_bytes()), name);
    }
    state.dcs = (0..3).map(|index| (dc(index), true)).collect();
    for (number, service) in SERVICES.iter().enumerate() {
        let pool = Pool {
            service: Some(service.parse().expect("a name")),
            open: false,
            teams: BTreeSet::new(),
            budget: 2,
        };
        state.pools.insert(service.parse().expect("a name"), pool);
        for index in 0..HOSTS {
            let host = Host {
                dc: dc(index % 3),
                rack: "r".parse().expect("a name"),
                addr: addr(number, index),
                slots: SLOTS,
                pool: service.parse().expect("a name"),
                active: true,
                draining: false,
                maintained: 0,
                home: service.parse().expect("a name"),
                leaving: false,
                listed: 0,
                upkeep: None,
            };
            let name: HostName = format!("{service}-{index}").parse().expect("a name");
            state.hosts.insert(name, host);
        }
    }
    for (role, index) in [Role::Gate, Role::Sched]
        .into_iter()
        .flat_map(|role| (0..PROCESSES).map(move |index| (role, index)))
    {
        let member = Member {
            role,
            incarnation: 1,
            addr: ([127, 1, 0, index as u8], 1).into(),
            dc: dc(index as u8),
            leaving: false,
        };
        state.members.insert(node(role, index), member);
        state.incarnations.insert(node(role, index), 1);
    }
    state
}
