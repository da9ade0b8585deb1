//! Size of a snapshot of the state, and the time to apply records, to write and read snapshots, to
//! look up record ids and placements, and to process probe replies.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::member::Freshness;
use mimosastep::member::FreshnessEvent;
use mimosastep::member::Replica;
use mimosastep::member::Voter;
use mimosastep::member::Voters;
use mimosastep::member::place;
use mimosastep::record::Change;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::wire::Hello;

use crate::fit::Slope;
use crate::fleet::Size;
use crate::fleet::addr;
use crate::fleet::apply;
use crate::fleet::host;
use crate::fleet::node;
use crate::fleet::record;
use crate::micros;

const HOSTS: [u32; 5] = [550, 1_100, 2_200, 4_400, 8_800];
const TEAMS: [u32; 4] = [33, 65, 130, 260];
const POOLS: [u32; 4] = [5, 10, 20, 40];
const ENTRIES: [u32; 5] = [9, 18, 36, 72, 144];
const RECORDS: [u32; 4] = [512, 1_024, 2_048, 4_096];

/// Measures the slopes of the state's size, in bytes, and of operations on it, in microseconds.
pub fn slopes() -> Vec<Slope> {
    let bytes = |size: Size| size.state().snapshot().len() as f64;
    let min = Size::MIN;
    let with_hosts = |hosts| Size {
        hosts,
        ..Size::DESIGN
    };
    vec![
        Slope::measure("snapshot, bytes", "hosts", &HOSTS, |hosts| {
            bytes(Size { hosts, ..min })
        }),
        Slope::measure("snapshot, bytes", "teams with a key", &TEAMS, |teams| {
            bytes(Size { teams, ..min })
        }),
        Slope::measure("snapshot, bytes", "pools", &POOLS, |pools| {
            bytes(Size {
                pools,
                hosts: 40,
                ..min
            })
        }),
        Slope::measure(
            "snapshot, bytes",
            "entry hosts (3 members)",
            &ENTRIES,
            |entries| bytes(Size { entries, ..min }),
        ),
        Slope::measure(
            "snapshot, bytes",
            "records remembered",
            &RECORDS,
            |records| {
                let mut state = min.state();
                apply_marks(&mut state, records);
                state.snapshot().len() as f64
            },
        ),
        Slope::measure(
            "fold of a mark, µs, state not shared",
            "hosts",
            &HOSTS,
            |hosts| {
                let mut state = with_hosts(hosts).state();
                let mut active = false;
                micros(|| {
                    apply(&mut state, mark_change(0, active));
                    active = !active;
                })
            },
        ),
        Slope::measure(
            "fold of a mark, µs, readers hold the last state",
            "hosts",
            &HOSTS,
            |hosts| {
                let mut replica = replica(&with_hosts(hosts).state());
                let mut active = false;
                micros(|| {
                    let reader = Rc::clone(replica.state());
                    let data = record(mark_change(0, active)).encode();
                    replica.apply(Instant::now(), [(reader.offset, data)]);
                    active = !active;
                    reader
                })
            },
        ),
        Slope::measure("fold of a table, µs", "teams", &TEAMS, |teams| {
            let size = Size {
                teams,
                ..Size::DESIGN
            };
            let mut state = size.state();
            micros(|| apply(&mut state, size.table()))
        }),
        Slope::measure("snapshot taken, µs", "hosts", &HOSTS, |hosts| {
            let state = with_hosts(hosts).state();
            micros(|| state.snapshot())
        }),
        Slope::measure("snapshot read, µs", "hosts", &HOSTS, |hosts| {
            let state = with_hosts(hosts).state();
            let bytes = state.snapshot();
            micros(|| State::from_snapshot(state.offset, &bytes))
        }),
        Slope::measure(
            "search of an unknown id, µs",
            "records remembered",
            &RECORDS,
            |records| {
                let mut state = min.state();
                apply_marks(&mut state, records);
                let id = record(mark_change(0, true)).id;
                micros(|| state.recent.find(id).is_some())
            },
        ),
        Slope::measure(
            "answer to a probe taken in, µs",
            "fleet members",
            &ENTRIES,
            freshness,
        ),
        Slope::measure(
            "placement of a service, µs",
            "schedulers",
            &ENTRIES,
            |entries| {
                let state = Size { entries, ..min }.state();
                micros(|| place(&state, Role::Sched, b"service-00").is_some())
            },
        ),
    ]
}

/// Returns a replica that holds `state`.
pub fn replica(state: &State) -> Replica {
    let mut replica = Replica::new(
        Instant::now(),
        hello(0),
        Voters::new([addr(0)], Some(addr(0))),
    );
    replica
        .install_snapshot(Instant::now(), state.offset, &state.snapshot())
        .expect("valid snapshot");
    replica
}

fn hello(i: u32) -> Hello {
    Hello {
        node: node(i, Role::Fleet),
        incarnation: 1,
        role: Role::Fleet,
    }
}

/// Applies `records` changes of a host's mark.
fn apply_marks(state: &mut State, records: u32) {
    (0..records).for_each(|i| apply(state, mark_change(0, i % 2 == 0)));
}

fn mark_change(i: u32, active: bool) -> Change {
    Change::MarkHost {
        host: host(i),
        active,
    }
}

/// Measures the time to process a probe reply, with a given number of voters.
fn freshness(voters: u32) -> f64 {
    let now = Instant::now();
    let all = Voters::new((0..voters).map(addr), Some(addr(0)));
    let mut freshness = Freshness::new(now, all);
    let applied = FreshnessEvent::RecordApplied { offset: 1 };
    freshness.observe(now, applied);
    let voters: Vec<Voter> = (1..voters)
        .map(|i| Voter::new(addr(i), &hello(i)))
        .collect();
    let mut replies = 0;
    micros(|| {
        replies += 1;
        let reply = FreshnessEvent::ProbeReply {
            by: Some(voters[replies % voters.len()].clone()),
            asked: now,
            offset: 1,
            age: Some(Duration::from_millis(100)),
        };
        freshness.observe(now, reply);
        freshness.fresh_until()
    })
}
