//! Tests of how many hosts a pool needs.

use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::step;

/// A step of long-running tasks that need `memory` MB and little CPU.
fn memory_step(count: u32, memory: u64) -> Step {
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

/// Number of running tasks of a job.
fn count_running(sim: &Simulation, job: u64) -> usize {
    let tasks = sim.fakes.values().flat_map(|fake| fake.runs.keys());
    tasks.filter(|task| task.job == job_id(job)).count()
}

/// Guards against a pool sized by CPU only: for ten tasks that fill three hosts by memory but a
/// third of one by CPU, the pool keeps two hosts, and the last tasks never start.
#[test]
fn memory_counts_as_need_of_a_pool() {
    let mut sim = Simulation::new(&[("captions", 3), ("spare", 3)]);
    sim.submit(1, "captions", vec![memory_step(12, 20_000)]);
    sim.run(8_000);
    assert_eq!(count_running(&sim, 1), 12);
}

/// Guards against a pool sized by total free memory: no single host has enough for one more task.
#[test]
fn a_task_that_lasts_gets_a_host_though_only_parts_of_hosts_are_left() {
    let mut sim = Simulation::new(&[("captions", 2), ("spare", 4)]);
    sim.submit(1, "captions", vec![memory_step(4, 40_000)]);
    sim.run(6_000);
    assert_eq!(count_running(&sim, 1), 4);
    sim.submit(2, "captions", vec![memory_step(1, 30_000)]);
    sim.run(6_000);
    assert_eq!(count_running(&sim, 2), 1);
}

/// Guards against starvation: after a flood most work of one queue is far past its objective. While
/// that work fills all hosts, the queue with current demand gets none.
#[test]
fn work_that_is_far_too_late_keeps_no_host_from_a_queue_in_its_turn() {
    let mut sim = Simulation::new(&[("captions", 10), ("tags", 10), ("spare", 2)]);
    sim.script = Box::new(|task, _| (700 + u64::from(task.index) * 40, RunOutcome::Done));
    for number in 0..500 {
        sim.submit(number, "captions", vec![step(16)]);
    }
    sim.run(10_000);
    let mut number = 1_000;
    for _ in 0..30 {
        number += 1;
        sim.submit(number, "tags", vec![step(16)]);
        sim.run(100);
    }
    sim.run(2_600);
    let done = sim.done.iter().filter(|task| task.job >= job_id(1_000));
    let done = done.count();
    assert!(done >= 400, "{done} of 480 completed in time");
    sim.run(40_000);
    assert_eq!(
        sim.done.len(),
        500 * 16 + 480,
        "overdue work was not completed"
    );
}
