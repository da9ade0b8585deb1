//! A large site, as the grown deployments are.

use std::collections::BTreeMap;
use std::time::Instant;

use mimosastep::batch::Demand;
use mimosastep::batch::How;
use mimosastep::batch::JobState;
use mimosastep::batch::Step;

use crate::world::World;
use crate::world::lasting;
use crate::world::step;

const POOLS: [&str; 4] = ["captions", "plaques", "tags", "panels"];
/// Jobs handed in a second.
const RATE: u64 = 80;

fn draft() -> Step {
    Step {
        demand: Demand {
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
    world.script = Box::new(|_, _| (640, How::Done));
    for (number, pool) in (1..).zip(POOLS.iter().cycle().take(40)) {
        world.submit(number, pool, vec![lasting(24)]);
    }
    world.run(2_000);
    let begun = Instant::now();
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
    println!("played in {:?}", begun.elapsed());
    for (job, pool) in jobs {
        assert_eq!(world.state(pool, job), JobState::Completed, "{job}");
    }
    assert!(world.starts.len() >= id_count(RATE * 8 * 8));
}

fn id_count(number: u64) -> usize {
    usize::try_from(number).expect("a small number")
}
