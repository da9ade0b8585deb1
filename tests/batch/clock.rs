//! Tests that work goes on when the time of day is set forward or back.

use std::time::Duration;
use std::time::Instant;

use test_case::test_case;

use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Schedule;
use mimosastep::batch::Step;

use crate::simulation::Simulation;
use crate::simulation::step;

/// Longest time without a start after the time of day has been set.
const PAUSE: Duration = Duration::from_millis(500);

/// Returns the longest time without a start from `from` on, until the last start.
fn longest_pause(sim: &Simulation, from: Instant) -> Duration {
    let times = sim.starts.iter().map(|start| start.0);
    let mut times: Vec<Instant> = times.filter(|&at| at >= from).collect();
    times.insert(0, from);
    let pauses = times.windows(2).map(|pair| pair[1] - pair[0]);
    pauses.max().expect("no start")
}

/// Guards against new jobs that stood still while the time of day was behind that of their
/// acceptance, whenever the owner last checked for due occurrences.
#[test_case(0)]
#[test_case(5)]
#[test_case(10)]
#[test_case(15)]
fn jobs_accepted_before_the_time_goes_back_start_at_once(offset: u64) {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.run(offset);
    for number in 0..4 {
        sim.submit(number, "captions", vec![step(1)]);
        sim.run(5);
    }
    sim.run(5);
    let from = sim.now.at;
    sim.now.unix -= 4_000;
    sim.run(6_000);
    assert_eq!(sim.starts.len(), 4);
    let pause = longest_pause(&sim, from);
    assert!(pause < PAUSE, "no start for {pause:?}");
}

/// Guards against due occurrences that were to be looked at again soon, by the time of day.
#[test]
fn occurrences_that_wait_for_others_go_on_when_the_time_goes_back() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.script = Box::new(|_, _| (20, RunOutcome::Done));
    let small = Step {
        demand: Resources {
            cpu: 50,
            memory: 1,
            gpu: 0,
        },
        estimate: 20,
        ..step(2_001)
    };
    let schedule = Schedule {
        count: 100,
        start: 0,
        interval: 1,
    };
    sim.submit_scheduled(1, "captions", vec![small], schedule);
    sim.run(500);
    let from = sim.now.at;
    sim.now.unix -= 4_000;
    sim.run(6_000);
    let pause = longest_pause(&sim, from);
    assert!(pause < PAUSE, "no start for {pause:?}");
}

/// Guards against jobs that stay too late, behind all newer ones, after the time of day was ahead for
/// a moment.
#[test]
fn jobs_are_as_late_as_before_when_the_time_goes_forward_and_back() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    for number in 0..20 {
        sim.submit(number, "captions", vec![step(16)]);
    }
    sim.run(500);
    sim.now.unix += 60_000;
    sim.run(500);
    sim.now.unix -= 60_000;
    // At the end, the backlog is compared with one that is computed anew.
    sim.run(500);
}

/// Returns how many jobs are ranked in a second.
fn ranked_in_a_second(sim: &mut Simulation) -> u64 {
    let before = sim.owner().dispatcher.effort();
    sim.run(1_000);
    sim.owner().dispatcher.effort().since(&before).ranked
}

#[test]
fn jobs_are_ranked_once_more_when_the_time_goes_back() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    for number in 0..4_000 {
        sim.submit(number, "captions", vec![step(16)]);
    }
    // Then all are too late, and the time alone changes no rank any more.
    sim.run(10_000);
    let calm = ranked_in_a_second(&mut sim);
    sim.now.unix -= 1_000;
    let ranked = ranked_in_a_second(&mut sim);
    assert!(
        (3_000..5_000).contains(&(ranked - calm)),
        "{ranked} jobs ranked, {calm} before"
    );
}
