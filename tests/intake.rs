//! Tests of what the connections of a listener may occupy together.

use std::time::Duration;
use std::time::Instant;

use mimosastep::intake::Intake;
use mimosastep::intake::IntakeEvent;
use mimosastep::intake::IntakeLimits;
use mimosastep::intake::Stage;
use test_case::test_case;

const LIMITS: IntakeLimits = IntakeLimits {
    bytes: 1 << 20,
    connections: 8,
};

fn admit(intake: &mut Intake, now: Instant) -> u64 {
    let admission = intake.admit(now).expect("no place");
    assert_eq!(admission.cut, []);
    admission.id
}

/// A crowd of connections that stay in a stage, in the order of their arrival, 10 ms apart.
fn crowd(stage: Stage) -> (Intake, Vec<u64>, Instant) {
    let mut intake = Intake::new(LIMITS);
    let start = Instant::now();
    let mut ids = Vec::new();
    for number in 0..LIMITS.connections as u64 {
        let now = start + Duration::from_millis(number * 10);
        let id = admit(&mut intake, now);
        intake.enter(id, stage, now);
        ids.push(id);
    }
    (intake, ids, start)
}

#[test_case(Stage::Receiving, IntakeEvent::IncompleteCut; "incomplete requests")]
#[test_case(Stage::Idle, IntakeEvent::IdleCut; "idle connections")]
fn the_one_that_waits_for_longest_makes_place(stage: Stage, event: IntakeEvent) {
    let (mut intake, ids, start) = crowd(stage);
    let early = intake.admit(start + Duration::from_millis(990));
    assert_eq!(early, None, "none has waited for a second");
    let admission = intake.admit(start + Duration::from_millis(1_015));
    assert_eq!(admission.expect("no place").cut, [(ids[0], event)]);
    assert_eq!(intake.connections(), LIMITS.connections);
}

#[test]
fn a_complete_request_is_never_cut() {
    let (mut intake, _, start) = crowd(Stage::Serving);
    assert_eq!(intake.admit(start + Duration::from_secs(60)), None);
}

#[test]
fn an_incomplete_request_is_cut_before_an_older_idle_connection() {
    let (mut intake, ids, start) = crowd(Stage::Idle);
    let begun = start + Duration::from_secs(2);
    intake.enter(ids[5], Stage::Receiving, begun);
    let admission = intake.admit(begun + Duration::from_secs(2));
    let cut = admission.expect("no place").cut;
    assert_eq!(cut, [(ids[5], IntakeEvent::IncompleteCut)]);
}

/// Bodies that stop short of their end leave the memory to the next one; what counts stays within the
/// limit at all times.
#[test]
fn bodies_that_stop_make_place_for_others() {
    let mut intake = Intake::new(LIMITS);
    let start = Instant::now();
    let mut cut = 0;
    for number in 0..200 {
        let now = start + Duration::from_millis(number * 1_200);
        let Some(admission) = intake.admit(now) else {
            panic!("connection {number} refused");
        };
        cut += admission.cut.len();
        intake.enter(admission.id, Stage::Receiving, now);
        for _ in 0..8 {
            cut += intake
                .grow(admission.id, 1 << 16, now)
                .expect("no place")
                .len();
            assert!(intake.bytes() <= LIMITS.bytes);
        }
    }
    assert!(cut >= 190, "{cut} cut");
}

#[test]
fn a_body_is_refused_where_only_complete_requests_hold_the_memory() {
    let (mut intake, ids, start) = crowd(Stage::Receiving);
    let now = start + Duration::from_secs(3);
    assert_eq!(intake.grow(ids[7], 700_000, now), Some(Vec::new()));
    for &id in &ids {
        intake.enter(id, Stage::Serving, now);
    }
    intake.enter(ids[0], Stage::Receiving, now);
    assert_eq!(intake.grow(ids[0], 100_000, now), None);
    intake.enter(ids[7], Stage::Idle, now);
    assert_eq!(intake.grow(ids[0], 100_000, now), Some(Vec::new()));
}

#[test]
fn what_connections_held_is_given_back() {
    let (mut intake, ids, start) = crowd(Stage::Receiving);
    for &id in &ids {
        assert!(intake.grow(id, 1_000, start).is_some());
        intake.leave(id);
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
    let limits = IntakeLimits::of_machine(memory, descriptors);
    assert_eq!(limits, IntakeLimits { bytes, connections });
}
