//! Tests with the largest numbers that entries of other writers can hold.

use mimosastep::batch::Resources;
use mimosastep::batch::Shares;
use mimosastep::batch::Step;
use test_case::test_case;

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::step;
use crate::simulation::team;

const LARGEST: Resources = Resources {
    cpu: u64::MAX,
    memory: u64::MAX,
    gpu: u64::MAX,
};

const ONE: Resources = Resources {
    cpu: 1,
    memory: 1,
    gpu: 1,
};

/// Guards against a sum of the largest demands that wraps around and then seems to fit anywhere.
#[test]
fn the_largest_demand_fits_beside_nothing() {
    assert!(!LARGEST.fits(&ONE, &ONE));
    assert!(!LARGEST.fits(&LARGEST, &LARGEST));
    assert!(LARGEST.fits(&Resources::default(), &LARGEST));
    assert_eq!(LARGEST.times(3), LARGEST);
    let mut sum = LARGEST;
    sum.add(&ONE);
    assert_eq!(sum, LARGEST);
}

/// Guards against an overflow in the share of a team with the largest weight.
#[test]
fn a_team_with_the_largest_weight_is_within_its_share() {
    let mut shares = Shares::default();
    for unix in [0, 1, u64::MAX] {
        assert!(shares.admit(unix, &team("team-1"), u64::MAX));
    }
}

/// Guards against an overflow in the sums over jobs, which ended the owner's term in a test build
/// and gave wrong sums in a release build.
#[test_case(u64::MAX, 1; "estimate")]
#[test_case(1_000, u64::MAX; "demand")]
#[test_case(u64::MAX, u64::MAX; "both")]
fn a_job_with_the_largest_numbers_stops_no_other(estimate: u64, cpu: u64) {
    let mut sim = Simulation::new(&[("captions", 4), ("spare", 2)]);
    let largest = Step {
        estimate,
        demand: Resources {
            cpu,
            memory: 1,
            gpu: 0,
        },
        ..step(4)
    };
    sim.submit(1, "captions", vec![largest.clone(), largest.clone()]);
    sim.submit(2, "captions", vec![largest]);
    sim.submit(3, "captions", vec![step(8)]);
    sim.run(10_000);
    sim.replace_owner(2);
    sim.submit(4, "captions", vec![step(8)]);
    sim.run(20_000);
    for number in [3, 4] {
        let done = sim.done.iter().filter(|task| task.job == job_id(number));
        assert_eq!(done.count(), 8);
    }
}
