//! Followers read the log and their peers, and resolve appends whose replies were lost.

use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;
use mimosastep::log::AppendError;
use mimosastep::log::LogClient;
use mimosastep::log::ReadError;
use mimosastep::member::AppliedChange;
use mimosastep::member::ChangeError;
use mimosastep::member::StateEvent;
use mimosastep::record::Change;
use mimosastep::record::Outcome;
use mimosastep::record::RecordId;
use mimosastep::record::Rejection;
use mimosastep::record::Role;
use mimosastep::record::State;
use test_case::test_case;

use crate::fake_log::FakeLog;
use crate::fake_log::Mode;
use crate::test_fleet::connect;
use crate::test_fleet::is_fresh;
use crate::test_fleet::record;
use crate::test_fleet::spawn_process;
use crate::test_fleet::start_fleet;
use crate::test_fleet::table;
use crate::test_fleet::wait_until;

fn short_deadline() -> Instant {
    Instant::now() + Duration::from_millis(400)
}

#[compio::test]
async fn an_append_is_told_apart_by_what_it_may_have_done() {
    let log = FakeLog::start();
    let client = LogClient::new(&log.url()).unwrap();
    assert_eq!(client.append(b"a".to_vec(), short_deadline()).await, Ok(0));
    for (mode, unknown) in [
        (Mode::Down, false),
        (Mode::LoseReply, true),
        (Mode::LoseRequest, true),
        (Mode::Hang, true),
    ] {
        log.set_mode(mode);
        let err = client
            .append(b"b".to_vec(), short_deadline())
            .await
            .unwrap_err();
        assert_eq!(matches!(err, AppendError::Unknown(_)), unknown, "{mode:?}");
    }
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let client = LogClient::new(&format!("http://{closed}")).unwrap();
    let err = client
        .append(b"b".to_vec(), short_deadline())
        .await
        .unwrap_err();
    assert!(matches!(err, AppendError::NotAppended(_)), "{err}");
}

#[compio::test]
async fn a_read_gives_records_or_says_where_they_start() {
    let log = FakeLog::start();
    for byte in 0..5 {
        log.put(vec![byte]);
    }
    let client = LogClient::new(&log.url()).unwrap();
    let page = client
        .read(2, 2, Duration::ZERO, short_deadline())
        .await
        .unwrap();
    let offsets: Vec<_> = page.entries.iter().map(|entry| entry.offset).collect();
    assert_eq!((page.first, page.head, offsets), (0, 5, vec![2, 3]));
    assert_eq!(page.entries[1].data, [3]);
    log.expire(4);
    let gone = client.read(2, 2, Duration::ZERO, short_deadline()).await;
    assert_eq!(gone, Err(ReadError::Gone(4, 5)));
    log.set_mode(Mode::Down);
    let down = client.read(4, 2, Duration::ZERO, short_deadline()).await;
    assert!(matches!(down, Err(ReadError::Unavailable(_))));
}

#[test_case(Mode::Up; "answered")]
#[test_case(Mode::LoseReply; "answer lost")]
#[test_case(Mode::Hang; "answer hangs")]
fn an_append_that_took_effect_is_found(mode: Mode) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let log = FakeLog::start();
        let fleet = start_fleet(&log).await;
        log.set_mode(mode);
        let applied = fleet[0].follower.append(Some(0), table(7)).await.unwrap();
        let outcome = Outcome::Accepted { revision: 1 };
        let in_force = true;
        assert_eq!(applied, AppliedChange { outcome, in_force });
        assert_eq!(
            log.append_requests(),
            1,
            "an append of unknown outcome is not repeated"
        );
        wait_until("folded", || {
            fleet.iter().all(|f| f.follower.state().revision == 1)
        })
        .await;
    });
}

#[compio::test]
async fn an_append_that_took_no_effect_is_unknown_or_refused() {
    let log = FakeLog::start();
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("fresh", || is_fresh(&gate)).await;
    log.set_mode(Mode::LoseRequest);
    let lost = record(9, table(1));
    let result = gate.follower.append_record(lost.clone()).await;
    assert_eq!(result, Err(ChangeError::Unknown(RecordId(9))));
    log.set_mode(Mode::Down);
    let result = gate.follower.append_record(lost.clone()).await;
    assert!(matches!(result, Err(ChangeError::NotAppended(_))));
    log.set_mode(Mode::Up);
    let applied = gate.follower.append_record(lost.clone()).await.unwrap();
    assert_eq!(applied.outcome, Outcome::Accepted { revision: 1 });
    assert!(
        !applied.in_force,
        "no fleet process runs that could confirm it"
    );
    let again = gate.follower.append_record(lost).await.unwrap();
    let (offset, first) = (0, Ok(1));
    assert_eq!(again.outcome, Outcome::Repeated { offset, first });
    assert_eq!(log.append_requests(), 2);
}

#[compio::test]
async fn a_rejected_change_says_why() {
    let log = FakeLog::start();
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    let applied = gate.follower.append(Some(5), table(1)).await.unwrap();
    let outcome = Outcome::Rejected(Rejection::StaleBase(0));
    let in_force = false;
    assert_eq!(applied, AppliedChange { outcome, in_force });
}

#[compio::test]
async fn with_the_log_down_a_majority_keeps_processes_fresh() {
    let log = FakeLog::start();
    let fleet = start_fleet(&log).await;
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    let isolated = spawn_process(&log.url(), "g2", Role::Gate);
    connect(&gate, &fleet[0], 11);
    connect(&gate, &fleet[1], 12);
    connect(&isolated, &fleet[2], 13);
    wait_until("fresh", || is_fresh(&gate) && is_fresh(&isolated)).await;
    log.set_mode(Mode::Down);
    sleep(Duration::from_millis(4500)).await;
    assert!(is_fresh(&gate), "two of three voters reply");
    assert!(fleet.iter().all(is_fresh));
    assert!(!is_fresh(&isolated), "one of three voters replies");
}

#[compio::test]
async fn a_process_without_the_log_gets_the_state_from_its_peers() {
    let log = FakeLog::start();
    let fleet = start_fleet(&log).await;
    let gate = spawn_process("http://127.0.0.1:1", "g1", Role::Gate);
    let mut events = gate.follower.subscribe();
    connect(&gate, &fleet[0], 11);
    wait_until("caught up", || gate.follower.state().offset == 3).await;
    wait_until("fresh", || is_fresh(&gate)).await;
    fleet[0].follower.append(None, table(3)).await.unwrap();
    wait_until("follows", || gate.follower.state().revision == 1).await;
    let (mut states, mut deadlines) = (0, 0);
    while let Ok(event) = events.try_recv() {
        match event {
            StateEvent::State(_) => states += 1,
            StateEvent::Fresh(_) => deadlines += 1,
        }
    }
    assert!(states >= 3 && deadlines >= 1, "{states} {deadlines}");
}

#[compio::test]
async fn a_fresh_process_starts_at_a_snapshot() {
    let log = FakeLog::start();
    let mut state = State::default();
    for (offset, weight) in (0..700).zip(1..) {
        let snapshot = offset == 650;
        let change = if snapshot {
            Change::Snapshot(state.snapshot())
        } else {
            table(weight)
        };
        let data = record(offset.into(), change).encode();
        let _ = state.apply(offset, &data);
        log.put(data);
    }
    log.expire(100);
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("fresh", || is_fresh(&gate)).await;
    assert_eq!(*gate.follower.state(), state);
}

#[compio::test]
async fn the_first_fleet_member_appends_snapshots() {
    let log = FakeLog::start();
    let fleet = start_fleet(&log).await;
    for id in 100..2200 {
        log.put(record(id, table(1)).encode());
    }
    wait_until("snapshot", || {
        fleet
            .iter()
            .all(|f| f.follower.state().snapshot_offset > 2000)
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(log.append_requests(), 1);
    log.expire(2050);
    let late = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("fresh", || is_fresh(&late)).await;
    assert_eq!(*late.follower.state(), *fleet[1].follower.state());
}
