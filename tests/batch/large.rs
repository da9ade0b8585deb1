//! Tests of a large site.

use std::collections::BTreeMap;

use mimosastep::batch::JobState;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;

use crate::simulation::Simulation;
use crate::simulation::long_running;
use crate::simulation::step;

const POOLS: [&str; 4] = ["captions", "plaques", "tags", "panels"];
/// Jobs submitted per second.
const RATE: u64 = 80;

/// A step of eight tasks of 1.4 cores and 640 ms.
fn typical_step() -> Step {
    Step {
        demand: Resources {
            cpu: 1_400,
            memory: 200,
            gpu: 0,
        },
        estimate: 640,
        ..step(8)
    }
}

/// 350 hosts get 80 jobs a second, each of two steps of eight tasks; the queue changes every two
/// seconds.
#[test]
fn short_jobs_of_a_large_site_are_done_in_seconds() {
    let pools = POOLS.map(|pool| (pool, 70));
    let mut sim = Simulation::new(&[&pools[..], &[("spare", 70)]].concat());
    sim.script = Box::new(|_, _| (640, RunOutcome::Done));
    for (number, pool) in (1..).zip(POOLS.iter().cycle().take(40)) {
        sim.submit(number, pool, vec![long_running(24)]);
    }
    sim.run(2_000);
    let mut jobs = BTreeMap::new();
    for number in 0..RATE * 8 {
        let pool = POOLS[(number / (RATE * 2)) as usize % POOLS.len()];
        jobs.insert(
            sim.submit(1_000 + number, pool, vec![typical_step(), typical_step()]),
            pool,
        );
        sim.run(1_000 / RATE);
    }
    sim.run(6_000);
    for (job, pool) in jobs {
        assert_eq!(sim.job_state(pool, job), JobState::Completed, "{job}");
    }
    assert_eq!(sim.done.len() as u64, RATE * 8 * 16);
}

/// After an outage thousands of tasks are waiting. Starts are limited per round, so that an owner
/// with little CPU is not overloaded.
#[test]
fn a_backlog_is_started_in_portions() {
    let pools = POOLS.map(|pool| (pool, 70));
    let mut sim = Simulation::new(&pools);
    sim.script = Box::new(|_, _| (640, RunOutcome::Done));
    for number in 0..400 {
        sim.submit(number, POOLS[0], vec![typical_step()]);
    }
    let mut largest = 0;
    for _ in 0..100 {
        let started = sim.starts.len();
        sim.run(5);
        largest = largest.max(sim.starts.len() - started);
    }
    assert!(largest <= 100, "{largest} starts at once");
    sim.run(10_000);
    assert_eq!(sim.done.len(), 3_200);
}

/// A step has more tasks than start orders may be in flight.
#[test]
fn what_waits_for_answers_goes_on_as_soon_as_they_come() {
    let mut sim = Simulation::new(&[("captions", 12)]);
    sim.submit(1, "captions", vec![step(150)]);
    sim.run(60);
    assert_eq!(sim.starts.len(), 150);
}

/// After an outage the log has grown faster than the owner reads it. The unread records may cancel
/// jobs that it is about to start.
#[test]
fn nothing_is_started_while_the_log_is_read_late() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.log_backlog = true;
    sim.submit(1, "captions", vec![step(2)]);
    sim.run(200);
    assert_eq!(sim.starts.len(), 2, "a short lag does not stop starts");
    sim.run(200);
    sim.submit(2, "captions", vec![step(2)]);
    sim.run(1_000);
    assert_eq!(sim.starts.len(), 2);
    sim.log_backlog = false;
    sim.submit(3, "captions", vec![step(2)]);
    sim.run(100);
    assert_eq!(sim.starts.len(), 6);
}
