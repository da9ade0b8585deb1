//! No team starts beyond its limit, whatever fails, and its permits come back.

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
/// Time with faults and time to recover, in milliseconds.
const FAULTY: u64 = 30_000;
const CALM: u64 = 30_000;

fn team(limit: u32) -> Team {
    Team {
        weight: 1,
        limit,
        urgent: false,
    }
}

fn fleet(seed: u64, fault: Defect) -> Fleet {
    let state = fleet_state(6, 2, 4, &[("t", team(LIMIT)), ("u", team(1000))]);
    Fleet::new(seed, SCHEDS, GATES, state, fault)
}

/// Keeps more coming than the limit allows, most of it for one service at a time.
fn load(fleet: &mut Fleet) {
    if fleet.now.is_multiple_of(10) {
        let gate = SCHEDS + fleet.rng.random_range(0..GATES);
        let any = fleet.rng.random_range(0..6);
        let hot = (fleet.now / 700 % 6) as usize;
        let service = ["s0", "s1", "s2", "s3", "s4", "s5"]
            [if fleet.rng.random_bool(0.2) { any } else { hot }];
        fleet.submit(gate, "t", service, false, 1_000);
    }
}

/// Something goes wrong now and then.
fn harm(fleet: &mut Fleet) {
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
        6 => fleet.deafen(index, true),
        7 => fleet.leave(index),
        8 => {
            let limit = fleet.rng.random_range(2..2 * LIMIT);
            fleet.limit("t", limit);
        }
        _ => fleet.heal(),
    }
}

/// Only planned moves of roles, once all ended processes are surely gone.
fn leave(fleet: &mut Fleet) {
    if [12_000, 14_000].contains(&fleet.now) {
        fleet.leave((fleet.now / 2_000 % 3) as usize);
    }
}

fn calm(_: &mut Fleet) {}

fn run(fleet: &mut Fleet, until: u64, event: fn(&mut Fleet)) {
    while fleet.now < until && fleet.violations.is_empty() {
        load(fleet);
        event(fleet);
        fleet.step();
    }
}

/// Violations of the first seed that has any.
fn first_violation(event: fn(&mut Fleet), fault: Defect) -> Option<(u64, String)> {
    (0..SEEDS).find_map(|seed| {
        let mut fleet = fleet(seed, fault);
        fleet.lossy = true;
        run(&mut fleet, FAULTY, event);
        let violation = fleet.violations.pop()?;
        Some((seed, violation))
    })
}

#[test_case(harm; "all faults")]
#[test_case(leave; "planned moves")]
fn nothing_leads_beyond_the_limit(event: fn(&mut Fleet)) {
    assert_eq!(first_violation(event, Defect::None), None);
}

#[test_case(harm, Defect::NoHoldOff)]
#[test_case(harm, Defect::BlindTrust)]
#[test_case(leave, Defect::NoWait)]
fn each_rule_is_needed(event: fn(&mut Fleet), fault: Defect) {
    assert!(first_violation(event, fault).is_some());
}

#[test]
fn permits_come_back_after_faults() {
    for seed in 0..20 {
        let mut fleet = fleet(seed, Defect::None);
        fleet.lossy = true;
        run(&mut fleet, FAULTY / 2, harm);
        for index in 0..SCHEDS + GATES {
            fleet.freeze(index, 0);
            fleet.kill(index);
        }
        fleet.lossy = false;
        fleet.heal();
        fleet.limit("t", LIMIT);
        let until = fleet.now + CALM;
        run(&mut fleet, until, calm);
        assert_eq!(fleet.violations, Vec::<String>::new());
        // Permits that are moving are in nobody's hands, so a second is looked at.
        let (mut most, mut sum) = (0, 0);
        for _ in 0..1_000 {
            let until = fleet.now + 1;
            run(&mut fleet, until, calm);
            most = most.max(fleet.held("t"));
            sum += fleet.running("t");
        }
        assert_eq!(most, LIMIT, "seed {seed}");
        assert!(sum > LIMIT * 750, "seed {seed}: {sum} ms in use");
    }
}

/// A scheduler leaves by plan and is ended half a second later; its permits are not held off, also
/// if nobody needs them while it leaves.
#[test]
fn a_planned_leave_gives_its_permits_back_first() {
    let mut fleet = fleet(1, Defect::None);
    let pass = |fleet: &mut Fleet, until: u64| (fleet.now..until).for_each(|_| fleet.step());
    pass(&mut fleet, 10_000);
    assert_eq!(fleet.held("t"), LIMIT);
    let leaver = (0..SCHEDS)
        .find(|index| Some(*index) != fleet.ledger("t"))
        .expect("a holder");
    fleet.leave(leaver);
    pass(&mut fleet, 10_500);
    fleet.remove_member(leaver);
    fleet.kill(leaver);
    pass(&mut fleet, 12_000);
    assert_eq!(fleet.held("t"), LIMIT);
}
