//! Tests of how many hosts a pool needs.

use mimosastep::batch::Host;
use mimosastep::batch::HostPhase;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::DcName;
use mimosastep::name::HostName;
use test_case::test_case;

use crate::simulation::HOST_CPU;
use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::service;
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

/// Guards against a need by memory that is distorted by a host's entry with an impossible capacity:
/// a pool fetches all hosts, or lacks those that it needs.
#[test_case(u64::MAX, 1; "largest CPU")]
#[test_case(1, u64::MAX; "largest memory")]
#[test_case(16_000, 64_000; "possible")]
fn an_impossible_capacity_of_one_host_changes_no_need(cpu: u64, memory: u64) {
    let mut sim = Simulation::new(&[("captions", 3), ("tags", 3), ("spare", 4)]);
    sim.odd_hosts.push(Host {
        name: HostName::new("odd-0").expect("invalid name"),
        pool: service("captions"),
        phase: HostPhase::Up,
        dc: DcName::new("dc-a").expect("invalid name"),
        capacity: Resources {
            cpu,
            memory,
            gpu: 0,
        },
    });
    sim.submit(1, "captions", vec![memory_step(12, 20_000)]);
    sim.run(8_000);
    assert_eq!(count_running(&sim, 1), 12);
    let hosts = sim.executors_of("captions").count();
    assert!(hosts <= 5, "{hosts} hosts where 4 and a margin are needed");
}

/// Guards against hosts that are fetched for jobs that fit on no host.
#[test_case(step(4); "tasks that end")]
#[test_case(long_running(4); "tasks that last")]
#[test_case(Step { spread: Some(1), ..step(8) }; "tasks that are spread")]
fn jobs_that_fit_on_no_host_fetch_none(fitting: Step) {
    let mut sim = Simulation::new(&[("captions", 2), ("spare", 6)]);
    let cpu = HOST_CPU * 2;
    let demand = Resources {
        cpu,
        ..fitting.demand
    };
    for number in 0..20 {
        let too_large = Step {
            demand,
            ..fitting.clone()
        };
        sim.submit(number, "captions", vec![too_large]);
        sim.run(500);
    }
    assert_eq!(sim.moves, 0, "hosts moved");
    sim.submit(100, "captions", vec![step(16)]);
    sim.run(4_000);
    assert_eq!(sim.done.len(), 16);
}
