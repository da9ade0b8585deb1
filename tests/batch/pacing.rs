//! Tests of the pace of best-effort tasks beside serving tasks.

use crate::simulation::Simulation;
use crate::simulation::long_running;
use crate::simulation::step;

/// Best-effort tasks push the tail latency of a serving task over its target; the latency falls
/// with their pace.
#[test]
fn fill_work_is_slowed_until_the_serving_task_is_well() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    let mut serving = long_running(1);
    serving.target = Some(100);
    let mut best_effort = step(2);
    best_effort.best_effort = true;
    best_effort.long_running = true;
    sim.tail_latency = Box::new(|pace| 40 + pace);
    for fake in sim.fakes.values_mut() {
        fake.tail_latency = 140;
    }
    sim.submit(1, "captions", vec![serving]);
    sim.submit(2, "captions", vec![best_effort]);
    sim.run(3_000);
    let pace = sim.pace_orders.last().expect("no pace order was sent").1;
    assert!(
        40 + pace < 100,
        "tail latency is not below its target at pace {pace}"
    );
    assert!(pace >= 10, "slowed more than needed: pace {pace}");
}

#[test]
fn fill_work_alone_is_not_slowed() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    let mut best_effort = step(2);
    best_effort.best_effort = true;
    sim.submit(2, "captions", vec![best_effort]);
    sim.run(1_000);
    assert!(sim.pace_orders.is_empty());
}
