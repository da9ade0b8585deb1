//! A large site, as the grown deployments are.

use std::collections::BTreeMap;

use mimosastep::batch::JobState;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;

use crate::world::World;
use crate::world::long_running;
use crate::world::step;

const POOLS: [&str; 4] = ["captions", "plaques", "tags", "panels"];
/// Jobs handed in a second.
const RATE: u64 = 80;

fn draft() -> Step {
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

/// The pattern: three hundred and fifty hosts, eighty jobs of eight tasks a second in turns.
#[test]
fn short_jobs_of_a_large_site_are_done_in_seconds() {
    let pools = POOLS.map(|pool| (pool, 70));
    let mut world = World::new(&[&pools[..], &[("spare", 70)]].concat());
    world.script = Box::new(|_, _| (640, RunOutcome::Done));
    for (number, pool) in (1..).zip(POOLS.iter().cycle().take(40)) {
        world.submit(number, pool, vec![long_running(24)]);
    }
    world.run(2_000);
    let mut jobs = BTreeMap::new();
    for number in 0..RATE * 8 {
        let pool = POOLS[(number / (RATE * 2)) as usize % POOLS.len()];
        jobs.insert(
            world.submit(1_000 + number, pool, vec![draft(), draft()]),
            pool,
        );
        world.run(1_000 / RATE);
    }
    world.run(6_000);
    for (job, pool) in jobs {
        assert_eq!(world.state(pool, job), JobState::Completed, "{job}");
    }
    assert_eq!(world.done.len() as u64, RATE * 8 * 16);
}

/// The pattern: an outage ends, and thousands of tasks wait for an owner that is short of
/// processor.
#[test]
fn a_backlog_is_started_in_portions() {
    let pools = POOLS.map(|pool| (pool, 70));
    let mut world = World::new(&pools);
    world.script = Box::new(|_, _| (640, RunOutcome::Done));
    for number in 0..400 {
        world.submit(number, POOLS[0], vec![draft()]);
    }
    let mut most = 0;
    for _ in 0..100 {
        let begun = world.starts.len();
        world.run(5);
        most = most.max(world.starts.len() - begun);
    }
    assert!(most <= 100, "{most} starts at once");
    world.run(10_000);
    assert_eq!(world.done.len(), 3_200);
}

/// The pattern: one wide step, of more tasks than may be ordered to start at once.
#[test]
fn what_waits_for_answers_goes_on_as_soon_as_they_come() {
    let mut world = World::new(&[("captions", 12)]);
    world.submit(1, "captions", vec![step(150)]);
    world.run(60);
    assert_eq!(world.starts.len(), 150);
}

/// The pattern: an outage ends, and the log has grown faster than the owner reads it; among what
/// it has not read may be the cancelling of what it is about to start.
#[test]
fn nothing_is_started_while_the_log_is_read_late() {
    let mut world = World::new(&[("captions", 2)]);
    world.behind = true;
    world.submit(1, "captions", vec![step(2)]);
    world.run(200);
    assert_eq!(world.starts.len(), 2, "it may be behind for a moment");
    world.run(200);
    world.submit(2, "captions", vec![step(2)]);
    world.run(1_000);
    assert_eq!(world.starts.len(), 2);
    world.behind = false;
    world.submit(3, "captions", vec![step(2)]);
    world.run(100);
    assert_eq!(world.starts.len(), 6);
}
