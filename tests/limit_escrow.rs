//! A team never runs more tasks than its limit under faults, and no permits are lost permanently.

mod share_fleet;

use mimosastep::record::Team;
use rand::RngExt;
use share_fleet::Defect;
use share_fleet::Fleet;
use share_fleet::fleet_state;
use test_case::test_case;

const SEEDS: u64 = 120;
const SCHEDS: usize = 3;
const GATES: usize = 3;
const LIMIT: u32 = 12;
/// How long faults are injected, in milliseconds.
const FAULTS_MS: u64 = 30_000;
/// Time to recover, in milliseconds.
const RECOVERY_MS: u64 = 30_000;

fn team(limit: u32) -> Team {
    Team {
        weight: 1,
        limit,
        urgent: false,
    }
}

fn fleet(seed: u64, defect: Defect) -> Fleet {
    let state = fleet_state(6, 2, 4, &[("t", team(LIMIT)), ("u", team(1000))]);
    Fleet::new(seed, SCHEDS, GATES, state, defect)
}

/// Submits more requests than the limit allows, most of them to one service at a time.
fn submit_load(fleet: &mut Fleet) {
    if fleet.now.is_multiple_of(10) {
        let gate = SCHEDS + fleet.rng.random_range(0..GATES);
        let random_service = fleet.rng.random_range(0..6);
        let busy_service = (fleet.now / 700 % 6) as usize;
        let service = ["s0", "s1", "s2", "s3", "s4", "s5"][if fleet.rng.random_bool(0.2) {
            random_service
        } else {
            busy_service
        }];
        fleet.submit(gate, "t", service, false, 1_000);
    }
}

/// Injects a random fault, or ends all faults, now and then.
fn inject_fault(fleet: &mut Fleet) {
    if !fleet.now.is_multiple_of(250) || fleet.rng.random_bool(0.5) {
        return;
    }
    let index = fleet.rng.random_range(0..SCHEDS + GATES);
    let other = fleet.rng.random_range(0..SCHEDS);
    let until = fleet.now + fleet.rng.random_range(100..12_000);
    match fleet.rng.random_range(0..10) {
        0 => fleet.kill(index),
        1 | 2 if fleet.is_member(index) => fleet.remove_member(index),
        3 => fleet.freeze(index, until),
        4 | 5 if index != other => fleet.cut(index, other),
        6 => fleet.stop_log_reads(index, true),
        7 => fleet.leave(index),
        8 => {
            let limit = fleet.rng.random_range(2..2 * LIMIT);
            fleet.limit("t", limit);
        }
        _ => fleet.heal(),
    }
}

/// Only planned leaves, after the hold-off for all processes that were removed earlier has passed.
fn leave(fleet: &mut Fleet) {
    if [12_000, 14_000].contains(&fleet.now) {
        fleet.leave((fleet.now / 2_000 % 3) as usize);
    }
}

fn no_event(_: &mut Fleet) {}

fn run(fleet: &mut Fleet, until: u64, event: fn(&mut Fleet)) {
    while fleet.now < until && fleet.violations.is_empty() {
        submit_load(fleet);
        event(fleet);
        fleet.step();
    }
}

/// Returns the first seed with a violation, and a violation of it.
fn first_violation(event: fn(&mut Fleet), defect: Defect) -> Option<(u64, String)> {
    (0..SEEDS).find_map(|seed| {
        let mut fleet = fleet(seed, defect);
        fleet.lossy = true;
        run(&mut fleet, FAULTS_MS, event);
        let violation = fleet.violations.pop()?;
        Some((seed, violation))
    })
}

#[test_case(inject_fault; "all faults")]
#[test_case(leave; "planned moves")]
fn nothing_leads_beyond_the_limit(event: fn(&mut Fleet)) {
    assert_eq!(first_violation(event, Defect::None), None);
}

#[test_case(inject_fault, Defect::NoHoldOff)]
#[test_case(inject_fault, Defect::AcceptStaleReports)]
#[test_case(leave, Defect::SkipReports)]
fn each_rule_is_needed(event: fn(&mut Fleet), defect: Defect) {
    assert!(first_violation(event, defect).is_some());
}

#[test]
fn permits_come_back_after_faults() {
    for seed in 0..20 {
        let mut fleet = fleet(seed, Defect::None);
        fleet.lossy = true;
        run(&mut fleet, FAULTS_MS / 2, inject_fault);
        for index in 0..SCHEDS + GATES {
            fleet.freeze(index, 0);
            fleet.kill(index);
        }
        fleet.lossy = false;
        fleet.heal();
        fleet.limit("t", LIMIT);
        let until = fleet.now + RECOVERY_MS;
        run(&mut fleet, until, no_event);
        assert_eq!(fleet.violations, Vec::<String>::new());
        // Permits in transit have no holder, so this takes the maximum over a second.
        let (mut max_held, mut used_ms) = (0, 0);
        for _ in 0..1_000 {
            let until = fleet.now + 1;
            run(&mut fleet, until, no_event);
            max_held = max_held.max(fleet.held("t"));
            used_ms += fleet.running("t");
        }
        assert_eq!(max_held, LIMIT, "seed {seed}");
        assert!(used_ms > LIMIT * 750, "seed {seed}: {used_ms} ms in use");
    }
}

/// A scheduler is marked as leaving and removed half a second later. Its permits are available
/// without the hold-off, also if nobody needs them while it leaves.
#[test]
fn a_planned_leave_gives_its_permits_back_first() {
    let mut fleet = fleet(1, Defect::None);
    let advance = |fleet: &mut Fleet, until: u64| (fleet.now..until).for_each(|_| fleet.step());
    advance(&mut fleet, 10_000);
    assert_eq!(fleet.held("t"), LIMIT);
    let leaver = (0..SCHEDS)
        .find(|index| Some(*index) != fleet.ledger("t"))
        .expect("a holder");
    fleet.leave(leaver);
    advance(&mut fleet, 10_500);
    fleet.remove_member(leaver);
    fleet.kill(leaver);
    advance(&mut fleet, 12_000);
    assert_eq!(fleet.held("t"), LIMIT);
}
