//! Tests of how a change of owners affects a site with hundreds of executors.

use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::ExecutorId;

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::step;

const HOSTS: usize = 300;
const JOBS: u64 = 600;

/// Why an executor does not answer the next owner.
#[derive(Debug, Clone, Copy)]
enum Silence {
    /// It is unreachable and its tasks keep running.
    Unreachable,
    /// It has crashed.
    Dead,
}

/// A step that starts after the first step of its job.
fn dependent_step(count: u32) -> Step {
    Step {
        after: vec![0],
        ..step(count)
    }
}

/// A site on which every host is busy and as many jobs are waiting as are running.
fn busy_site() -> Simulation {
    let mut sim = Simulation::new(&[("captions", HOSTS)]);
    sim.script = Box::new(|_, _| (1_000, RunOutcome::Done));
    for number in 0..JOBS {
        sim.submit(number, "captions", vec![step(8), dependent_step(8)]);
    }
    sim.run(900);
    sim
}

/// Makes a busy executor stop answering; returns its id.
fn silence_executor(sim: &mut Simulation, silence: Silence) -> ExecutorId {
    let busy = sim.fakes.iter().find(|(_, fake)| !fake.runs.is_empty());
    let id = busy.expect("no executor is busy").0.clone();
    match silence {
        Silence::Unreachable => {
            sim.owner().unreachable.insert(id.clone());
            let fake = sim.fakes.get_mut(&id).expect("unknown executor");
            for fake_run in fake.runs.values_mut() {
                fake_run.planned_end = None;
            }
        }
        Silence::Dead => {
            let fake = sim.fakes.get_mut(&id).expect("unknown executor");
            fake.down = true;
            fake.runs.clear();
        }
    }
    id
}

/// Number of tasks started within `ms` milliseconds.
fn starts_in(sim: &mut Simulation, ms: u64) -> usize {
    let before = sim.starts.len();
    sim.run(ms);
    sim.starts.len() - before
}

/// The owner crashes while one of 300 executors does not answer.
#[test_case::test_case(Silence::Unreachable; "it runs on")]
#[test_case::test_case(Silence::Dead; "it is dead")]
fn one_silent_executor_does_not_hold_up_a_service(kind: Silence) {
    let mut healthy = busy_site();
    healthy.replace_owner(2);
    let usual = starts_in(&mut healthy, 2_000);
    let mut sim = busy_site();
    silence_executor(&mut sim, kind);
    sim.replace_owner(2);
    let starts = starts_in(&mut sim, 2_000);
    assert!(
        starts * 10 >= usual * 8,
        "{starts} starts with a silent executor, {usual} without"
    );
    sim.run(12_000);
    assert_eq!(sim.done.len() as u64, JOBS * 16);
}

/// Three owners crash within the duration of one lease.
#[test]
fn the_wait_for_a_silent_executor_does_not_begin_anew_with_each_owner() {
    let mut sim = busy_site();
    let unreachable = silence_executor(&mut sim, Silence::Unreachable);
    for fence in 2..5 {
        sim.replace_owner(fence);
        sim.run(2_000);
    }
    let left = sim.fakes[&unreachable].runs.len();
    assert_eq!(left, 0, "runs continue after their lease has expired");
    // Leases of an unreachable owner are over after 6.3 s; two steps of 1 s follow.
    sim.run(2_700);
    assert_eq!(sim.done.len() as u64, JOBS * 16);
}

/// Guards against a job that stands still for longer than the users bear: 3 s, from 4 s after the last
/// disruption on. The owner and the executor of its only task are lost at the same moment, and until a
/// next owner is elected 1.5 s may pass.
#[test]
fn a_job_whose_executor_and_owner_are_lost_goes_on_within_seven_seconds() {
    let mut sim = Simulation::new(&[("captions", 9)]);
    sim.script = Box::new(|_, _| (20_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(1_500);
    silence_executor(&mut sim, Silence::Dead);
    sim.replace_owner(2);
    sim.run(7_000 - 1_500);
    assert_eq!(sim.starts.len(), 2, "nothing runs of the job");
}

/// An executor becomes unreachable long before the owner crashes.
#[test]
fn an_owner_does_not_wait_for_executors_whose_leases_an_earlier_one_saw_lapse() {
    let mut sim = busy_site();
    silence_executor(&mut sim, Silence::Unreachable);
    sim.run(6_000);
    for number in 0..100 {
        sim.submit(9_000 + number, "captions", vec![step(8), dependent_step(8)]);
    }
    sim.run(500);
    sim.replace_owner(2);
    sim.run(2_500);
    let done = sim.done.iter().filter(|task| task.job >= job_id(9_000));
    assert_eq!(
        done.count(),
        1_600,
        "some jobs wait for the unreachable executor"
    );
}

/// A host is ordered to another pool just before the owner crashes, and the record that its
/// executor has ended is lost with the owner.
#[test]
fn an_executor_whose_host_is_in_another_pool_is_not_waited_for() {
    let mut sim = Simulation::new(&[("captions", 40), ("tags", 2)]);
    sim.submit(1, "captions", vec![step(400)]);
    sim.run(200);
    let dead = silence_executor(&mut sim, Silence::Dead);
    sim.relocate_host(&dead, "tags");
    sim.replace_owner(2);
    sim.run(2_500);
    let done = sim.done.iter().filter(|task| task.job == job_id(1));
    assert_eq!(done.count(), 400);
}

/// No executor answers the next owner. Work that may not start yet is no reason to fetch or to keep
/// hosts.
#[test]
fn held_work_is_no_need_of_its_pool() {
    let mut sim = Simulation::new(&[("captions", 8), ("tags", 4), ("spare", 40)]);
    sim.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(100)]);
    sim.run(200);
    let unreachable: Vec<ExecutorId> = sim.fakes.keys().cloned().collect();
    sim.owner().unreachable.extend(unreachable);
    sim.replace_owner(2);
    let moves = sim.moves;
    sim.run(3_000);
    let limit = 2 * 2;
    let moves = sim.moves - moves;
    assert!(moves <= limit, "{moves} moves for work that may not start");
}

/// A rack stops answering while start orders for its executors are in flight.
#[test]
fn executors_that_do_not_answer_do_not_use_up_the_starts_on_their_way() {
    let mut sim = Simulation::new(&[("captions", 20), ("tags", 4)]);
    let ids: Vec<ExecutorId> = sim.fakes.keys().cloned().collect();
    let captions = |id: &ExecutorId| id.as_str().starts_with("captions");
    sim.owner()
        .unreachable
        .extend(ids.into_iter().filter(captions));
    sim.submit(1, "captions", vec![step(100)]);
    sim.run(50);
    sim.submit(2, "tags", vec![step(24)]);
    sim.run(400);
    let tags = sim
        .starts
        .iter()
        .filter(|(_, task, ..)| task.job == job_id(2));
    assert_eq!(tags.count(), 24);
}
