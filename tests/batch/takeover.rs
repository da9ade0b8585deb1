//! What a change of owners costs, at hundreds of executors.

use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::ExecutorId;

use crate::world::World;
use crate::world::id;
use crate::world::step;

const HOSTS: usize = 300;
const JOBS: u64 = 600;

/// How the executor that the next owner doesn't reach has fallen silent.
#[derive(Debug, Clone, Copy)]
enum Silence {
    /// It runs on.
    Cut,
    /// It is dead.
    Dead,
}

fn second(count: u32) -> Step {
    Step {
        after: vec![0],
        ..step(count)
    }
}

/// A site of which every host is busy, with as many jobs waiting as are running.
fn busy_site() -> World {
    let mut world = World::new(&[("captions", HOSTS)]);
    world.script = Box::new(|_, _| (1_000, RunOutcome::Done));
    for number in 0..JOBS {
        world.submit(number, "captions", vec![step(8), second(8)]);
    }
    world.run(900);
    world
}

fn silence(world: &mut World, silence: Silence) -> ExecutorId {
    let busy = world.fakes.iter().find(|(_, fake)| !fake.works.is_empty());
    let id = busy.expect("a busy executor").0.clone();
    match silence {
        Silence::Cut => {
            world.leader().cut.insert(id.clone());
            let fake = world.fakes.get_mut(&id).expect("a fake");
            for work in fake.works.values_mut() {
                work.ends = None;
            }
        }
        Silence::Dead => {
            let fake = world.fakes.get_mut(&id).expect("a fake");
            fake.down = true;
            fake.works.clear();
        }
    }
    id
}

fn starts_in(world: &mut World, ms: u64) -> usize {
    let before = world.starts.len();
    world.run(ms);
    world.starts.len() - before
}

/// The pattern: the owner is lost while one of three hundred executors is silent.
#[test_case::test_case(Silence::Cut; "it runs on")]
#[test_case::test_case(Silence::Dead; "it is dead")]
fn one_silent_executor_does_not_hold_up_a_service(kind: Silence) {
    let mut calm = busy_site();
    calm.take_over(2);
    let usual = starts_in(&mut calm, 2_000);
    let mut world = busy_site();
    silence(&mut world, kind);
    world.take_over(2);
    let starts = starts_in(&mut world, 2_000);
    assert!(starts * 10 >= usual * 8, "{starts} starts, {usual} without");
    world.run(12_000);
    assert_eq!(world.done.len() as u64, JOBS * 16);
}

/// The pattern: three owners are lost within the time of one lease.
#[test]
fn the_wait_for_a_silent_executor_does_not_begin_anew_with_each_owner() {
    let mut world = busy_site();
    let cut = silence(&mut world, Silence::Cut);
    for fence in 2..5 {
        world.take_over(fence);
        world.run(2_000);
    }
    let there = world.fakes[&cut].works.len();
    assert_eq!(there, 0, "its leases are over");
    // 6.3 s until the leases of an owner that is cut off are over, and two steps of 1 s.
    world.run(2_700);
    assert_eq!(world.done.len() as u64, JOBS * 16);
}

/// The pattern: an executor is lost long before the owner is.
#[test]
fn an_owner_does_not_wait_for_executors_whose_leases_an_earlier_one_saw_lapse() {
    let mut world = busy_site();
    silence(&mut world, Silence::Cut);
    world.run(6_000);
    for number in 0..100 {
        world.submit(9_000 + number, "captions", vec![step(8), second(8)]);
    }
    world.run(500);
    world.take_over(2);
    world.run(2_500);
    let done = world.done.iter().filter(|task| task.job >= id(9_000));
    assert_eq!(done.count(), 1_600, "none of them is held");
}

/// The pattern: a host was ordered to another pool just before the owner was lost, and its record
/// of the executor's end was lost with it.
#[test]
fn an_executor_whose_host_is_in_another_pool_is_not_waited_for() {
    let mut world = World::new(&[("captions", 40), ("tags", 2)]);
    world.submit(1, "captions", vec![step(400)]);
    world.run(200);
    let dead = silence(&mut world, Silence::Dead);
    world.relocate(&dead, "tags");
    world.take_over(2);
    world.run(2_500);
    let done = world.done.iter().filter(|task| task.job == id(1));
    assert_eq!(done.count(), 400);
}

/// The pattern: no executor answers the next owner. Work that may not start yet is no reason to fetch hosts, nor to keep them.
#[test]
fn held_work_is_no_need_of_its_pool() {
    let mut world = World::new(&[("captions", 8), ("tags", 4), ("spare", 40)]);
    world.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    world.submit(1, "captions", vec![step(100)]);
    world.run(200);
    let cut: Vec<ExecutorId> = world.fakes.keys().cloned().collect();
    world.leader().cut.extend(cut);
    world.take_over(2);
    let moves = world.moves;
    world.run(3_000);
    let fewest = 2 * 2;
    let moves = world.moves - moves;
    assert!(moves <= fewest, "{moves} moves for work that may not start");
}

/// The pattern: a rack falls silent while starts for its executors are on their way.
#[test]
fn executors_that_do_not_answer_do_not_use_up_the_starts_on_their_way() {
    let mut world = World::new(&[("captions", 20), ("tags", 4)]);
    let ids: Vec<ExecutorId> = world.fakes.keys().cloned().collect();
    let captions = |id: &ExecutorId| id.as_str().starts_with("captions");
    world.leader().cut.extend(ids.into_iter().filter(captions));
    world.submit(1, "captions", vec![step(100)]);
    world.run(50);
    world.submit(2, "tags", vec![step(24)]);
    world.run(400);
    let tags = world
        .starts
        .iter()
        .filter(|(_, task, ..)| task.job == id(2));
    assert_eq!(tags.count(), 24);
}
