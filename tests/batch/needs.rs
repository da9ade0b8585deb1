//! What a pool needs, and what keeps hosts from it.

use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;

use crate::world::World;
use crate::world::id;
use crate::world::long_running;
use crate::world::step;

/// A step of tasks that last and take little but memory, in MB.
fn memory(count: u32, memory: u64) -> Step {
    Step {
        spread: None,
        demand: Resources {
            cpu: 500,
            memory,
            gpu: 0,
        },
        ..long_running(count)
    }
}

/// Number of tasks of a job that run.
fn running(world: &World, job: u64) -> usize {
    let tasks = world.fakes.values().flat_map(|fake| fake.works.keys());
    tasks.filter(|task| task.job == id(job)).count()
}

/// The fault: ten tasks that fill three hosts by their memory and a third of one by their
/// processor; the pool keeps two hosts, and the last tasks wait for ever.
#[test]
fn memory_counts_as_need_of_a_pool() {
    let mut world = World::new(&[("captions", 3), ("spare", 3)]);
    world.submit(1, "captions", vec![memory(12, 20_000)]);
    world.run(8_000);
    assert_eq!(running(&world, 1), 12);
}

/// The fault: hosts have memory enough in all, but none has enough for one more task.
#[test]
fn a_task_that_lasts_gets_a_host_though_only_parts_of_hosts_are_left() {
    let mut world = World::new(&[("captions", 2), ("spare", 4)]);
    world.submit(1, "captions", vec![memory(4, 40_000)]);
    world.run(6_000);
    assert_eq!(running(&world, 1), 4);
    world.submit(2, "captions", vec![memory(1, 30_000)]);
    world.run(6_000);
    assert_eq!(running(&world, 2), 1);
}

/// The fault: a queue was flooded, and most of its work is far too late. The queue whose turn it
/// is gets no host as long as that work fills them all.
#[test]
fn work_that_is_far_too_late_keeps_no_host_from_a_queue_in_its_turn() {
    let mut world = World::new(&[("captions", 10), ("tags", 10), ("spare", 2)]);
    world.script = Box::new(|task, _| (700 + u64::from(task.index) * 40, RunOutcome::Done));
    for number in 0..500 {
        world.submit(number, "captions", vec![step(16)]);
    }
    world.run(10_000);
    let mut number = 1_000;
    for _ in 0..30 {
        number += 1;
        world.submit(number, "tags", vec![step(16)]);
        world.run(100);
    }
    world.run(2_600);
    let done = world.done.iter().filter(|task| task.job >= id(1_000));
    let done = done.count();
    assert!(done >= 400, "{done} of 480 in their turn");
    world.run(40_000);
    assert_eq!(
        world.done.len(),
        500 * 16 + 480,
        "late work is done as well"
    );
}
