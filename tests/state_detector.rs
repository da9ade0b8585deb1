//! Failure detector: a silent member is reported in time, and faults of the detecting process
//! cause no report. Time is simulated.

use std::time::Duration;
use std::time::Instant;

use mimosastep::member::FailureDetector;
use mimosastep::member::SUSPECT_TIMEOUT;
use mimosastep::member::TICK_INTERVAL;
use mimosastep::name::NodeName;
use mimosastep::record::Change;
use mimosastep::record::Member;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::wire::Hello;
use test_case::test_case;

fn name(text: &str) -> NodeName {
    text.parse().expect("a name")
}

fn join(state: &mut State, node: &str, role: Role, incarnation: u64) {
    let member = Member {
        role,
        incarnation,
        addr: ([127, 0, 0, 1], 1).into(),
        dc: "a".parse().expect("a name"),
        leaving: false,
    };
    state.incarnations.insert(name(node), incarnation);
    state.members.insert(name(node), member);
}

/// Conditions of gate g and of the detector of f1, as functions of the milliseconds since the
/// start.
#[derive(Clone, Copy)]
struct Scenario {
    /// Whether f1 receives a message of g.
    is_heard: fn(u64) -> bool,
    /// Whether f1 is running rather than frozen.
    is_running: fn(u64) -> bool,
    is_fresh: fn(u64) -> bool,
    /// When g rejoins with incarnation 2.
    rejoins_at: u64,
}

const HEALTHY: Scenario = Scenario {
    is_heard: |_| true,
    is_running: |_| true,
    is_fresh: |_| true,
    rejoins_at: u64::MAX,
};

impl Scenario {
    /// Simulates 20 s. Returns the time and kind of each report; the log accepts each immediately.
    fn run(&self) -> Vec<(u64, &'static str)> {
        let start = Instant::now();
        let (mut state, mut detector) = (State::default(), FailureDetector::new(name("f1")));
        join(&mut state, "f1", Role::Fleet, 1);
        join(&mut state, "g", Role::Gate, 1);
        let mut reports = Vec::new();
        for at in (0..20_000).step_by(TICK_INTERVAL.as_millis() as usize) {
            let now = start + Duration::from_millis(at);
            let incarnation = 1 + u64::from(at >= self.rejoins_at);
            if state.members["g"].incarnation != incarnation {
                join(&mut state, "g", Role::Gate, incarnation);
            }
            if !(self.is_running)(at) {
                continue;
            }
            for change in detector.tick(now, &state, (self.is_fresh)(at)) {
                let reporters = state.suspicions.entry(name("g")).or_default();
                let report = match change {
                    Change::Suspect { by, .. } if reporters.insert(by.clone()) => "suspect",
                    Change::Trust { by, .. } if reporters.remove(&by) => "trust",
                    other => panic!("unexpected report: {other:?}"),
                };
                reports.push((at, report));
            }
            if (self.is_heard)(at) {
                let (node, role) = (name("g"), Role::Gate);
                detector.hear(
                    now,
                    &Hello {
                        node,
                        incarnation,
                        role,
                    },
                );
            }
        }
        reports
    }

    fn kinds(&self) -> Vec<&'static str> {
        self.run().into_iter().map(|(_, report)| report).collect()
    }
}

const FROZEN: Scenario = Scenario {
    is_running: |at| !(5_000..12_000).contains(&at),
    ..HEALTHY
};

const CUT_OFF: Scenario = Scenario {
    is_heard: |at| !(5_000..12_000).contains(&at),
    is_fresh: |at| !(5_000..12_000).contains(&at),
    ..HEALTHY
};

#[test_case(HEALTHY, &[]; "all well")]
#[test_case(Scenario { is_heard: |_| false, ..HEALTHY }, &["suspect"]; "never heard")]
#[test_case(Scenario { is_heard: |at| at < 5_000, ..HEALTHY }, &["suspect"]; "silent for good")]
#[test_case(Scenario { is_heard: |at| !(5_000..7_000).contains(&at), ..HEALTHY }, &[]; "silent for less")]
#[test_case(Scenario { is_heard: |at| !(5_000..9_000).contains(&at), ..HEALTHY }, &["suspect", "trust"]; "silent for a while")]
#[test_case(Scenario { is_heard: |at| at < 5_000, rejoins_at: 6_000, ..HEALTHY }, &["suspect"]; "its successor is silent")]
#[test_case(Scenario { is_heard: |at| !(5_000..8_000).contains(&at), rejoins_at: 6_000, ..HEALTHY }, &[]; "its successor is heard")]
#[test_case(FROZEN, &[]; "the detector was frozen")]
#[test_case(CUT_OFF, &[]; "the detector was cut off")]
fn only_a_silent_member_is_reported(world: Scenario, expected: &[&str]) {
    assert_eq!(world.kinds(), expected);
}

#[test]
fn a_report_comes_within_the_wait_and_a_tick() {
    let silent = Scenario {
        is_heard: |at| at < 5_000,
        ..HEALTHY
    };
    let (at, _) = silent.run()[0];
    let bound = Duration::from_millis(5_000) + SUSPECT_TIMEOUT + TICK_INTERVAL;
    assert!(Duration::from_millis(at) <= bound, "{at}");
}

#[test_case(Scenario { is_heard: FROZEN.is_running, ..HEALTHY }; "lateness of its own tick")]
#[test_case(Scenario { is_fresh: |_| true, ..CUT_OFF }; "its own lack of freshness")]
fn a_detector_that_ignored_its_own_fault_would_report_wrongly(broken: Scenario) {
    assert_eq!(broken.kinds(), ["suspect", "trust"]);
}
