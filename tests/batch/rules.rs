//! What holds on a calm day.

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::TaskId;

use crate::world::World;
use crate::world::id;
use crate::world::long_running;
use crate::world::step;

#[test]
fn steps_run_in_their_order_and_the_job_completes() {
    let mut world = World::new(&[("captions", 2)]);
    let mut second = step(4);
    second.after = vec![0];
    let job = world.submit(1, "captions", vec![step(3), second]);
    world.run(900);
    assert_eq!(world.state("captions", job), JobState::Running);
    assert!(world.starts.iter().all(|(_, task, ..)| task.step == 0));
    world.run(2_000);
    assert_eq!(world.state("captions", job), JobState::Completed);
    assert_eq!(world.done.len(), 7);
}

#[test]
fn capacity_is_never_exceeded_and_all_work_is_done() {
    let mut world = World::new(&[("captions", 2)]);
    for number in 0..20 {
        world.submit(number, "captions", vec![step(6)]);
    }
    world.run(500);
    for fake in world.fakes.values() {
        assert!(fake.used().cpu <= fake.capacity.cpu);
    }
    world.run(6_000);
    assert_eq!(world.done.len(), 120);
}

#[test]
fn a_task_that_always_fails_fails_its_job_after_its_attempts() {
    let mut world = World::new(&[("captions", 2)]);
    world.script = Box::new(|_, _| (200, RunOutcome::Failed));
    let job = world.submit(1, "captions", vec![step(1)]);
    world.run(3_000);
    assert_eq!(world.state("captions", job), JobState::Failed);
    assert_eq!(world.starts.len(), 3);
}

#[test]
fn a_cancelled_job_is_stopped_at_once() {
    let mut world = World::new(&[("captions", 2)]);
    world.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    let job = world.submit(1, "captions", vec![step(5)]);
    world.run(300);
    world.cancel(job);
    world.run(1_100);
    assert_eq!(world.state("captions", job), JobState::Cancelled);
    assert!(world.fakes.values().all(|fake| fake.works.is_empty()));
}

#[test]
fn at_most_so_many_tasks_of_a_step_share_an_executor() {
    let mut world = World::new(&[("captions", 3)]);
    world.submit(1, "captions", vec![long_running(3)]);
    world.run(500);
    for fake in world.fakes.values() {
        assert_eq!(fake.works.len(), 1);
    }
}

#[test]
fn a_gang_starts_whole_and_under_one_run() {
    let mut world = World::new(&[("captions", 2)]);
    let mut gang = step(20);
    gang.gang = true;
    world.submit(1, "captions", vec![step(30)]);
    world.run(50);
    world.submit(2, "captions", vec![gang]);
    world.run(500);
    assert!(world.starts.iter().all(|(_, task, ..)| task.job == id(1)));
    world.run(1_000);
    let gang = world
        .starts
        .iter()
        .filter(|(_, task, ..)| task.job == id(2));
    let runs: Vec<u64> = gang.map(|(_, _, run, _)| *run).collect();
    assert_eq!(runs.len(), 20);
    assert!(runs.iter().all(|run| *run == runs[0]));
}

#[test]
fn a_task_that_lasts_is_started_again_however_it_ends() {
    let mut world = World::new(&[("captions", 2)]);
    let job = world.submit(1, "captions", vec![long_running(1)]);
    world.run(500);
    let task = TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let executor = world.runs(&task).pop().expect("it runs");
    let fake = world.fakes.get_mut(&executor).expect("a fake");
    let now = world.now.at;
    fake.works.get_mut(&task).expect("it runs").ends = Some((now, RunOutcome::Failed));
    world.run(1_500);
    assert_eq!(world.runs(&task).len(), 1);
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_step_runs_only_where_the_advice_service_allows_it() {
    let mut world = World::new(&[("captions", 3)]);
    world.advise("captions");
    let job = world.submit(1, "captions", vec![step(6)]);
    world.run(3_000);
    assert_eq!(world.state("captions", job), JobState::Completed);
    assert!(world.consulted >= 1);
    let first = world.fakes.keys().next().expect("an executor");
    assert!(world.starts.iter().all(|(.., executor)| executor != first));
}
