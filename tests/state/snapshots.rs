//! Processes start from snapshots despite log failures, expired records and concurrent writers.

use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use compio::time::sleep;
use futures_util::future::join;
use mimosastep::member::ChangeError;
use mimosastep::member::Replica;
use mimosastep::member::SNAPSHOT_INTERVAL;
use mimosastep::member::Voters;
use mimosastep::record::Change;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::wire::Hello;
use mimosastep::wire::Message;
use test_case::test_case;

use crate::fake_log::FakeLog;
use crate::fake_log::Mode;
use crate::test_fleet::addr;
use crate::test_fleet::is_fresh;
use crate::test_fleet::join as joined;
use crate::test_fleet::record;
use crate::test_fleet::spawn_process;
use crate::test_fleet::start_fleet;
use crate::test_fleet::table;
use crate::test_fleet::wait_until;

/// Appends `count` records: at each offset of `snapshots` a snapshot of the state so far, at all
/// others a table.
fn fill(log: &FakeLog, state: &mut State, count: u64, snapshots: &[u64]) {
    for _ in 0..count {
        let offset = state.offset;
        let change = if snapshots.contains(&offset) {
            Change::Snapshot(state.snapshot())
        } else {
            table(offset as u32 + 1)
        };
        put(log, state, change);
    }
}

fn put(log: &FakeLog, state: &mut State, change: Change) {
    let data = record(1000 + u128::from(state.offset), change).encode();
    let _ = state.apply(state.offset, &data);
    log.put(data);
}

#[compio::test]
async fn a_snapshot_counts_while_records_keep_coming() {
    let log = FakeLog::start();
    let fleet = start_fleet(&log).await;
    log.set_mode(Mode::Slow);
    for id in 100..2200 {
        log.put(record(id, table(1)).encode());
    }
    let busy = log.clone();
    let traffic = spawn(async move {
        for id in 10_000.. {
            busy.put(record(id, table(1)).encode());
            sleep(Duration::from_millis(3)).await;
        }
    });
    wait_until("snapshot", || {
        fleet[1].follower.state().snapshot_offset > 2000
    })
    .await;
    drop(traffic);
    log.expire(1500);
    let late = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("fresh", || is_fresh(&late)).await;
    wait_until("equal", || {
        late.follower.state() == fleet[1].follower.state()
    })
    .await;
}

#[compio::test]
async fn a_process_catches_up_when_its_next_records_have_expired() {
    let log = FakeLog::start();
    let mut state = State::default();
    fill(&log, &mut state, 10, &[]);
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("following", || gate.follower.state().offset == 10).await;
    log.set_mode(Mode::Down);
    fill(&log, &mut state, 690, &[650]);
    log.expire(600);
    log.set_mode(Mode::Up);
    wait_until("caught up", || gate.follower.state().offset == 700).await;
    assert_eq!(*gate.follower.state(), state);
    wait_until("fresh", || is_fresh(&gate)).await;
}

#[compio::test]
async fn a_snapshot_that_did_not_count_is_passed_over() {
    let log = FakeLog::start();
    let mut state = State::default();
    fill(&log, &mut state, 20, &[]);
    let overtaken = Change::Snapshot(state.snapshot());
    fill(&log, &mut state, 1, &[]);
    put(&log, &mut state, overtaken);
    put(&log, &mut state, Change::Snapshot(vec![1; 100]));
    assert_eq!(state.snapshot_offset, 0);
    fill(&log, &mut state, 20, &[30]);
    log.expire(15);
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("fresh", || is_fresh(&gate)).await;
    assert_eq!(*gate.follower.state(), state);
}

#[compio::test]
async fn two_writers_of_snapshots_do_no_harm() {
    let log = FakeLog::start();
    let fleet = start_fleet(&log).await;
    let [one, two] = [0, 1].map(|of| &fleet[of].follower);
    let snapshot = Change::Snapshot(one.state().snapshot());
    let (a, b) = join(
        one.append(None, snapshot.clone()),
        two.append(None, snapshot),
    )
    .await;
    let outcomes = [a, b].map(|applied| applied.unwrap().outcome.result().is_ok());
    assert_eq!(outcomes.iter().filter(|taken| **taken).count(), 1);
    log.expire(3);
    let late = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("fresh", || is_fresh(&late)).await;
    assert_eq!(*late.follower.state(), *fleet[2].follower.state());
}

#[compio::test]
async fn a_record_too_large_for_a_message_is_not_appended() {
    let log = FakeLog::start();
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    let large = Change::Snapshot(vec![0; 4 << 20]);
    let result = gate.follower.append(None, large).await;
    assert!(matches!(result, Err(ChangeError::NotAppended(_))));
    assert_eq!(log.append_requests(), 0);
}

fn replica(start: Instant) -> Replica {
    let (node, role) = ("f1".parse().expect("a name"), Role::Fleet);
    let me = Hello {
        node,
        incarnation: 1,
        role,
    };
    Replica::new(start, me, Voters::new([addr("f1")], Some(addr("f1"))))
}

#[test_case(0, Duration::from_secs(1), 0, false; "at once")]
#[test_case(0, SNAPSHOT_INTERVAL, 0, true; "after a quiet time")]
#[test_case(0, Duration::from_secs(1), 1, true; "once the last has expired")]
#[test_case(2100, Duration::from_secs(1), 0, true; "after many records")]
fn a_snapshot_is_due(records: u64, after: Duration, first: u64, due: bool) {
    let start = Instant::now();
    let mut replica = replica(start);
    replica.apply(start, [(0, record(1, joined("f1", Role::Fleet)).encode())]);
    replica.apply(start, (1..=records).map(|offset| (offset, Vec::new())));
    let now = start + after;
    replica.observe_head(now, now, records + 1);
    replica.set_log_start(first);
    assert_eq!(replica.is_snapshot_due(now), due);
    let snapshot = Change::Snapshot(replica.next_snapshot());
    replica.apply(now, [(records + 1, record(2, snapshot).encode())]);
    assert_eq!(replica.state().snapshot_offset, records + 1);
    assert!(!replica.is_snapshot_due(now));
}

#[test]
fn of_the_peers_states_the_one_with_the_highest_offset_stays() {
    let (log, start) = (FakeLog::start(), Instant::now());
    let mut states = [State::default(), State::default(), State::default()];
    for (state, count) in states.iter_mut().zip([5, 9, 7]) {
        fill(&log, state, count, &[]);
    }
    let mut replica = replica(start);
    for state in &states {
        replica
            .install_snapshot(start, state.offset, &state.snapshot())
            .unwrap();
    }
    assert_eq!(**replica.state(), states[1]);
    let answer = replica.fetch_reply(0);
    assert!(matches!(answer, Message::Snapshot { offset: 9, .. }));
}
