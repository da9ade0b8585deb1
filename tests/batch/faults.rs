//! Tests of owners and executors that crash or do not answer, and of lost answers.

use std::collections::BTreeSet;

use mimosastep::batch::JobId;
use mimosastep::batch::JobProgress;
use mimosastep::batch::JobState;
use mimosastep::batch::Record;
use mimosastep::batch::RunOutcome;

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::step;

#[test]
fn a_new_owner_keeps_what_runs_and_starts_nothing_twice() {
    let mut sim = Simulation::new(&[("captions", 3)]);
    sim.script = Box::new(|_, _| (2_000, RunOutcome::Done));
    let job = sim.submit(1, "captions", vec![step(30)]);
    sim.run(500);
    let started = sim.starts.len();
    sim.replace_owner(2);
    sim.run(1_000);
    assert_eq!(
        sim.starts.len(),
        started,
        "a running task was started again"
    );
    sim.run(3_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

#[test]
fn a_new_owner_waits_for_an_executor_that_is_cut_off_until_its_leases_are_over() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(20)]);
    sim.run(500);
    let unreachable = sim.fakes.keys().next().expect("no executors").clone();
    let runs_before = sim.fakes[&unreachable].runs.len();
    assert!(runs_before > 0);
    sim.owner().unreachable.insert(unreachable.clone());
    sim.replace_owner(2);
    sim.run(3_000);
    assert_eq!(
        sim.fakes[&unreachable].runs.len(),
        runs_before,
        "runs end only once their lease expires"
    );
    sim.run(4_000);
    assert!(sim.fakes[&unreachable].runs.is_empty());
    let running: usize = sim.fakes.values().map(|fake| fake.runs.len()).sum();
    assert_eq!(running, 16, "the reachable executor is full");
}

#[test]
fn a_start_without_an_answer_is_settled_by_what_the_executor_tells() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.lost_starts = 10;
    let job = sim.submit(1, "captions", vec![step(10)]);
    sim.run(4_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
    assert_eq!(sim.starts.len(), 10);
}

#[test]
fn tasks_of_an_executor_that_died_run_elsewhere_once_its_leases_are_over() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(|_, _| (3_000, RunOutcome::Done));
    let job = sim.submit(1, "captions", vec![step(12)]);
    sim.run(500);
    let dead = sim.starts[0].3.clone();
    let fake = sim.fakes.get_mut(&dead).expect("unknown executor");
    fake.down = true;
    fake.runs.clear();
    sim.run(10_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

#[test]
fn an_owner_gives_up_once_an_executor_has_seen_another() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    sim.submit(1, "captions", vec![step(4)]);
    sim.run(300);
    for fake in sim.fakes.values_mut() {
        // The token of the seventh term; this owner has the first one.
        fake.fence *= 7;
    }
    sim.submit(2, "captions", vec![step(4)]);
    sim.run(2_000);
    assert!(sim.has_stepped_down());
}

/// An owner crashes while a rack of another service does not answer.
#[test]
fn only_work_that_may_run_on_a_silent_executor_waits_for_its_leases() {
    let mut sim = Simulation::new(&[("captions", 2), ("plaques", 2)]);
    sim.script = Box::new(|_, _| (1_000, RunOutcome::Done));
    sim.submit(1, "plaques", vec![step(4)]);
    sim.run(300);
    let silent = sim.starts[0].3.clone();
    sim.fakes.get_mut(&silent).expect("unknown executor").down = true;
    for number in 2..10 {
        sim.submit(number, "captions", vec![step(10)]);
    }
    sim.run(300);
    sim.replace_owner(2);
    let fresh = sim.submit(20, "plaques", vec![step(2)]);
    sim.run(3_500);
    assert_eq!(sim.job_state("plaques", fresh), JobState::Completed);
    let captions = sim.done.iter().filter(|task| task.job != fresh);
    assert_eq!(captions.count(), 80);
}

/// Hosts move to another pool shortly before the owner crashes, and the platform keeps listing
/// their executors for seconds.
#[test]
fn a_new_owner_does_not_wait_for_executors_that_were_moved_away() {
    let mut sim = Simulation::new(&[("captions", 6), ("spare", 1)]);
    sim.run(200);
    sim.submit(1, "captions", vec![step(90)]);
    sim.run(500);
    let moved = sim.moves;
    assert!(moved > 0, "no idle host moved to the spare pool");
    sim.submit(2, "captions", vec![step(30)]);
    sim.run(100);
    sim.replace_owner(2);
    sim.run(3_000);
    assert!(
        sim.done.len() >= 110,
        "only {} tasks completed",
        sim.done.len()
    );
}

/// A task makes no progress although its executor answers.
#[test]
fn a_run_without_progress_is_stopped_and_runs_elsewhere() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(|task, run| {
        let hangs = task.index == 0 && run % 1_000_000 == 1;
        (if hangs { 600_000 } else { 1_000 }, RunOutcome::Done)
    });
    let job = sim.submit(1, "captions", vec![step(4)]);
    sim.run(6_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// A job runs for longer than the log keeps its first records.
#[test]
fn a_job_is_known_after_its_first_records_have_expired() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.owner().dispatcher.set_retention(9_000);
    let job = sim.submit(1, "captions", vec![step(2), long_running(1)]);
    sim.run(8_000);
    let first = sim
        .records
        .iter()
        .position(|record| matches!(record, Record::JobSnapshot(_)));
    sim.records
        .drain(..first.expect("no job snapshot was written"));
    sim.replace_owner(2);
    sim.run(2_000);
    assert_eq!(sim.job_state("captions", job), JobState::Running);
    assert_eq!(sim.starts.len(), 3, "a task was started again");
}

/// Guards against jobs that a later owner does not find, as their records expired: too few were
/// rewritten at a time, always those with the lowest ids.
#[test]
fn all_jobs_of_a_long_backlog_are_rewritten_before_their_records_expire() {
    const JOBS: u64 = 1_000;
    const RETENTION_MS: u64 = 30_000;
    let mut sim = Simulation::new(&[("captions", 1)]);
    sim.owner().dispatcher.set_retention(RETENTION_MS);
    sim.script = Box::new(|_, _| (3_600_000, RunOutcome::Done));
    for number in 0..JOBS {
        sim.submit(number, "captions", vec![step(16)]);
    }
    sim.run(RETENTION_MS);
    let from = sim.records.len();
    sim.run(RETENTION_MS);
    let snapshots = sim.records[from..]
        .iter()
        .filter_map(|record| match record {
            Record::JobSnapshot(snapshot) => Some(JobProgress::from((**snapshot).clone()).job.id),
            _ => None,
        });
    let rewritten: BTreeSet<JobId> = snapshots.collect();
    assert_eq!(rewritten.len() as u64, JOBS);
}

/// A task fails while the store is unreachable. Another owner may have been elected that has newer
/// information on it, so the retry waits until the election confirms this owner, and no longer.
#[test]
fn a_failed_task_runs_again_as_soon_as_its_owner_is_confirmed() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(|_, run| {
        let outcome = if run % 1_000_000 == 1 {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        (1_500, outcome)
    });
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(200);
    sim.owner().store_down = true;
    sim.run(3_000);
    assert_eq!(sim.starts.len(), 1);
    sim.restore_store();
    sim.run(60);
    assert_eq!(sim.starts.len(), 2);
}

/// The store is unreachable for five seconds, a typical outage. Running tasks continue, and so do
/// jobs that were accepted before.
#[test]
fn an_outage_of_five_seconds_ends_no_run() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.script = Box::new(|_, _| (3_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(64), step(60)]);
    sim.submit(2, "captions", vec![long_running(2)]);
    sim.run(200);
    sim.owner().store_down = true;
    sim.run(5_000);
    sim.restore_store();
    sim.run(6_000);
    assert_eq!(sim.done.len(), 124);
    assert_eq!(sim.starts.len(), 126, "a task was started more than once");
}

/// An owner reaches neither the store nor the election for longer than its term. All its leases
/// have expired by then, as the next owner could start the tasks elsewhere. If no other owner was
/// elected, it continues once the store is back.
#[test]
fn an_owner_that_is_not_confirmed_for_longer_than_its_term_holds_nothing() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.script = Box::new(|_, _| (20_000, RunOutcome::Done));
    let job = sim.submit(1, "captions", vec![step(40)]);
    sim.run(200);
    sim.owner().store_down = true;
    sim.run(6_200);
    let running: usize = sim.fakes.values().map(|fake| fake.runs.len()).sum();
    assert_eq!(running, 0);
    sim.run(2_000);
    assert_eq!(
        sim.starts.len(),
        40,
        "a task was started without a confirmed term"
    );
    sim.restore_store();
    sim.run(24_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// Guards against a job that uses up its attempts on one executor: an executor that fails all that
/// it starts is free again at once, and got the failed tasks back.
#[test]
fn a_task_that_failed_is_not_started_on_the_same_executor_while_others_have_capacity() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    let failing = sim.fakes.keys().next().expect("no executors").clone();
    sim.failing.insert(failing);
    let jobs = 0..20;
    for number in jobs.clone() {
        sim.submit(number, "captions", vec![step(3)]);
        sim.run(100);
    }
    sim.run(6_000);
    for number in jobs {
        let id = job_id(number);
        assert_eq!(
            sim.job_state("captions", id),
            JobState::Completed,
            "job {id}"
        );
    }
}
