//! A process starts work only under a state known to be recent; all time is virtual.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use mimosastep::member::FRESH_FOR;
use mimosastep::member::Freshness;
use mimosastep::member::FreshnessEvent;
use mimosastep::member::Voter;
use test_case::test_case;

const STEP: u64 = 100;

fn name(text: &str) -> Voter {
    let node = text.parse().expect("a name");
    let incarnation = 1;
    Voter { node, incarnation }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn voters(count: usize) -> BTreeSet<Voter> {
    (1..=count)
        .map(|number| name(&format!("f{number}")))
        .collect()
}

fn folded(offset: u64, count: usize) -> FreshnessEvent {
    let voters = voters(count);
    FreshnessEvent::Folded { offset, voters }
}

fn vouched(by: usize, asked: Instant, offset: u64, age: Option<u64>) -> FreshnessEvent {
    FreshnessEvent::Vouched {
        by: name(&format!("f{by}")),
        asked,
        offset,
        age: age.map(ms),
    }
}

/// A process that has folded ten records and knows three voters.
fn process(me: &str, now: Instant) -> Freshness {
    let mut process = Freshness::new(name(me));
    process.observe(now, folded(10, 3));
    process
}

#[test]
fn the_log_makes_fresh_from_the_question_on() {
    let start = Instant::now();
    let mut gate = process("g", start);
    assert_eq!(gate.until(), None);
    gate.observe(start + ms(500), FreshnessEvent::Head { asked: start });
    assert_eq!(gate.until(), Some(start + FRESH_FOR));
    let late = start - ms(700);
    gate.observe(start + ms(600), FreshnessEvent::Head { asked: late });
    assert_eq!(gate.until(), Some(start + FRESH_FOR), "never reverts");
}

#[test_case("g", &[1], None; "a gate with one of three")]
#[test_case("g", &[1, 1], None; "a gate with one of three, twice")]
#[test_case("g", &[1, 2], Some(100); "a gate with two of three")]
#[test_case("g", &[1, 2, 3], Some(200); "a gate with all three")]
#[test_case("f1", &[], None; "a voter alone")]
#[test_case("f1", &[2], Some(100); "a voter with one other")]
#[test_case("f1", &[2, 3], Some(200); "a voter with both others")]
#[test_case("g", &[8, 9], None; "a gate with strangers")]
fn a_majority_of_voters_makes_fresh(me: &str, by: &[usize], since: Option<u64>) {
    let start = Instant::now();
    let mut process = process(me, start);
    for (index, voter) in (1..).zip(by) {
        let asked = start + ms(100 * index);
        process.observe(start + ms(900), vouched(*voter, asked, 10, None));
    }
    let expected = since.map(|since| start + ms(since) + FRESH_FOR);
    assert_eq!(process.until(), expected);
}

#[test_case(10, Some(400); "one that has folded as much")]
#[test_case(9, Some(400); "one that has folded less")]
#[test_case(11, None; "one that has folded more")]
fn a_voter_that_asked_the_log_passes_it_on(offset: u64, since: Option<u64>) {
    let start = Instant::now();
    let mut gate = process("g", start);
    gate.observe(
        start + ms(800),
        vouched(1, start + ms(700), offset, Some(300)),
    );
    let expected = since.map(|since| start + ms(since) + FRESH_FOR);
    assert_eq!(gate.until(), expected);
}

#[test]
fn a_vouch_from_ahead_counts_once_its_records_are_folded() {
    let start = Instant::now();
    let mut gate = process("g", start);
    gate.observe(start, vouched(1, start, 12, None));
    gate.observe(start, vouched(2, start, 10, None));
    assert_eq!(gate.until(), None);
    gate.observe(start + ms(50), folded(11, 3));
    assert_eq!(gate.until(), None);
    gate.observe(start + ms(60), folded(12, 3));
    assert_eq!(gate.until(), Some(start + FRESH_FOR));
}

#[test]
fn new_voters_raise_the_majority() {
    let start = Instant::now();
    let mut gate = process("g", start);
    gate.observe(start, vouched(1, start, 10, None));
    gate.observe(start, vouched(2, start, 10, None));
    assert!(gate.until().is_some());
    gate.observe(start, folded(11, 5));
    assert_eq!(gate.until(), None);
}

#[test]
fn a_voters_successor_is_another_voter() {
    let start = Instant::now();
    let mut gate = process("g", start);
    gate.observe(start, vouched(1, start, 10, None));
    gate.observe(start, vouched(2, start, 10, None));
    let incarnation = 2;
    let voters = voters(3).into_iter().map(|voter| Voter {
        incarnation,
        ..voter
    });
    let (offset, voters) = (11, voters.collect());
    gate.observe(start, FreshnessEvent::Folded { offset, voters });
    assert_eq!(gate.until(), None);
}

#[test]
fn a_frozen_process_wakes_stale() {
    let start = Instant::now();
    let mut voter = process("f1", start);
    voter.observe(start, FreshnessEvent::Head { asked: start });
    voter.observe(start, vouched(2, start, 10, Some(0)));
    let woken = start + Duration::from_secs(60);
    assert!(voter.until() < Some(woken));
    // Answers that had waited in its sockets tell of the time before the freeze.
    voter.observe(woken, FreshnessEvent::Head { asked: start });
    voter.observe(woken, vouched(2, start, 10, Some(0)));
    voter.observe(woken, vouched(3, start, 10, None));
    assert!(voter.until() < Some(woken));
}

/// What a gate may use, by time since the start in milliseconds.
struct World {
    log_up: fn(u64) -> bool,
    /// Whether the gate's questions reach the voter.
    there: fn(u64, usize) -> bool,
    /// Whether the voter's answers reach the gate.
    back: fn(u64, usize) -> bool,
    gate_reads: fn(u64) -> bool,
    /// When a key's withdrawal is in the log and with voters 1 and 2.
    withdrawn: u64,
}

const HEALTHY: World = World {
    log_up: |_| true,
    there: |_, _| true,
    back: |_, _| true,
    gate_reads: |_| true,
    withdrawn: u64::MAX,
};

impl World {
    /// Runs 20 s; gives, by step, whether the gate is fresh, and whether it knows the withdrawal.
    fn run(&self) -> Vec<(u64, bool, bool)> {
        let start = Instant::now();
        let mut gate = process("g", start);
        let mut offset = 10;
        let steps = (0..20_000).step_by(STEP as usize);
        steps
            .map(|at| {
                self.step(&mut gate, &mut offset, start, at);
                let fresh = gate.until() > Some(start + ms(at));
                (at, fresh, offset > 10)
            })
            .collect()
    }

    fn step(&self, gate: &mut Freshness, offset: &mut u64, start: Instant, at: u64) {
        let now = start + ms(at);
        let asked = now - ms(STEP);
        let head = 10 + u64::from(at >= self.withdrawn);
        let reads = (self.log_up)(at) && (self.gate_reads)(at);
        for voter in (1..=3).filter(|voter| (self.there)(at, *voter) && (self.back)(at, *voter)) {
            let held = if voter == 3 { 10 } else { head };
            *offset = held.max(*offset);
            gate.observe(now, vouched(voter, asked, held, None));
        }
        if reads {
            *offset = head;
        }
        gate.observe(now, folded(*offset, 3));
        if reads {
            gate.observe(now, FreshnessEvent::Head { asked });
        }
    }

    /// Steps at which the gate would start work under the withdrawn key.
    fn wrongly_started(&self, may_start: impl Fn(u64, bool) -> bool) -> Vec<u64> {
        self.run()
            .into_iter()
            .filter(|&(at, fresh, knows)| at >= self.withdrawn && !knows && may_start(at, fresh))
            .map(|(at, ..)| at)
            .collect()
    }

    fn fresh_from(&self, from: u64) -> (bool, bool) {
        let run = self.run();
        let mut late = run.iter().filter(|(at, ..)| *at >= from);
        let all = late.clone().all(|(_, fresh, _)| *fresh);
        (all, late.any(|(_, fresh, _)| *fresh))
    }
}

const ALWAYS: (bool, bool) = (true, true);
const NEVER: (bool, bool) = (false, false);

#[test_case(HEALTHY, ALWAYS; "all well")]
#[test_case(World { log_up: |at| at < 5000, ..HEALTHY }, ALWAYS; "log down, all voters")]
#[test_case(World { log_up: |at| at < 5000, back: |_, voter| voter != 1, ..HEALTHY }, ALWAYS; "log down, two voters")]
#[test_case(World { log_up: |at| at < 5000, back: |_, voter| voter == 1, ..HEALTHY }, NEVER; "log down, one voter")]
#[test_case(World { log_up: |at| at < 5000, there: |_, _| false, ..HEALTHY }, NEVER; "log down, one way cut there")]
#[test_case(World { log_up: |at| at < 5000, back: |_, _| false, ..HEALTHY }, NEVER; "log down, one way cut back")]
#[test_case(World { back: |_, _| false, ..HEALTHY }, ALWAYS; "no voter, log up")]
#[test_case(World { gate_reads: |_| false, back: |_, _| false, ..HEALTHY }, NEVER; "cut off")]
fn a_gate_is_fresh_while_it_must_know_all(world: World, expected: (bool, bool)) {
    assert_eq!(
        world.fresh_from(5000 + FRESH_FOR.as_millis() as u64),
        expected
    );
}

/// The gate loses the log and the informed voters; then a key is withdrawn and the log fails.
const CUT: World = World {
    log_up: |at| at < 9000,
    there: |_, _| true,
    back: |at, voter| at < 4900 || voter == 3,
    gate_reads: |at| at < 4900,
    withdrawn: 5000,
};

#[test]
fn a_withdrawn_key_stops_in_time_at_a_gate_that_is_cut_off() {
    let started = CUT.wrongly_started(|_, fresh| fresh);
    assert!(
        started
            .iter()
            .all(|at| *at <= 5000 + FRESH_FOR.as_millis() as u64)
    );
}

#[test]
fn fresh_whenever_the_log_is_down_would_let_a_withdrawn_key_live_on() {
    let log_up = CUT.log_up;
    let started = CUT.wrongly_started(|at, fresh| fresh || !log_up(at));
    assert_eq!(started.last(), Some(&(20_000 - STEP)));
}

#[test]
fn one_voter_for_a_majority_would_let_a_withdrawn_key_live_on() {
    let back = CUT.back;
    let any_voter = |at| (1..=3).any(|voter| back(at, voter));
    let started = CUT.wrongly_started(|at, fresh| fresh || any_voter(at));
    assert_eq!(started.last(), Some(&(20_000 - STEP)));
}
