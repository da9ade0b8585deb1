//! Tests of what the connections of a listener may take together.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use mimosastep::intake::Budget;
use mimosastep::intake::CONNECTION_BYTES;
use mimosastep::intake::Intake;
use mimosastep::intake::IntakeEvent;
use mimosastep::intake::IntakeLimits;
use mimosastep::intake::Intakes;
use mimosastep::intake::Listener;
use mimosastep::intake::Stage;
use test_case::test_case;

/// Number of connections of a listener.
const MEMBERS: u64 = 8;
const LIMITS: IntakeLimits = IntakeLimits {
    bytes: 20 * CONNECTION_BYTES,
    connections: MEMBERS as usize,
};

/// Address of a client.
fn client(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A full listener: connections of client 1 that stay in a stage, in the order of their numbers, 10 ms
/// apart.
fn crowd(stage: Stage) -> (Intake, Instant) {
    let mut intake = Intake::new(LIMITS);
    let start = Instant::now();
    for id in 0..MEMBERS {
        let now = after(start, id * 10);
        assert!(intake.admit(id, client(1), now).granted);
        intake.enter(id, stage, now);
    }
    (intake, start)
}

#[test_case(Stage::Receiving, IntakeEvent::IncompleteCut; "incomplete requests")]
#[test_case(Stage::Idle, IntakeEvent::IdleCut; "idle connections")]
fn the_one_that_stands_still_for_longest_is_cut(stage: Stage, event: IntakeEvent) {
    let (mut intake, start) = crowd(stage);
    let early = intake.admit(100, client(1), after(start, 990));
    assert!(
        early.granted,
        "the client's own crowd is younger than a second"
    );
    assert_eq!(early.cut, [(0, event)]);
    let decision = intake.admit(101, client(1), after(start, 1_015));
    assert!(decision.granted);
    assert_eq!(decision.cut, [(1, event)]);
    assert_eq!(intake.connections(), LIMITS.connections);
}

/// A caller behind the address of a crowd that renews itself. Guards against a listener that refuses all
/// newcomers while the crowd is young.
#[test_case(Stage::Receiving; "incomplete requests")]
#[test_case(Stage::Idle; "idle connections")]
fn a_caller_completes_its_request_beside_a_young_crowd_of_its_address(stage: Stage) {
    let (mut intake, start) = crowd(stage);
    let now = after(start, 100);
    assert!(intake.admit(100, client(1), now).granted);
    intake.enter(100, Stage::Receiving, now);
    for id in 101..100 + MEMBERS {
        let later = after(start, id);
        assert!(intake.admit(id, client(1), later).granted);
        intake.enter(id, stage, later);
    }
    let last = after(start, 300);
    assert!(
        intake.grow(100, 1, last).granted,
        "it was cut before the crowd"
    );
    intake.enter(100, Stage::Serving, last);
    for id in 200..300 {
        assert!(intake.admit(id, client(1), after(start, id + 200)).granted);
    }
    assert!(intake.grow(100, 1, after(start, 600)).granted, "it was cut");
}

/// Guards against more open connections than the limit: those that were cut and are not closed yet.
#[test]
fn a_cut_connection_is_waited_for_until_it_is_closed() {
    let intakes = Intakes::new(LIMITS, Rc::new(|_| ()));
    let start = Instant::now();
    let admit = |_| intakes.admit(client(1), start).expect("room");
    let mut permits: Vec<_> = (0..MEMBERS).map(admit).collect();
    assert!(intakes.settled().now_or_never().is_some());
    permits.push(admit(MEMBERS));
    assert!(intakes.settled().now_or_never().is_none(), "one was cut");
    drop(permits.remove(0));
    assert!(intakes.settled().now_or_never().is_some());
}

/// Many clients that hold one connection each. Guards against a listener that none of them can leave to
/// a newcomer.
#[test]
fn a_newcomer_gets_in_beside_many_young_clients() {
    let mut intake = Intake::new(LIMITS);
    let start = Instant::now();
    for number in 0..100_u8 {
        let now = after(start, u64::from(number));
        let decision = intake.admit(number.into(), client(number), now);
        assert!(decision.granted, "client {number}");
    }
    assert_eq!(intake.connections(), LIMITS.connections);
}

/// Many connections of one client beside one of another, which gets in at once.
#[test_case(Stage::Receiving, IntakeEvent::IncompleteCut; "incomplete requests")]
#[test_case(Stage::Idle, IntakeEvent::IdleCut; "idle connections")]
fn the_client_that_holds_most_makes_room_for_another(stage: Stage, event: IntakeEvent) {
    let (mut intake, start) = crowd(stage);
    let now = after(start, 100);
    let decision = intake.admit(100, client(2), now);
    assert!(decision.granted);
    assert_eq!(decision.cut, [(0, event)]);
    intake.enter(100, Stage::Receiving, now);
    for id in 101..150 {
        intake.admit(id, client(1), now);
    }
    intake.enter(100, Stage::Serving, now);
    assert!(intake.grow(100, 1, now).granted, "the other client was cut");
}

/// Two clients that both want all: neither holds more than the other for long, and what one loses the
/// other gets.
#[test]
fn clients_that_press_alike_hold_alike() {
    let (mut intake, start) = crowd(Stage::Idle);
    let now = after(start, 100);
    let decisions = (100..200).map(|id| intake.admit(id, client(2), now));
    let cut: Vec<u64> = decisions
        .flat_map(|decision| {
            assert!(decision.granted);
            decision.cut.into_iter().map(|(id, _)| id)
        })
        .collect();
    let lost = cut.iter().filter(|&&id| id < MEMBERS);
    assert_eq!(lost.count() as u64, MEMBERS / 2, "the first client's");
    assert_eq!(intake.connections() as u64, MEMBERS);
}

#[test]
fn a_complete_request_is_never_cut() {
    let (mut intake, start) = crowd(Stage::Serving);
    for other in [1, 2] {
        let decision = intake.admit(100, client(other), after(start, 60_000));
        assert!(!decision.granted && decision.cut.is_empty());
    }
}

#[test]
fn an_incomplete_request_is_cut_before_an_older_idle_connection() {
    let (mut intake, start) = crowd(Stage::Idle);
    intake.enter(5, Stage::Receiving, after(start, 2_000));
    let decision = intake.admit(100, client(1), after(start, 4_000));
    assert_eq!(decision.cut, [(5, IntakeEvent::IncompleteCut)]);
}

/// Bodies that stop short of their end leave the memory to the next one; what counts stays within the
/// limit at all times.
#[test]
fn bodies_that_stop_make_room_for_others() {
    let mut intake = Intake::new(LIMITS);
    let start = Instant::now();
    let mut cut = 0;
    for id in 0..200 {
        let now = after(start, id * 1_200);
        let decision = intake.admit(id, client(1), now);
        assert!(decision.granted, "connection {id}");
        cut += decision.cut.len();
        intake.enter(id, Stage::Receiving, now);
        for _ in 0..8 {
            let decision = intake.grow(id, CONNECTION_BYTES, now);
            assert!(decision.granted, "body {id}");
            cut += decision.cut.len();
            assert!(intake.bytes() <= LIMITS.bytes);
        }
    }
    assert!(cut >= 190, "{cut} cut");
}

#[test]
fn a_body_is_refused_where_only_complete_requests_hold_the_memory() {
    let (mut intake, start) = crowd(Stage::Receiving);
    let now = after(start, 3_000);
    assert!(intake.grow(7, 11 * CONNECTION_BYTES, now).granted);
    for id in 0..MEMBERS {
        intake.enter(id, Stage::Serving, now);
    }
    intake.enter(0, Stage::Receiving, now);
    assert!(!intake.grow(0, 2 * CONNECTION_BYTES, now).granted);
    intake.enter(7, Stage::Idle, now);
    assert!(intake.grow(0, 2 * CONNECTION_BYTES, now).granted);
}

/// A body needs more than those that may be cut hold. Guards against connections that are neither
/// counted nor cut: the ones chosen before it was refused.
#[test]
fn a_refused_body_leaves_no_connection_uncounted() {
    let mut intake = Intake::new(LIMITS);
    let start = Instant::now();
    let now = after(start, 3_000);
    for (id, since) in [(0, start), (1, now)] {
        assert!(intake.admit(id, client(1), since).granted);
        intake.enter(id, Stage::Receiving, since);
    }
    let decision = intake.grow(1, LIMITS.bytes, now);
    assert!(!decision.granted);
    assert_eq!(intake.connections() + decision.cut.len(), 2);
    assert_eq!(decision.cut, [(0, IntakeEvent::IncompleteCut)]);
}

#[test]
fn a_connection_that_was_cut_gets_nothing() {
    let (mut intake, start) = crowd(Stage::Receiving);
    intake.leave(3);
    let bytes = intake.bytes();
    assert!(!intake.grow(3, 1, after(start, 5_000)).granted);
    intake.enter(3, Stage::Idle, start);
    intake.leave(3);
    assert_eq!(intake.bytes(), bytes);
}

#[test]
fn what_connections_held_is_given_back() {
    let (mut intake, start) = crowd(Stage::Receiving);
    for id in 0..MEMBERS {
        assert!(intake.grow(id, 1_000, start).granted);
        intake.leave(id);
    }
    assert_eq!((intake.bytes(), intake.connections()), (0, 0));
}

/// Bad settings leave a usable listener.
#[test_case(None, None, 64 << 20, 4_096; "nothing known of the machine")]
#[test_case(Some(160 << 20), Some(4_100), 40 << 20, 1_950; "a small machine")]
#[test_case(Some(512 << 20), Some(8_192), 128 << 20, 3_996; "a larger one")]
#[test_case(Some(0), Some(0), 1 << 20, 1; "no memory and no descriptors")]
#[test_case(Some(usize::MAX), Some(usize::MAX), usize::MAX / 4, 4_096; "beyond all machines")]
fn limits_follow_the_machine(
    memory: Option<usize>,
    descriptors: Option<usize>,
    bytes: usize,
    connections: usize,
) {
    let limits = Budget::of_machine(memory, descriptors).listener(Listener::Front);
    assert_eq!(limits, IntakeLimits { bytes, connections });
}

/// Guards against limits that hold for each listener and not for the process.
#[test_case(64, 400; "few descriptors")]
#[test_case(160, 4_100; "a small machine")]
#[test_case(260, 4_100; "a usual machine")]
#[test_case(512, 8_192; "a larger one")]
fn all_listeners_and_outgoing_connections_fit_into_the_machine(megabytes: usize, files: usize) {
    let budget = Budget::of_machine(Some(megabytes << 20), Some(files));
    let limits = Listener::ALL.map(|listener| budget.listener(listener));
    let bytes: usize = limits.iter().map(|limits| limits.bytes).sum();
    assert!(bytes <= (megabytes << 20) / 2, "{bytes} bytes");
    let accepted = limits.map(|limits| limits.connections.min(limits.bytes / CONNECTION_BYTES));
    let accepted: usize = accepted.iter().sum();
    assert!(
        accepted + budget.outgoing() <= files - 200,
        "{accepted} accepted"
    );
    assert!(budget.idle() <= budget.outgoing() / 2 && budget.idle() > 0);
}
