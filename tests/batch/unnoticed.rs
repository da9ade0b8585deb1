//! Tests of executors that restart under the same id: the owner must not use on the new process what
//! it learned from the earlier one.

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::ExecutorId;
use test_case::test_case;

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::step;

/// Number of tasks whose ends an executor has reported before it restarts.
const EARLIER_TASKS: u32 = 12;

/// A site on which one executor has just reported the ends of some tasks, which are acknowledged, and
/// all executors then restart without being listed.
fn site_after_restart() -> Simulation {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(|_, _| (400, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(EARLIER_TASKS)]);
    sim.run(2_000);
    sim.submit(2, "captions", vec![step(1)]);
    sim.run(450);
    assert_eq!(sim.done.len() as u32, EARLIER_TASKS + 1);
    sim.restart_unlisted();
    sim
}

/// An idle site with two executors that grant leases of at most `limit` milliseconds, of which the first
/// one alone gets work; returns their ids.
fn site_with_leases(limit: u64) -> (Simulation, Vec<ExecutorId>) {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.set_lease_limit(limit);
    let ids: Vec<ExecutorId> = sim.fakes.keys().cloned().collect();
    for fake in sim.fakes.values_mut() {
        fake.lease_limit = limit;
    }
    sim.draining.insert(ids[1].clone());
    sim.run(8_000);
    (sim, ids)
}

/// Runs until the next start; returns its executor.
fn run_until_start(sim: &mut Simulation) -> ExecutorId {
    let before = sim.starts.len();
    for _ in 0..1_000 {
        sim.run(5);
        if sim.starts.len() > before {
            return sim.starts[before].3.clone();
        }
    }
    panic!("no start in 5 s");
}

/// Guards against a task that is done twice: its end was forgotten before it was reported, because a
/// heartbeat acknowledged as many ends as the executor's earlier process had reported.
#[test]
fn an_end_that_was_not_reported_is_not_acknowledged_by_a_number_of_an_earlier_process() {
    let mut sim = site_after_restart();
    sim.lost_starts = 1;
    sim.script = Box::new(|_, _| (700, RunOutcome::Done));
    sim.submit(3, "captions", vec![step(1)]);
    let unreachable = run_until_start(&mut sim);
    sim.owner().unreachable.insert(unreachable);
    sim.run(3_000);
    sim.owner().unreachable.clear();
    // The simulation checks that no task starts again after it is done.
    sim.run(4_000);
    assert_eq!(sim.job_state("captions", job_id(3)), JobState::Completed);
}

/// Guards against an end that is acknowledged before it is in the log: an append with an end of the
/// same number of the executor's earlier process was taken for its own.
#[test]
fn an_append_acknowledges_no_end_of_a_later_process() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    sim.set_lease_limit(6_000);
    // The second task of the second step goes on, so that the executor gets heartbeats.
    sim.script = Box::new(|task, _| {
        let ms = if task.step == 0 { 100 } else { 300 };
        (ms + u64::from(task.index) * 5_000, RunOutcome::Done)
    });
    let second = Step {
        after: vec![0],
        ..step(2)
    };
    sim.submit(1, "captions", vec![step(1), second]);
    let executor = run_until_start(&mut sim);
    sim.owner().append_ms = 4_000;
    // The owner has received the first end; its append takes 4 s.
    sim.run(300);
    sim.restart_executor(&executor, 1);
    // The next process gets work only once its leases can't be long.
    sim.run(2_400);
    let reported = &sim.fakes[&executor].unacked_ends;
    assert_eq!(
        reported.len(),
        1,
        "the next process has an end of the same number"
    );
    // The first append has ended, the one with the later end has not.
    sim.run(2_000);
    assert_eq!(sim.fakes[&executor].unacked_ends.len(), 1);
    sim.run(12_000);
    assert_eq!(sim.job_state("captions", job_id(1)), JobState::Completed);
}

/// Guards against a task that runs twice: an order to start it got no answer and arrived after its
/// executor had restarted, while the task ran elsewhere; also where it had been settled before with the
/// executor's earlier process.
#[test_case(100; "unsettled")]
#[test_case(2_000; "settled")]
fn a_start_that_arrives_after_a_restart_does_not_run_beside_another(restart_after: u64) {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.run(8_000);
    sim.script = Box::new(|_, _| (8_000, RunOutcome::Done));
    sim.late_starts = Some(5_000);
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(50);
    sim.late_starts = None;
    let restarted = sim.late_target().expect("no start");
    sim.draining.insert(restarted.clone());
    sim.run(restart_after);
    sim.restart_executor(&restarted, 1);
    // The simulation checks that no task runs on two executors.
    sim.run(12_000);
    assert_eq!(sim.job_state("captions", job_id(1)), JobState::Completed);
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against a lease that is reckoned from an earlier process's clock: its answer arrived after the
/// list had shown the restart.
#[test]
fn a_late_answer_of_an_earlier_process_sets_no_clock() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let ids: Vec<ExecutorId> = sim.fakes.keys().cloned().collect();
    // The other executor gets work only once this one is silent.
    sim.draining.insert(ids[1].clone());
    sim.run(8_000);
    sim.script = Box::new(|_, _| (14_000, RunOutcome::Done));
    sim.owner().answer_ms = 600;
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(20);
    sim.owner().answer_ms = 20_000;
    sim.restart_executor(&ids[0], 1);
    sim.lost_starts = 1;
    sim.run(700);
    sim.owner().answer_ms = 5;
    sim.owner().unreachable.insert(ids[0].clone());
    sim.draining.clear();
    sim.run(9_000);
    sim.owner().unreachable.clear();
    sim.run(20_000);
    assert_eq!(sim.job_state("captions", job_id(1)), JobState::Completed);
}

/// Guards against two runs of one task: an order to start another one waited to be sent while its
/// executor restarted, and its deadline on the earlier process's clock made the lease longer than the
/// owner knew.
#[test_case(6_000, false; "leases of 6 s")]
#[test_case(10_000, false; "leases of 10 s")]
#[test_case(6_000, true; "leases of 6 s, owner lost")]
#[test_case(10_000, true; "leases of 10 s, owner lost")]
fn a_start_that_was_sent_after_a_restart_makes_no_task_run_twice(limit: u64, owner_lost: bool) {
    let (mut sim, ids) = site_with_leases(limit);
    sim.script = Box::new(|_, _| (20_000, RunOutcome::Done));
    sim.queued_starts = Some(700);
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(50);
    assert_eq!(sim.late_target().as_ref(), Some(&ids[0]));
    sim.queued_starts = None;
    sim.restart_executor(&ids[0], 1);
    sim.run(400);
    sim.submit(2, "captions", vec![step(1)]);
    sim.run(700);
    sim.draining.clear();
    sim.owner().unreachable.insert(ids[0].clone());
    if owner_lost {
        sim.replace_owner(2);
    }
    // The simulation checks that no task runs on two executors.
    sim.run(limit + 6_000);
    sim.owner().unreachable.clear();
    sim.run(24_000);
    assert_eq!(sim.job_state("captions", job_id(1)), JobState::Completed);
    assert_eq!(sim.job_state("captions", job_id(2)), JobState::Completed);
}

/// Guards against two runs of one task: an executor that had restarted took an order to start it, which
/// was forgotten when the restart was noticed.
#[test]
fn a_task_that_a_restarted_executor_has_taken_does_not_start_elsewhere() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let ids: Vec<ExecutorId> = sim.fakes.keys().cloned().collect();
    sim.run(8_000);
    sim.script = Box::new(|_, _| (4_000, RunOutcome::Done));
    // Both have work, so that neither has to be asked whether it lives; the first one has more.
    for (number, other, tasks) in [(1, 1, 4), (2, 0, 1)] {
        sim.draining = [ids[other].clone()].into();
        sim.run(205);
        sim.submit(number, "captions", vec![step(tasks)]);
        sim.run(20);
    }
    sim.draining.clear();
    sim.run(205);
    sim.restart_executor(&ids[0], 1);
    sim.submit(3, "captions", vec![step(1)]);
    assert_eq!(run_until_start(&mut sim), ids[0]);
    // Time for several placements between the answer that shows the restart and the next report.
    sim.owner().answer_ms = 40;
    // The simulation checks that no task runs on two executors.
    sim.run(16_000);
    for number in 1..=3 {
        assert_eq!(
            sim.job_state("captions", job_id(number)),
            JobState::Completed
        );
    }
}

/// Guards against two runs of one task: an executor that had restarted took an order to its earlier
/// process, with a lease that outlasted what the next owner waits.
#[test]
fn a_run_with_a_longer_lease_than_the_next_owner_waits_is_not_kept() {
    let (mut sim, ids) = site_with_leases(10_000);
    sim.script = Box::new(|_, _| (14_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(205);
    sim.restart_executor(&ids[0], 1);
    sim.submit(2, "captions", vec![step(1)]);
    assert_eq!(run_until_start(&mut sim), ids[0]);
    sim.run(1_200);
    sim.owner().unreachable.insert(ids[0].clone());
    sim.draining.clear();
    sim.replace_owner(2);
    // The simulation checks that no task runs on two executors.
    sim.run(12_000);
    sim.owner().unreachable.clear();
    sim.run(20_000);
    assert_eq!(sim.job_state("captions", job_id(2)), JobState::Completed);
}

/// Guards against a late order that is forgotten with the first of two restarts: the task that it starts
/// on the third process was started elsewhere as well.
#[test]
fn a_start_that_arrives_after_two_restarts_does_not_run_beside_another() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let ids: Vec<ExecutorId> = sim.fakes.keys().cloned().collect();
    sim.run(8_000);
    sim.script = Box::new(|_, _| (8_000, RunOutcome::Done));
    // The other executor has work, so that it needn't be asked whether it lives.
    sim.draining = [ids[0].clone()].into();
    sim.run(205);
    sim.submit(2, "captions", vec![step(1)]);
    sim.run(20);
    sim.draining = [ids[1].clone()].into();
    sim.run(205);
    sim.late_starts = Some(5_000);
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(50);
    sim.late_starts = None;
    sim.draining.insert(ids[0].clone());
    sim.restart_executor(&ids[0], 1);
    sim.run(4_900);
    sim.lists_paused = true;
    sim.restart_executor(&ids[0], 1);
    sim.run(300);
    sim.lists_paused = false;
    sim.draining.clear();
    sim.owner().answer_ms = 40;
    // The simulation checks that no task runs on two executors.
    sim.run(20_000);
    assert_eq!(sim.job_state("captions", job_id(1)), JobState::Completed);
}
