//! Gates and schedulers keep their promises under faults, in virtual time over many seeds.

mod backend;
mod call;
mod cluster;
mod invariants;
mod scenarios;
mod simulation;

use test_case::test_case;

use crate::invariants::recovery_ms;
use crate::invariants::served_fraction;
use crate::invariants::violations;
use crate::scenarios::OUTAGE_END;
use crate::scenarios::faults;
use crate::scenarios::outage;
use crate::simulation::Break;
use crate::simulation::Simulation;

const SEEDS: u64 = 120;

type Scenario = fn(u64, Option<Break>) -> Simulation;

#[test_case(faults)]
#[test_case(outage)]
fn promises_hold_over_many_seeds(scenario: Scenario) {
    for seed in 0..SEEDS {
        let found = violations(&scenario(seed, None));
        assert!(
            found.is_empty(),
            "seed {seed}: {:#?}",
            &found[..found.len().min(5)]
        );
    }
}

#[test]
fn most_requests_are_served_under_faults() {
    let parts = (0..SEEDS).map(|seed| served_fraction(&faults(seed, None)));
    let mean = parts.sum::<f64>() / SEEDS as f64;
    assert!(mean > 0.9, "{mean:.3}");
}

#[test]
fn a_service_is_served_soon_after_its_outage() {
    for seed in 0..SEEDS {
        let millis = recovery_ms(&outage(seed, None), 0, OUTAGE_END);
        assert!(millis <= 2_000, "seed {seed}: {millis} ms");
    }
}

#[test_case(faults, Break::LostAnswer, "0 answers")]
#[test_case(faults, Break::SecondAnswer, "2 answers")]
#[test_case(faults, Break::CrossedAnswer, "the answer to")]
#[test_case(faults, Break::BrokenIsNotRun, "times")]
#[test_case(faults, Break::UnknownIsNotRun, "but started")]
#[test_case(faults, Break::Forgetful, "started")]
#[test_case(outage, Break::UnpaidRetries, "retries of")]
#[test_case(faults, Break::OldState, "taken out")]
fn a_broken_promise_is_noticed(scenario: Scenario, broken: Break, what: &str) {
    let noticed = (0..SEEDS).any(|seed| {
        let found = violations(&scenario(seed, Some(broken)));
        found.iter().any(|violation| violation.contains(what))
    });
    assert!(noticed, "{broken:?} goes unnoticed");
}
