//! Owners and executors that die, fall silent or lose answers.

use mimosastep::batch::JobState;
use mimosastep::batch::Record;
use mimosastep::batch::RunOutcome;

use crate::world::World;
use crate::world::long_running;
use crate::world::step;

#[test]
fn a_new_owner_keeps_what_runs_and_starts_nothing_twice() {
    let mut world = World::new(&[("captions", 3)]);
    world.script = Box::new(|_, _| (2_000, RunOutcome::Done));
    let job = world.submit(1, "captions", vec![step(30)]);
    world.run(500);
    let begun = world.starts.len();
    world.take_over(2);
    world.run(1_000);
    assert_eq!(world.starts.len(), begun, "all ran already");
    world.run(3_000);
    assert_eq!(world.state("captions", job), JobState::Completed);
}

#[test]
fn a_new_owner_waits_for_an_executor_that_is_cut_off_until_its_leases_are_over() {
    let mut world = World::new(&[("captions", 2)]);
    world.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    world.submit(1, "captions", vec![step(20)]);
    world.run(500);
    let cut = world.fakes.keys().next().expect("an executor").clone();
    let there = world.fakes[&cut].works.len();
    assert!(there > 0);
    world.leader().cut.insert(cut.clone());
    world.take_over(2);
    world.run(3_000);
    assert_eq!(
        world.fakes[&cut].works.len(),
        there,
        "its leases are not over yet"
    );
    world.run(4_000);
    assert!(world.fakes[&cut].works.is_empty());
    let running: usize = world.fakes.values().map(|fake| fake.works.len()).sum();
    assert_eq!(running, 16, "as many as the other has room for");
}

#[test]
fn a_start_without_an_answer_is_settled_by_what_the_executor_tells() {
    let mut world = World::new(&[("captions", 2)]);
    world.lost = 10;
    let job = world.submit(1, "captions", vec![step(10)]);
    world.run(4_000);
    assert_eq!(world.state("captions", job), JobState::Completed);
    assert_eq!(world.starts.len(), 10);
}

#[test]
fn tasks_of_an_executor_that_died_run_elsewhere_once_its_leases_are_over() {
    let mut world = World::new(&[("captions", 2)]);
    world.script = Box::new(|_, _| (3_000, RunOutcome::Done));
    let job = world.submit(1, "captions", vec![step(12)]);
    world.run(500);
    let dead = world.starts[0].3.clone();
    let fake = world.fakes.get_mut(&dead).expect("a fake");
    fake.down = true;
    fake.works.clear();
    world.run(10_000);
    assert_eq!(world.state("captions", job), JobState::Completed);
}

#[test]
fn an_owner_gives_up_once_an_executor_has_seen_another() {
    let mut world = World::new(&[("captions", 1)]);
    world.submit(1, "captions", vec![step(4)]);
    world.run(300);
    for fake in world.fakes.values_mut() {
        fake.fence = 7;
    }
    world.submit(2, "captions", vec![step(4)]);
    world.run(2_000);
    assert!(world.abdicated());
}

/// The pattern: an owner dies while a whole rack of another service is dark.
#[test]
fn only_work_that_may_run_on_a_silent_executor_waits_for_its_leases() {
    let mut world = World::new(&[("captions", 2), ("plaques", 2)]);
    world.script = Box::new(|_, _| (1_000, RunOutcome::Done));
    world.submit(1, "plaques", vec![step(4)]);
    world.run(300);
    let dark = world.starts[0].3.clone();
    world.fakes.get_mut(&dark).expect("a fake").down = true;
    for number in 2..10 {
        world.submit(number, "captions", vec![step(10)]);
    }
    world.run(300);
    world.take_over(2);
    let fresh = world.submit(20, "plaques", vec![step(2)]);
    world.run(3_500);
    assert_eq!(world.state("plaques", fresh), JobState::Completed);
    let captions = world.done.iter().filter(|task| task.job != fresh);
    assert_eq!(captions.count(), 80);
}

/// The pattern: hosts that moved away shortly before an owner dies; the platform lists their
/// executors for seconds.
#[test]
fn a_new_owner_does_not_wait_for_executors_that_were_moved_away() {
    let mut world = World::new(&[("captions", 6), ("spare", 1)]);
    world.run(200);
    world.submit(1, "captions", vec![step(90)]);
    world.run(500);
    let moved = world.moves;
    assert!(moved > 0, "idle hosts rest");
    world.submit(2, "captions", vec![step(30)]);
    world.run(100);
    world.take_over(2);
    world.run(3_000);
    assert!(world.done.len() >= 110, "{} done", world.done.len());
}

/// The pattern: tasks on some executors stand still while their executor answers.
#[test]
fn a_run_without_progress_is_stopped_and_runs_elsewhere() {
    let mut world = World::new(&[("captions", 2)]);
    world.script = Box::new(|task, run| {
        let hangs = task.index == 0 && run % 1_000_000 == 1;
        (if hangs { 600_000 } else { 1_000 }, RunOutcome::Done)
    });
    let job = world.submit(1, "captions", vec![step(4)]);
    world.run(6_000);
    assert_eq!(world.state("captions", job), JobState::Completed);
}

/// The pattern: a job that outlives the log's retention.
#[test]
fn a_job_is_known_after_its_first_records_have_expired() {
    let mut world = World::new(&[("captions", 2)]);
    world.leader().dispatcher.set_retention(9_000);
    let job = world.submit(1, "captions", vec![step(2), long_running(1)]);
    world.run(8_000);
    let first = world
        .records
        .iter()
        .position(|record| matches!(record, Record::JobSnapshot(_)));
    world
        .records
        .drain(..first.expect("the job was written again"));
    world.take_over(2);
    world.run(2_000);
    assert_eq!(world.state("captions", job), JobState::Running);
    assert_eq!(world.starts.len(), 3, "nothing ran twice");
}

/// The pattern: a task fails while the store is away. Another owner may have been elected that
/// knows more of it, so it waits until this one is confirmed, and no longer.
#[test]
fn a_failed_task_runs_again_as_soon_as_its_owner_is_confirmed() {
    let mut world = World::new(&[("captions", 2)]);
    world.script = Box::new(|_, run| {
        let outcome = if run % 1_000_000 == 1 {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        (1_500, outcome)
    });
    world.submit(1, "captions", vec![step(1)]);
    world.run(200);
    world.leader().dark = true;
    world.run(3_000);
    assert_eq!(world.starts.len(), 1);
    world.light();
    world.run(60);
    assert_eq!(world.starts.len(), 2);
}

/// The pattern: the store is away for as long as it usually is. What runs goes on, and so does what
/// was accepted before.
#[test]
fn an_outage_of_five_seconds_ends_no_run() {
    let mut world = World::new(&[("captions", 4)]);
    world.script = Box::new(|_, _| (3_000, RunOutcome::Done));
    world.submit(1, "captions", vec![step(64), step(60)]);
    world.submit(2, "captions", vec![long_running(2)]);
    world.run(200);
    world.leader().dark = true;
    world.run(5_000);
    world.light();
    world.run(6_000);
    assert_eq!(world.done.len(), 124);
    assert_eq!(world.starts.len(), 126, "each task once");
}

/// The pattern: an owner is cut off for longer than its term. It holds nothing then that the next
/// owner could start elsewhere, and goes on if there is none.
#[test]
fn an_owner_that_is_not_confirmed_for_longer_than_its_term_holds_nothing() {
    let mut world = World::new(&[("captions", 4)]);
    world.script = Box::new(|_, _| (20_000, RunOutcome::Done));
    let job = world.submit(1, "captions", vec![step(40)]);
    world.run(200);
    world.leader().dark = true;
    world.run(6_200);
    let running: usize = world.fakes.values().map(|fake| fake.works.len()).sum();
    assert_eq!(running, 0);
    world.run(2_000);
    assert_eq!(world.starts.len(), 40, "nothing is started again");
    world.light();
    world.run(24_000);
    assert_eq!(world.state("captions", job), JobState::Completed);
}
