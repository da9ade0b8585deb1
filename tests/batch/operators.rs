//! Tests that changes by operators take effect at once.

use std::collections::BTreeSet;

use mimosastep::batch::RunOutcome;
use mimosastep::name::ExecutorId;

use crate::simulation::Simulation;
use crate::simulation::long_running;
use crate::simulation::step;
use crate::simulation::team;

/// CPU of all runs, in millicores.
fn running_cpu(sim: &Simulation) -> u64 {
    sim.fakes.values().map(|fake| fake.used().cpu).sum()
}

/// Executors of all task starts from number `first` on, counted from 0.
fn used_since(sim: &Simulation, first: usize) -> BTreeSet<ExecutorId> {
    let starts = sim.starts[first..].iter();
    starts.map(|(.., executor)| executor.clone()).collect()
}

#[test]
fn an_executor_that_leaves_ends_its_work_and_gets_no_more() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.submit(1, "captions", vec![step(4)]);
    sim.run(300);
    let draining = sim.starts[0].3.clone();
    sim.draining.insert(draining.clone());
    sim.run(250);
    let started = sim.starts.len();
    sim.submit(2, "captions", vec![step(8)]);
    sim.run(3_000);
    assert_eq!(sim.done.len(), 12, "a task was interrupted");
    assert!(!used_since(&sim, started).contains(&draining));
}

#[test]
fn a_closed_data_centre_gets_no_work_until_it_is_opened() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.close_dc("dc-a", true);
    for number in 0..4 {
        sim.submit(number, "captions", vec![step(16)]);
    }
    sim.run(4_000);
    let executors = used_since(&sim, 0);
    let open = |id: &ExecutorId| !id.as_str().starts_with("captions-0");
    assert_eq!(executors.len(), 2, "{executors:?}");
    assert!(executors.iter().all(open), "{executors:?}");
    let started = sim.starts.len();
    sim.close_dc("dc-a", false);
    sim.submit(10, "captions", vec![step(64)]);
    sim.run(500);
    assert_eq!(used_since(&sim, started).len(), 4);
}

#[test]
fn a_team_never_has_more_running_than_its_limit() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.set_team("fitters", 1, 5_000);
    for number in 0..4 {
        sim.submit_as(Some(team("fitters")), number, "captions", vec![step(4)]);
    }
    for _ in 0..60 {
        sim.run(100);
        assert!(running_cpu(&sim) <= 5_000);
    }
    assert_eq!(sim.done.len(), 16);
}

#[test]
fn a_lowered_limit_starts_nothing_until_enough_has_ended() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.set_team("fitters", 1, 8_000);
    sim.script = Box::new(|task, _| (1_000 + 200 * u64::from(task.index), RunOutcome::Done));
    sim.submit_as(Some(team("fitters")), 1, "captions", vec![step(24)]);
    sim.run(500);
    assert_eq!(running_cpu(&sim), 8_000);
    sim.set_team("fitters", 1, 3_000);
    let started = sim.starts.len();
    while running_cpu(&sim) > 3_000 {
        sim.run(5);
        assert_eq!(sim.starts.len(), started);
    }
    for _ in 0..100 {
        sim.run(100);
        assert!(running_cpu(&sim) <= 3_000);
    }
}

#[test]
fn a_limit_holds_while_an_owner_takes_over() {
    let mut sim = Simulation::new(&[("captions", 3)]);
    sim.set_team("fitters", 1, 6_000);
    sim.script = Box::new(|_, _| (1_500, RunOutcome::Done));
    sim.submit_as(Some(team("fitters")), 1, "captions", vec![step(60)]);
    for fence in 2..6 {
        for _ in 0..14 {
            sim.run(50);
            assert!(
                running_cpu(&sim) <= 6_000,
                "{} millicores running",
                running_cpu(&sim)
            );
        }
        sim.replace_owner(fence);
    }
}

#[test]
fn a_task_that_lasts_comes_back_elsewhere_when_its_executor_has_left() {
    let mut sim = Simulation::new(&[("captions", 3)]);
    sim.submit(1, "captions", vec![long_running(1)]);
    sim.run(500);
    let draining = sim.starts[0].3.clone();
    sim.draining.insert(draining.clone());
    sim.run(500);
    let fake = sim.fakes.get_mut(&draining).expect("unknown executor");
    fake.down = true;
    fake.runs.clear();
    sim.run(7_000);
    assert_eq!(used_since(&sim, 1).len(), 1);
    assert!(!used_since(&sim, 1).contains(&draining));
}
