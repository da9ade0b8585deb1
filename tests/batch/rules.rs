//! Tests of the basic scheduling rules, without faults.

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::TaskId;

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::step;

#[test]
fn steps_run_in_their_order_and_the_job_completes() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let mut second = step(4);
    second.after = vec![0];
    let job = sim.submit(1, "captions", vec![step(3), second]);
    sim.run(900);
    assert_eq!(sim.job_state("captions", job), JobState::Running);
    assert!(sim.starts.iter().all(|(_, task, ..)| task.step == 0));
    sim.run(2_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
    assert_eq!(sim.done.len(), 7);
}

#[test]
fn capacity_is_never_exceeded_and_all_work_is_done() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    for number in 0..20 {
        sim.submit(number, "captions", vec![step(6)]);
    }
    sim.run(500);
    for fake in sim.fakes.values() {
        assert!(fake.used().cpu <= fake.capacity.cpu);
    }
    sim.run(6_000);
    assert_eq!(sim.done.len(), 120);
}

#[test]
fn a_task_that_always_fails_fails_its_job_after_its_attempts() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(|_, _| (200, RunOutcome::Failed));
    let job = sim.submit(1, "captions", vec![step(1)]);
    sim.run(3_000);
    assert_eq!(sim.job_state("captions", job), JobState::Failed);
    assert_eq!(sim.starts.len(), 3);
}

#[test]
fn a_cancelled_job_is_stopped_at_once() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    let job = sim.submit(1, "captions", vec![step(5)]);
    sim.run(300);
    sim.cancel(job);
    sim.run(1_100);
    assert_eq!(sim.job_state("captions", job), JobState::Cancelled);
    assert!(sim.fakes.values().all(|fake| fake.runs.is_empty()));
}

#[test]
fn at_most_so_many_tasks_of_a_step_share_an_executor() {
    let mut sim = Simulation::new(&[("captions", 3)]);
    sim.submit(1, "captions", vec![long_running(3)]);
    sim.run(500);
    for fake in sim.fakes.values() {
        assert_eq!(fake.runs.len(), 1);
    }
}

#[test]
fn a_gang_starts_whole_and_under_one_run() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let mut gang = step(20);
    gang.gang = true;
    sim.submit(1, "captions", vec![step(30)]);
    sim.run(50);
    sim.submit(2, "captions", vec![gang]);
    sim.run(500);
    assert!(sim.starts.iter().all(|(_, task, ..)| task.job == job_id(1)));
    sim.run(1_000);
    let gang = sim
        .starts
        .iter()
        .filter(|(_, task, ..)| task.job == job_id(2));
    let runs: Vec<u64> = gang.map(|(_, _, run, _)| *run).collect();
    assert_eq!(runs.len(), 20);
    assert!(runs.iter().all(|run| *run == runs[0]));
}

#[test]
fn a_task_that_lasts_is_started_again_however_it_ends() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let job = sim.submit(1, "captions", vec![long_running(1)]);
    sim.run(500);
    let task = TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let executor = sim
        .executors_running(&task)
        .pop()
        .expect("task is not running");
    let fake = sim.fakes.get_mut(&executor).expect("unknown executor");
    let now = sim.now.at;
    fake.runs
        .get_mut(&task)
        .expect("task is not running")
        .planned_end = Some((now, RunOutcome::Failed));
    sim.run(1_500);
    assert_eq!(sim.executors_running(&task).len(), 1);
    assert_eq!(sim.starts.len(), 2);
}

#[test]
fn a_step_runs_only_where_the_advice_service_allows_it() {
    let mut sim = Simulation::new(&[("captions", 3)]);
    sim.require_advice("captions");
    let first = sim.fakes.keys().next().expect("no executors").clone();
    let refused = first.clone();
    sim.permits = Box::new(move |_, id| *id != refused);
    let job = sim.submit(1, "captions", vec![step(6)]);
    sim.run(3_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
    assert!(sim.consultations >= 1);
    assert!(sim.starts.iter().all(|(.., executor)| *executor != first));
}
