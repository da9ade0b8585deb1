//! Tests that no lease outlasts the time that its owner waits for it.

use std::time::Duration;

use test_case::test_case;

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::name::ExecutorId;

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::step;

/// A site whose executors' clocks have a rate of `percent`.
fn site(percent: u32) -> Simulation {
    let mut sim = Simulation::new(&[("captions", 3)]);
    for fake in sim.fakes.values_mut() {
        fake.clock_percent = percent;
    }
    sim
}

/// Submits a job with one task and waits until it runs; returns its executor.
fn start_task(sim: &mut Simulation) -> ExecutorId {
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(400);
    sim.starts.last().expect("no start").3.clone()
}

/// Guards against a task that runs on two executors: the first lease after a time without work was
/// reckoned from an old reading of a clock that is 2% slow, and outlasted what the owner waits.
#[test_case(15_000)]
#[test_case(75_000)]
#[test_case(600_000)]
fn a_task_does_not_run_twice_when_its_executor_was_idle_for_long(idle: u64) {
    let mut sim = site(98);
    sim.script = Box::new(|_, _| (12_000, RunOutcome::Done));
    sim.run(idle);
    let unreachable = start_task(&mut sim);
    sim.owner().unreachable.insert(unreachable);
    // The simulation checks at all times that no task runs on two executors.
    sim.run(8_000);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a lease after a time without work that outlasts what the next owner waits.
#[test]
fn a_task_does_not_run_twice_when_a_long_idle_site_loses_its_owner() {
    let mut sim = site(98);
    sim.script = Box::new(|_, _| (12_000, RunOutcome::Done));
    sim.run(75_000);
    let unreachable = start_task(&mut sim);
    sim.owner().unreachable.insert(unreachable);
    sim.replace_owner(2);
    sim.run(8_000);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against runs that end in an outage of the store which is shorter than their owner may go on without
/// it: no lease was renewed on an executor with ends that were not in the log yet.
#[test]
fn leases_go_on_while_ends_wait_for_the_log() {
    let mut sim = site(100);
    sim.script = Box::new(|task, _| {
        let ms = if task.index % 2 == 0 { 600 } else { 12_000 };
        (ms, RunOutcome::Done)
    });
    sim.submit(1, "captions", vec![step(12)]);
    sim.run(300);
    sim.owner().store_down = true;
    sim.run(5_500);
    let running: usize = sim.fakes.values().map(|fake| fake.runs.len()).sum();
    sim.restore_store();
    assert_eq!(running, 6, "some runs lapsed");
    sim.run(8_000);
    assert_eq!(sim.job_state("captions", job_id(1)), JobState::Completed);
    assert_eq!(sim.starts.len(), 12);
}

/// Guards against leases that are too short to start anything after a time without work.
#[test_case(98)]
#[test_case(100)]
fn a_task_starts_at_once_however_long_its_executor_was_idle(percent: u32) {
    let mut sim = site(percent);
    sim.run(900_000);
    let executor = start_task(&mut sim);
    let lease = sim.fakes[&executor].lease.expect("no lease");
    assert!(lease > sim.now.at + Duration::from_secs(3));
    sim.run(1_000);
    assert_eq!(sim.job_state("captions", job_id(1)), JobState::Completed);
}

/// Makes the executor of the last start unreachable for `ms` milliseconds.
fn cut_off(sim: &mut Simulation, ms: u64) {
    let unreachable = sim.starts.last().expect("no start").3.clone();
    sim.owner().unreachable.insert(unreachable);
    sim.run(ms);
    sim.owner().unreachable.clear();
}

/// Guards against a task that runs on two executors: its executor had restarted without being listed,
/// took an order with a deadline on the clock of its earlier process for one of the longest lease, and
/// then could not be reached.
#[test_case(100, 6_000, 100; "just idle")]
#[test_case(1_000, 6_000, 100; "idle for a moment")]
#[test_case(7_000, 6_000, 100; "idle")]
#[test_case(7_000, 6_000, 98; "idle with a slow clock")]
#[test_case(45_000, 10_000, 98; "idle for long, longer leases")]
fn a_task_does_not_run_twice_when_its_executor_restarted_unnoticed(
    idle: u64,
    limit: u64,
    percent: u32,
) {
    let mut sim = site(percent);
    for fake in sim.fakes.values_mut() {
        fake.lease_limit = limit;
    }
    sim.set_lease_limit(limit);
    sim.run(8_000);
    start_task(&mut sim);
    sim.run(1_200 + idle);
    sim.script = Box::new(|_, _| (14_000, RunOutcome::Done));
    sim.restart_unlisted();
    sim.run(50);
    sim.submit(2, "captions", vec![step(1)]);
    sim.run(200);
    cut_off(&mut sim, limit + 3_000);
    sim.run(20_000);
    assert_eq!(sim.starts.len(), 3);
    assert_eq!(sim.job_state("captions", job_id(2)), JobState::Completed);
}

/// Guards against the same where the answer to the order is lost as well, or the owner is lost next.
#[test_case(false; "answer lost")]
#[test_case(true; "owner lost")]
fn a_task_does_not_run_twice_when_its_executor_restarted_unnoticed_and(owner_lost: bool) {
    let mut sim = site(98);
    sim.run(10_000);
    sim.script = Box::new(|_, _| (14_000, RunOutcome::Done));
    sim.restart_unlisted();
    sim.run(50);
    sim.lost_starts = usize::from(!owner_lost);
    sim.submit(1, "captions", vec![step(1)]);
    while sim.starts.is_empty() {
        sim.run(5);
    }
    let unreachable = sim.starts[0].3.clone();
    sim.owner().unreachable.insert(unreachable);
    if owner_lost {
        sim.replace_owner(2);
    }
    sim.run(9_000);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a task that waits for a lease on an idle executor which has died unnoticed.
#[test]
fn a_task_is_not_held_up_by_an_idle_executor_that_is_dead() {
    let mut sim = site(100);
    let dead = start_task(&mut sim);
    sim.run(3_000);
    sim.owner().unreachable.insert(dead.clone());
    sim.submit(2, "captions", vec![step(1)]);
    sim.run(500);
    assert_eq!(sim.starts.len(), 2, "the task waits");
    assert!(sim.starts[1].3 != dead);
}
