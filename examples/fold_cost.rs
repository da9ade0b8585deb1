//! Measures the time to apply records to the state, to clone it, and to write and read snapshots,
//! at the size that the design has to support.

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
/// Number of times that each operation is measured.
const ROUNDS: usize = 200;

fn main() {
    let mut state = design_state();
    println!("{:<44} {:>10} {:>10}", "operation", "p50 us", "max us");
    print_times("clone", || drop(state.clone()));
    print_times("snapshot", || drop(state.snapshot()));
    let bytes = state.snapshot();
    print_times("read a snapshot", || drop(State::open_snapshot(&bytes)));
    println!("{:<44} {:>10}", "size of a snapshot, bytes", bytes.len());
    let apply_change = |state: &mut State, change: Change| {
        let data = encode(state.offset, change);
        let _ = state.apply(state.offset, &data);
    };
    let mut active = false;
    print_times("fold of a mark, alone", || {
        active = !active;
        apply_change(&mut state, mark_change(active));
    });
    print_times("fold of a drain and its end, alone", || {
        apply_change(&mut state, Change::Drain(host(1)));
        apply_change(&mut state, undrain_change());
    });
    let mut shared = Rc::new(state);
    print_times("fold of a drain, with a subscriber's copy", || {
        let _copy = Rc::clone(&shared);
        apply_change(Rc::make_mut(&mut shared), Change::Drain(host(1)));
        apply_change(Rc::make_mut(&mut shared), undrain_change());
    });
}

fn print_times(operation: &str, mut run: impl FnMut()) {
    let mut micros: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    micros.sort_by(f64::total_cmp);
    let (median, max) = (micros[ROUNDS / 2], micros[ROUNDS - 1]);
    println!("{operation:<44} {median:>10.1} {max:>10.1}");
}

fn design_state() -> State {
    let mut state = State::default();
    let mut append = |change| {
        let data = encode(state.offset, change);
        state
            .apply(state.offset, &data)
            .result()
            .expect("change accepted by the state");
    };
    append(Change::Table((0..TEAMS).map(team_row).collect()));
    append(Change::Pools((0..POOLS).map(pool_row).collect()));
    append(Change::Hosts((0..HOSTS).map(host_row).collect()));
    for member in 0..MEMBERS {
        append(join_change(member));
    }
    for _ in 0..MAX_RECENT_IDS / 2 {
        append(Change::Drain(host(1)));
        append(undrain_change());
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

fn numbered_name<N: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, number: usize) -> N {
    format!("{kind}-{number}").parse().expect("valid name")
}

fn host(number: usize) -> HostName {
    numbered_name("host", number)
}

fn undrain_change() -> Change {
    Change::Undrain {
        host: host(1),
        maintained: None,
    }
}

fn mark_change(active: bool) -> Change {
    Change::MarkHost {
        host: host(2),
        active,
    }
}

fn team_row(number: usize) -> TeamRow {
    TeamRow {
        team: numbered_name("team", number),
        weight: 1,
        limit: 100,
        urgent: false,
    }
}

fn pool_row(number: usize) -> PoolRow {
    PoolRow {
        pool: numbered_name("pool", number),
        service: Some(numbered_name("service", number)),
        open: false,
        teams: Vec::new(),
        budget: 20,
    }
}

fn host_row(number: usize) -> HostRow {
    let [high, low] = [number / 250, number % 250].map(|part| part as u8);
    HostRow {
        host: host(number),
        dc: numbered_name("dc", number % 3),
        rack: numbered_name("rack", number / 4),
        addr: ([10, 0, high, low], 80).into(),
        slots: 8,
        pool: numbered_name("pool", number % POOLS),
    }
}

fn join_change(number: usize) -> Change {
    let role = [Role::Gate, Role::Sched, Role::Fleet][number % 3];
    Change::Join {
        node: numbered_name("node", number),
        member: Member {
            role,
            incarnation: 1,
            addr: ([10, 1, 0, number as u8], 1).into(),
            dc: numbered_name("dc", number % 3),
            leaving: false,
        },
    }
}
