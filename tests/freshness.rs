//! Freshness: a process starts work only while its state is known to be recent. Time is
//! simulated.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mimosastep::member::FRESHNESS_TTL;
use mimosastep::member::Freshness;
use mimosastep::member::FreshnessEvent;
use mimosastep::member::Voter;
use mimosastep::member::Voters;
use test_case::test_case;

const STEP: u64 = 100;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 1).into()
}

fn voter(number: u8) -> Voter {
    let node = format!("f{number}").parse().expect("a name");
    let (addr, incarnation) = (addr(number), 1);
    Voter {
        addr,
        node,
        incarnation,
    }
}

const fn record_applied(offset: u64) -> FreshnessEvent {
    FreshnessEvent::RecordApplied { offset }
}

fn probe_reply(by: Voter, asked: Instant, offset: u64, age: Option<u64>) -> FreshnessEvent {
    FreshnessEvent::ProbeReply {
        by: Some(by),
        asked,
        offset,
        age: age.map(ms),
    }
}

fn probe_reply_of(by: u8, asked: Instant, offset: u64, age: Option<u64>) -> FreshnessEvent {
    probe_reply(voter(by), asked, offset, age)
}

/// A process that has applied ten records and has `count` voters in its settings.
fn process_with_voters(count: u8, node: &str, now: Instant) -> Freshness {
    let own = node
        .strip_prefix('f')
        .map(|node| addr(node.parse().unwrap()));
    let mut process = Freshness::new(now, Voters::new((1..=count).map(addr), own));
    process.observe(now, record_applied(10));
    process
}

fn process(node: &str, now: Instant) -> Freshness {
    process_with_voters(3, node, now)
}

#[test]
fn the_log_makes_fresh_from_the_question_on() {
    let start = Instant::now();
    let mut gate = process("g", start);
    assert_eq!(gate.fresh_until(), None);
    gate.observe(start + ms(500), FreshnessEvent::Head { asked: start });
    assert_eq!(gate.fresh_until(), Some(start + FRESHNESS_TTL));
    let late = start - ms(700);
    gate.observe(start + ms(600), FreshnessEvent::Head { asked: late });
    assert_eq!(
        gate.fresh_until(),
        Some(start + FRESHNESS_TTL),
        "an earlier request does not shorten the deadline"
    );
}

#[test_case(0, true; "at once")]
#[test_case(999, true; "for half of the time that a state stays fresh")]
#[test_case(1000, false; "with time left to ask a majority")]
fn the_log_in_reach_spares_probes(later: u64, confirmed: bool) {
    let start = Instant::now();
    let mut gate = process("g", start);
    assert!(!gate.has_log_contact(start), "unknown at first");
    gate.observe(start, FreshnessEvent::Head { asked: start });
    assert_eq!(gate.has_log_contact(start + ms(later)), confirmed);
}

#[test_case(3, "g", &[1], None; "a gate with one of three")]
#[test_case(3, "g", &[1, 1], None; "a gate with one of three, twice")]
#[test_case(3, "g", &[1, 2], Some(100); "a gate with two of three")]
#[test_case(3, "g", &[1, 2, 3], Some(200); "a gate with all three")]
#[test_case(5, "g", &[1, 2], None; "a gate with two of five")]
#[test_case(5, "g", &[1, 2, 3], Some(100); "a gate with three of five")]
#[test_case(4, "g", &[1, 2], None; "a gate with two of four")]
#[test_case(3, "f1", &[2], None; "a new voter with one other")]
#[test_case(3, "f1", &[2, 3], Some(200); "a new voter with both others")]
#[test_case(3, "f1", &[1, 1, 2], None; "a new voter with one that claims its address")]
#[test_case(3, "g", &[8, 9], None; "a gate with strangers")]
fn a_majority_of_voters_makes_fresh(count: u8, node: &str, by: &[u8], since: Option<u64>) {
    let start = Instant::now();
    let mut process = process_with_voters(count, node, start);
    for (index, voter) in (1..).zip(by) {
        let asked = start + ms(100 * index);
        process.observe(start + ms(900), probe_reply_of(*voter, asked, 10, None));
    }
    let expected = since.map(|since| start + ms(since) + FRESHNESS_TTL);
    assert_eq!(process.fresh_until(), expected);
}

#[test_case(&[], 0; "alone")]
#[test_case(&[2], 100; "with one other")]
#[test_case(&[2, 3], 200; "with both others")]
fn a_voter_that_has_read_the_log_counts_itself(by: &[u8], since: u64) {
    let start = Instant::now();
    let mut process = process("f1", start);
    process.observe(start + ms(10), FreshnessEvent::Head { asked: start });
    for (index, voter) in (1..).zip(by) {
        let asked = start + ms(100 * index);
        process.observe(start + ms(900), probe_reply_of(*voter, asked, 10, None));
    }
    assert_eq!(
        process.fresh_until(),
        Some(start + ms(since) + FRESHNESS_TTL)
    );
}

#[test_case(10, true; "asked after the start")]
#[test_case(60, false; "asked before the start")]
fn a_voter_vouches_once_its_state_was_complete_after_its_start(age: u64, may: bool) {
    let start = Instant::now();
    let mut process = process("f1", start);
    process.observe(
        start + ms(60),
        probe_reply_of(2, start + ms(50), 10, Some(age)),
    );
    assert!(process.fresh_until().is_some());
    assert_eq!(process.is_recovered(), may);
}

#[test_case(10, Some(400); "one that has folded as much")]
#[test_case(9, Some(400); "one that has folded less")]
#[test_case(11, None; "one that has folded more")]
fn a_voter_that_asked_the_log_passes_it_on(offset: u64, since: Option<u64>) {
    let start = Instant::now();
    let mut gate = process("g", start);
    gate.observe(
        start + ms(800),
        probe_reply_of(1, start + ms(700), offset, Some(300)),
    );
    let expected = since.map(|since| start + ms(since) + FRESHNESS_TTL);
    assert_eq!(gate.fresh_until(), expected);
}

#[test]
fn a_vouch_from_ahead_counts_once_its_records_are_folded() {
    let start = Instant::now();
    let mut gate = process("g", start);
    gate.observe(start, probe_reply_of(1, start, 12, None));
    gate.observe(start, probe_reply_of(2, start, 10, None));
    assert_eq!(gate.fresh_until(), None);
    gate.observe(start + ms(50), record_applied(11));
    assert_eq!(gate.fresh_until(), None);
    gate.observe(start + ms(60), record_applied(12));
    assert_eq!(gate.fresh_until(), Some(start + FRESHNESS_TTL));
}

#[test_case(Voter { incarnation: 2, ..voter(1) }; "a successor")]
#[test_case(Voter { addr: addr(2), ..voter(1) }; "one at two addresses")]
#[test_case(Voter { node: voter(2).node, ..voter(1) }; "two at one address")]
fn a_voter_counts_once(again: Voter) {
    let start = Instant::now();
    let mut gate = process("g", start);
    gate.observe(start, probe_reply_of(1, start, 10, None));
    gate.observe(start, probe_reply(again, start, 10, None));
    assert_eq!(gate.fresh_until(), None);
}

#[test]
fn an_older_incarnation_has_no_vote() {
    let start = Instant::now();
    let mut gate = process("g", start);
    let newer = Voter {
        incarnation: 2,
        ..voter(1)
    };
    gate.observe(start, probe_reply(newer, start, 10, None));
    gate.observe(
        start + ms(500),
        probe_reply_of(1, start + ms(500), 10, None),
    );
    gate.observe(
        start + ms(500),
        probe_reply_of(2, start + ms(500), 10, None),
    );
    assert_eq!(gate.fresh_until(), Some(start + FRESHNESS_TTL));
}

#[test]
fn a_frozen_process_wakes_stale() {
    let start = Instant::now();
    let mut voter = process("f1", start);
    voter.observe(start, FreshnessEvent::Head { asked: start });
    voter.observe(start, probe_reply_of(2, start, 10, Some(0)));
    let resumed_at = start + Duration::from_secs(60);
    assert!(voter.fresh_until() < Some(resumed_at));
    // Replies that were queued in the sockets during the freeze confirm only the time of their
    // probes, which is before it.
    voter.observe(resumed_at, FreshnessEvent::Head { asked: start });
    voter.observe(resumed_at, probe_reply_of(2, start, 10, Some(0)));
    voter.observe(resumed_at, probe_reply_of(3, start, 10, None));
    assert!(voter.fresh_until() < Some(resumed_at));
}

#[test]
fn counting_from_the_answer_would_wake_a_frozen_process_fresh() {
    let start = Instant::now();
    let mut gate = process("g", start);
    let resumed_at = start + Duration::from_secs(60);
    gate.observe(resumed_at, FreshnessEvent::Head { asked: resumed_at });
    assert!(gate.fresh_until() > Some(resumed_at));
}

/// What the gate can reach, as functions of the milliseconds since the start.
struct Scenario {
    log_up: fn(u64) -> bool,
    /// Whether the gate's probes reach the voter.
    probe_arrives: fn(u64, u8) -> bool,
    /// Whether the voter's replies reach the gate.
    reply_arrives: fn(u64, u8) -> bool,
    gate_reads: fn(u64) -> bool,
    /// When the withdrawal of a key is in the log and applied by voters 1 and 2; never by voter 3.
    withdrawn_at: u64,
}

const HEALTHY: Scenario = Scenario {
    log_up: |_| true,
    probe_arrives: |_, _| true,
    reply_arrives: |_, _| true,
    gate_reads: |_| true,
    withdrawn_at: u64::MAX,
};

impl Scenario {
    /// Simulates 20 s. Returns for each step its time, whether the gate is fresh, and whether it
    /// has the withdrawal.
    fn run(&self) -> Vec<(u64, bool, bool)> {
        let start = Instant::now();
        let mut gate = process("g", start);
        let mut offset = 10;
        let steps = (0..20_000).step_by(STEP as usize);
        steps
            .map(|at| {
                self.step(&mut gate, &mut offset, start, at);
                let fresh = gate.fresh_until() > Some(start + ms(at));
                (at, fresh, offset > 10)
            })
            .collect()
    }

    fn step(&self, gate: &mut Freshness, offset: &mut u64, start: Instant, at: u64) {
        let now = start + ms(at);
        let asked = now - ms(STEP);
        let head = 10 + u64::from(at >= self.withdrawn_at);
        let reads = (self.log_up)(at) && (self.gate_reads)(at);
        for voter in (1..=3)
            .filter(|voter| (self.probe_arrives)(at, *voter) && (self.reply_arrives)(at, *voter))
        {
            let held = if voter == 3 { 10 } else { head };
            *offset = held.max(*offset);
            gate.observe(now, probe_reply_of(voter, asked, held, None));
        }
        if reads {
            *offset = head;
        }
        gate.observe(now, record_applied(*offset));
        if reads {
            gate.observe(now, FreshnessEvent::Head { asked });
        }
    }

    /// Times at which the gate may start work although it lacks the withdrawal.
    fn wrongly_started(&self, may_start: impl Fn(u64, bool) -> bool) -> Vec<u64> {
        self.run()
            .into_iter()
            .filter(|&(at, fresh, knows)| at >= self.withdrawn_at && !knows && may_start(at, fresh))
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
#[test_case(Scenario { log_up: |at| at < 5000, ..HEALTHY }, ALWAYS; "log down, all voters")]
#[test_case(Scenario { log_up: |at| at < 5000, reply_arrives: |_, voter| voter != 1, ..HEALTHY }, ALWAYS; "log down, two voters")]
#[test_case(Scenario { log_up: |at| at < 5000, reply_arrives: |_, voter| voter == 1, ..HEALTHY }, NEVER; "log down, one voter")]
#[test_case(Scenario { log_up: |at| at < 5000, probe_arrives: |_, _| false, ..HEALTHY }, NEVER; "log down, one way cut there")]
#[test_case(Scenario { log_up: |at| at < 5000, reply_arrives: |_, _| false, ..HEALTHY }, NEVER; "log down, one way cut back")]
#[test_case(Scenario { reply_arrives: |_, _| false, ..HEALTHY }, ALWAYS; "no voter, log up")]
#[test_case(Scenario { gate_reads: |_| false, reply_arrives: |_, _| false, ..HEALTHY }, NEVER; "cut off")]
fn a_gate_is_fresh_while_it_must_know_all(world: Scenario, expected: (bool, bool)) {
    assert_eq!(
        world.fresh_from(5000 + FRESHNESS_TTL.as_millis() as u64),
        expected
    );
}

/// The gate loses the log and voters 1 and 2 at 4.9 s. The key is withdrawn at 5 s, and the log
/// fails at 9 s.
const PARTITIONED: Scenario = Scenario {
    log_up: |at| at < 9000,
    probe_arrives: |_, _| true,
    reply_arrives: |at, voter| at < 4900 || voter == 3,
    gate_reads: |at| at < 4900,
    withdrawn_at: 5000,
};

#[test]
fn a_withdrawn_key_stops_in_time_at_a_gate_that_is_cut_off() {
    let started = PARTITIONED.wrongly_started(|_, fresh| fresh);
    assert!(
        started
            .iter()
            .all(|at| *at <= 5000 + FRESHNESS_TTL.as_millis() as u64)
    );
}

#[test]
fn fresh_whenever_the_log_is_down_would_let_a_withdrawn_key_live_on() {
    let log_up = PARTITIONED.log_up;
    let started = PARTITIONED.wrongly_started(|at, fresh| fresh || !log_up(at));
    assert_eq!(started.last(), Some(&(20_000 - STEP)));
}

#[test]
fn one_voter_for_a_majority_would_let_a_withdrawn_key_live_on() {
    let reply_arrives = PARTITIONED.reply_arrives;
    let any_voter = |at| (1..=3).any(|voter| reply_arrives(at, voter));
    let started = PARTITIONED.wrongly_started(|at, fresh| fresh || any_voter(at));
    assert_eq!(started.last(), Some(&(20_000 - STEP)));
}

#[test]
fn stopping_whenever_the_log_is_down_would_refuse_all_work() {
    let down = Scenario {
        log_up: |at| at < 5000,
        ..HEALTHY
    };
    let late = 5000 + FRESHNESS_TTL.as_millis() as u64;
    assert_eq!(down.fresh_from(late), ALWAYS);
    let (_, some) = Scenario {
        reply_arrives: |_, _| false,
        ..down
    }
    .fresh_from(late);
    assert!(!some, "without replies of the voters the gate is not fresh");
}
