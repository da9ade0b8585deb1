//! Checks the invariants of gates and schedulers under injected faults, in virtual time and over
//! many seeds.

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
use crate::simulation::Defect;
use crate::simulation::Simulation;

const SEEDS: u64 = 120;

type Scenario = fn(u64, Option<Defect>) -> Simulation;

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
    let fractions = (0..SEEDS).map(|seed| served_fraction(&faults(seed, None)));
    let mean = fractions.sum::<f64>() / SEEDS as f64;
    assert!(mean > 0.9, "{mean:.3}");
}

#[test]
fn a_service_is_served_soon_after_its_outage() {
    for seed in 0..SEEDS {
        let millis = recovery_ms(&outage(seed, None), 0, OUTAGE_END);
        assert!(millis <= 2_000, "seed {seed}: {millis} ms");
    }
}

#[test_case(faults, Defect::LostAnswer, "0 answers")]
#[test_case(faults, Defect::DuplicateAnswer, "2 answers")]
#[test_case(faults, Defect::MismatchedAnswer, "the answer to")]
#[test_case(faults, Defect::BrokenAsNotRun, "times")]
#[test_case(faults, Defect::UnknownAsNotRun, "but started")]
#[test_case(faults, Defect::ForgottenRefusals, "started")]
#[test_case(outage, Defect::InflatedRetryBudgets, "retries of")]
#[test_case(faults, Defect::StaleState, "taken out")]
fn a_broken_promise_is_noticed(scenario: Scenario, defect: Defect, what: &str) {
    let detected = (0..SEEDS).any(|seed| {
        let found = violations(&scenario(seed, Some(defect)));
        found.iter().any(|violation| violation.contains(what))
    });
    assert!(detected, "{defect:?} is not detected");
}
