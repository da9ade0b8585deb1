//! What operators write is in force at once.

use std::collections::BTreeSet;

use mimosastep::batch::RunOutcome;
use mimosastep::name::ExecutorId;

use crate::world::World;
use crate::world::long_running;
use crate::world::step;
use crate::world::team;

/// Processor of all that runs, in thousandths of a core.
fn running_cpu(world: &World) -> u64 {
    world.fakes.values().map(|fake| fake.used().cpu).sum()
}

/// Executors on which tasks began after the first `begun` starts.
fn used_since(world: &World, begun: usize) -> BTreeSet<ExecutorId> {
    let starts = world.starts[begun..].iter();
    starts.map(|(.., executor)| executor.clone()).collect()
}

#[test]
fn an_executor_that_leaves_ends_its_work_and_gets_no_more() {
    let mut world = World::new(&[("captions", 2)]);
    world.submit(1, "captions", vec![step(4)]);
    world.run(300);
    let leaving = world.starts[0].3.clone();
    world.leaving.insert(leaving.clone());
    world.run(250);
    let begun = world.starts.len();
    world.submit(2, "captions", vec![step(8)]);
    world.run(3_000);
    assert_eq!(world.done.len(), 12, "nothing was interrupted");
    assert!(!used_since(&world, begun).contains(&leaving));
}

#[test]
fn a_closed_data_centre_gets_no_work_until_it_is_opened() {
    let mut world = World::new(&[("captions", 4)]);
    world.close("dc-a", true);
    for number in 0..4 {
        world.submit(number, "captions", vec![step(16)]);
    }
    world.run(4_000);
    let executors = used_since(&world, 0);
    let inside = |id: &ExecutorId| !id.as_str().starts_with("captions-0");
    assert_eq!(executors.len(), 2, "{executors:?}");
    assert!(executors.iter().all(inside), "{executors:?}");
    let begun = world.starts.len();
    world.close("dc-a", false);
    world.submit(10, "captions", vec![step(64)]);
    world.run(500);
    assert_eq!(used_since(&world, begun).len(), 4);
}

#[test]
fn a_team_never_has_more_running_than_its_limit() {
    let mut world = World::new(&[("captions", 2)]);
    world.admit_team("fitters", 1, 5_000);
    for number in 0..4 {
        world.submit_as(Some(team("fitters")), number, "captions", vec![step(4)]);
    }
    for _ in 0..60 {
        world.run(100);
        assert!(running_cpu(&world) <= 5_000);
    }
    assert_eq!(world.done.len(), 16);
}

#[test]
fn a_lowered_limit_starts_nothing_until_enough_has_ended() {
    let mut world = World::new(&[("captions", 2)]);
    world.admit_team("fitters", 1, 8_000);
    world.script = Box::new(|task, _| (1_000 + 200 * u64::from(task.index), RunOutcome::Done));
    world.submit_as(Some(team("fitters")), 1, "captions", vec![step(24)]);
    world.run(500);
    assert_eq!(running_cpu(&world), 8_000);
    world.admit_team("fitters", 1, 3_000);
    let begun = world.starts.len();
    while running_cpu(&world) > 3_000 {
        world.run(5);
        assert_eq!(world.starts.len(), begun);
    }
    for _ in 0..100 {
        world.run(100);
        assert!(running_cpu(&world) <= 3_000);
    }
}

#[test]
fn a_limit_holds_while_an_owner_takes_over() {
    let mut world = World::new(&[("captions", 3)]);
    world.admit_team("fitters", 1, 6_000);
    world.script = Box::new(|_, _| (1_500, RunOutcome::Done));
    world.submit_as(Some(team("fitters")), 1, "captions", vec![step(60)]);
    for fence in 2..6 {
        for _ in 0..14 {
            world.run(50);
            assert!(running_cpu(&world) <= 6_000, "{}", running_cpu(&world));
        }
        world.take_over(fence);
    }
}

#[test]
fn a_task_that_lasts_comes_back_elsewhere_when_its_executor_has_left() {
    let mut world = World::new(&[("captions", 3)]);
    world.submit(1, "captions", vec![long_running(1)]);
    world.run(500);
    let leaving = world.starts[0].3.clone();
    world.leaving.insert(leaving.clone());
    world.run(500);
    let fake = world.fakes.get_mut(&leaving).expect("a fake");
    fake.down = true;
    fake.works.clear();
    world.run(7_000);
    assert_eq!(used_since(&world, 1).len(), 1);
    assert!(!used_since(&world, 1).contains(&leaving));
}
