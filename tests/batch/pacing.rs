//! Fill work beside tasks that serve.

use crate::world::World;
use crate::world::long_running;
use crate::world::step;

/// The pattern: fill work pushes the tail of a serving task over its target; the tail falls with
/// the pace.
#[test]
fn fill_work_is_slowed_until_the_serving_task_is_well() {
    let mut world = World::new(&[("captions", 1)]);
    let mut serving = long_running(1);
    serving.target = Some(100);
    let mut filling = step(2);
    filling.best_effort = true;
    filling.long_running = true;
    world.tail = Box::new(|pace| 40 + pace);
    for fake in world.fakes.values_mut() {
        fake.tail = 140;
    }
    world.submit(1, "captions", vec![serving]);
    world.submit(2, "captions", vec![filling]);
    world.run(3_000);
    let pace = world.paces.last().expect("an order on the pace").1;
    assert!(
        40 + pace < 100,
        "the tail is over its target at pace {pace}"
    );
    assert!(pace >= 10, "more than needed was taken: pace {pace}");
}

#[test]
fn fill_work_alone_is_not_slowed() {
    let mut world = World::new(&[("captions", 1)]);
    let mut filling = step(2);
    filling.best_effort = true;
    world.submit(2, "captions", vec![filling]);
    world.run(1_000);
    assert!(world.paces.is_empty());
}
