//! Sample states and changes.

use mimosastep::name::DcName;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::HostRow;
use mimosastep::record::Member;
use mimosastep::record::PoolRow;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Rejection;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::TeamRow;

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

pub fn record(id: u128, base: Option<u64>, change: Change) -> Vec<u8> {
    let record = Record {
        id: RecordId(id),
        base,
        author: Author::Operator("test".to_owned()),
        at: 0,
        change,
    };
    record.encode()
}

pub fn apply_change(state: &mut State, change: Change) -> Result<u64, Rejection> {
    let id = 1_000_000 + u128::from(state.offset);
    state
        .apply(state.offset, &record(id, None, change))
        .result()
}

pub fn table(team: &str, weight: u32) -> Change {
    Change::Table(vec![row(team, weight)])
}

pub fn row(team: &str, weight: u32) -> TeamRow {
    TeamRow {
        team: name(team),
        weight,
        limit: 10,
        urgent: false,
    }
}

pub fn pool(pool: &str, budget: u32) -> PoolRow {
    PoolRow {
        pool: name(pool),
        service: Some(name("jobs")),
        open: false,
        teams: Vec::new(),
        budget,
    }
}

pub fn host(number: u8, pool: &str) -> HostRow {
    HostRow {
        host: name(&format!("h{number}")),
        dc: name(["a", "b"][usize::from(number % 2)]),
        rack: name("r"),
        addr: ([10, 0, 0, number], 80).into(),
        slots: 2,
        pool: name(pool),
    }
}

pub fn member(role: Role, incarnation: u64) -> Member {
    Member {
        role,
        incarnation,
        addr: ([127, 0, 0, 1], 1).into(),
        dc: name("a"),
        leaving: false,
    }
}

pub fn join(state: &mut State, node: &str, role: Role, incarnation: u64) -> Result<u64, Rejection> {
    let member = member(role, incarnation);
    apply_change(
        state,
        Change::Join {
            node: name(node),
            member,
        },
    )
}

pub fn suspect(state: &mut State, node: &str, by: &str) -> Result<u64, Rejection> {
    let (node, by) = (name(node), name(by));
    apply_change(
        state,
        Change::Suspect {
            node,
            incarnation: 1,
            by,
        },
    )
}

pub fn move_host(from: &str, to: &str) -> Change {
    Change::Move {
        host: name("h0"),
        from: name(from),
        to: name(to),
    }
}

/// Teams x and y, pools p, q and r with a budget of 2, hosts h0 to h3 in p.
pub fn populated_state() -> State {
    let mut state = State::default();
    let rows = vec![row("x", 1), row("y", 2)];
    apply_change(&mut state, Change::Table(rows)).unwrap();
    let pools = ["p", "q", "r"].map(|name| pool(name, 2));
    apply_change(&mut state, Change::Pools(pools.into())).unwrap();
    let hosts = (0..4).map(|number| host(number, "p")).collect();
    apply_change(&mut state, Change::Hosts(hosts)).unwrap();
    state
}

pub fn state_with_members() -> State {
    let mut state = populated_state();
    for node in ["f1", "f2", "f3"] {
        join(&mut state, node, Role::Fleet, 1).unwrap();
    }
    join(&mut state, "g1", Role::Gate, 1).unwrap();
    state
}

pub fn mark_dc_out(dc: &str) -> Change {
    let dc: DcName = name(dc);
    Change::MarkDc { dc, active: false }
}

pub fn mark_host_out(host: &str) -> Change {
    let host = name(host);
    Change::MarkHost {
        host,
        active: false,
    }
}
