//! Measures what the state costs at the design size: folds, clones, snapshots.

use std::rc::Rc;
use std::time::Instant;

use mimosastep::name::HostName;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::HostRow;
use mimosastep::record::MAX_RECENT_IDS;
use mimosastep::record::Member;
use mimosastep::record::PoolRow;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::TeamRow;

const HOSTS: usize = 4_400;
const TEAMS: usize = 130;
const POOLS: usize = 20;
const MEMBERS: usize = 120;
const ROUNDS: usize = 200;

fn main() {
    let mut state = design();
    println!("{:<44} {:>10} {:>10}", "operation", "p50 us", "max us");
    print("clone", || drop(state.clone()));
    print("snapshot", || drop(state.snapshot()));
    let bytes = state.snapshot();
    print("read a snapshot", || drop(State::open_snapshot(&bytes)));
    println!("{:<44} {:>10}", "size of a snapshot, bytes", bytes.len());
    let alone = |state: &mut State, change: Change| {
        let data = encode(state.offset, change);
        let _ = state.apply(state.offset, &data);
    };
    let mut flip = false;
    print("fold of a mark, alone", || {
        flip = !flip;
        alone(&mut state, mark(flip));
    });
    print("fold of a drain and its end, alone", || {
        alone(&mut state, Change::Drain(host(1)));
        alone(&mut state, end_drain());
    });
    let mut shared = Rc::new(state);
    print("fold of a drain, with a subscriber's copy", || {
        let _copy = Rc::clone(&shared);
        alone(Rc::make_mut(&mut shared), Change::Drain(host(1)));
        alone(Rc::make_mut(&mut shared), end_drain());
    });
}

fn print(what: &str, mut run: impl FnMut()) {
    let mut micros: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    micros.sort_by(f64::total_cmp);
    let (half, last) = (micros[ROUNDS / 2], micros[ROUNDS - 1]);
    println!("{what:<44} {half:>10.1} {last:>10.1}");
}

fn design() -> State {
    let mut state = State::default();
    let mut put = |change| {
        let data = encode(state.offset, change);
        state
            .apply(state.offset, &data)
            .result()
            .expect("a valid change");
    };
    put(Change::Table((0..TEAMS).map(team).collect()));
    put(Change::Pools((0..POOLS).map(pool).collect()));
    put(Change::Hosts((0..HOSTS).map(row).collect()));
    for member in 0..MEMBERS {
        put(join(member));
    }
    for _ in 0..MAX_RECENT_IDS / 2 {
        put(Change::Drain(host(1)));
        put(end_drain());
    }
    state
}

fn encode(offset: u64, change: Change) -> Vec<u8> {
    let record = Record {
        id: RecordId(u128::MAX - u128::from(offset)),
        base: None,
        author: Author::Operator("operator".to_owned()),
        at: 0,
        change,
    };
    record.encode()
}

fn named<N: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, number: usize) -> N {
    format!("{kind}-{number}").parse().expect("a name")
}

fn host(number: usize) -> HostName {
    named("host", number)
}

fn end_drain() -> Change {
    Change::Undrain {
        host: host(1),
        maintained: None,
    }
}

fn mark(active: bool) -> Change {
    Change::MarkHost {
        host: host(2),
        active,
    }
}

fn team(number: usize) -> TeamRow {
    TeamRow {
        team: named("team", number),
        weight: 1,
        limit: 100,
        urgent: false,
    }
}

fn pool(number: usize) -> PoolRow {
    PoolRow {
        pool: named("pool", number),
        service: Some(named("service", number)),
        open: false,
        teams: Vec::new(),
        budget: 20,
    }
}

fn row(number: usize) -> HostRow {
    let [high, low] = [number / 250, number % 250].map(|part| part as u8);
    HostRow {
        host: host(number),
        dc: named("dc", number % 3),
        rack: named("rack", number / 4),
        addr: ([10, 0, high, low], 80).into(),
        slots: 8,
        pool: named("pool", number % POOLS),
    }
}

fn join(number: usize) -> Change {
    let role = [Role::Gate, Role::Sched, Role::Fleet][number % 3];
    Change::Join {
        node: named("node", number),
        member: Member {
            role,
            incarnation: 1,
            addr: ([10, 1, 0, number as u8], 1).into(),
            dc: named("dc", number % 3),
            leaving: false,
        },
    }
}
