//! Tests of job state as rebuilt from the records of the log.

use std::sync::Arc;

use mimosastep::batch::BatchState;
use mimosastep::batch::Job;
use mimosastep::batch::JobState;
use mimosastep::batch::Partitions;
use mimosastep::batch::Record;
use mimosastep::batch::RunEnd;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::batch::TaskId;
use mimosastep::name::NodeName;
use mimosastep::name::QueueName;
use test_case::test_case;

use crate::simulation::job_id;
use crate::simulation::service;
use crate::simulation::step;

fn job(number: u64) -> Job {
    Job {
        id: job_id(number),
        queue: QueueName::new("captions").expect("invalid name"),
        service: service("captions"),
        team: None,
        spec: Arc::from("work"),
        steps: vec![step(1)],
        attempts: 3,
        schedule: None,
        accepted: 0,
    }
}

fn end(run: u64, outcome: RunOutcome) -> RunEnd {
    RunEnd {
        number: run,
        task: TaskId {
            job: job_id(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run,
        outcome,
        saved: None,
    }
}

#[test_case(&[1, 2, 3]; "in order")]
#[test_case(&[3, 2, 1]; "in reverse")]
#[test_case(&[2, 3, 1]; "first last, as executors list them to a new owner")]
fn failed_runs_count_in_any_order(runs: &[u64]) {
    let mut state = BatchState::default();
    state.apply(Record::Accepted(job(1)));
    for &run in runs {
        assert_ne!(state.jobs[&job_id(1)].state(), JobState::Failed);
        state.apply(Record::Ended(vec![end(run, RunOutcome::Failed)]));
    }
    assert_eq!(state.jobs[&job_id(1)].state(), JobState::Failed);
}

#[test]
fn an_end_counts_once_however_often_it_is_recorded() {
    let mut state = BatchState::default();
    state.apply(Record::Accepted(job(1)));
    for _ in 0..5 {
        state.apply(Record::Ended(vec![end(1, RunOutcome::Failed)]));
    }
    assert_eq!(state.jobs[&job_id(1)].state(), JobState::Running);
}

#[test]
fn a_repeated_job_is_one_job() {
    let mut state = BatchState::default();
    assert_eq!(state.apply(Record::Accepted(job(1))), Some(job_id(1)));
    state.apply(Record::Ended(vec![end(1, RunOutcome::Done)]));
    assert_eq!(state.apply(Record::Accepted(job(1))), None);
    assert_eq!(state.jobs[&job_id(1)].state(), JobState::Completed);
}

#[test]
fn a_cancelled_job_is_not_completed_by_a_late_end() {
    let mut state = BatchState::default();
    state.apply(Record::Accepted(job(1)));
    state.apply(Record::Cancelled(job_id(1)));
    state.apply(Record::Ended(vec![end(1, RunOutcome::Done)]));
    assert_eq!(state.jobs[&job_id(1)].state(), JobState::Cancelled);
}

#[test]
fn a_completed_job_cannot_be_cancelled() {
    let mut state = BatchState::default();
    state.apply(Record::Accepted(job(1)));
    state.apply(Record::Ended(vec![end(1, RunOutcome::Done)]));
    state.apply(Record::Cancelled(job_id(1)));
    assert_eq!(state.jobs[&job_id(1)].state(), JobState::Completed);
}

/// A gate that can't reach the owner appends to a separate stream, so that the order of records
/// across the two streams is unknown.
#[test]
fn records_of_gates_and_owners_fold_to_the_same_in_any_order_of_the_streams() {
    let ended = Record::Ended(vec![end(5, RunOutcome::Done)]);
    let by_gate = BatchState::fold(
        vec![Record::Claimed(vec![job_id(1)]), ended.clone()],
        vec![
            Record::Accepted(job(1)),
            Record::Accepted(job(2)),
            Record::Cancelled(job_id(2)),
        ],
    );
    assert_eq!(by_gate.jobs[&job_id(1)].partitions, Partitions::ALL);
    assert_eq!(by_gate.jobs[&job_id(2)].state(), JobState::Cancelled);
    let by_owner = BatchState::fold(
        vec![
            Record::Accepted(job(1)),
            Record::Cancelled(job_id(2)),
            ended,
        ],
        vec![Record::Accepted(job(2)), Record::Accepted(job(1))],
    );
    assert_eq!(
        by_owner.jobs[&job_id(1)].state(),
        by_gate.jobs[&job_id(1)].state()
    );
    assert_eq!(by_owner.jobs[&job_id(2)].state(), JobState::Cancelled);
}

/// A cancellation in the stream of the owner can be read before its job in the stream of the gates.
#[test]
fn a_job_that_is_read_after_its_cancellation_never_runs() {
    let mut state = BatchState::default();
    assert_eq!(state.apply(Record::Cancelled(job_id(1))), None);
    state.apply(Record::Accepted(job(1)));
    assert_eq!(state.jobs[&job_id(1)].state(), JobState::Cancelled);
    assert!(!state.jobs[&job_id(1)].is_active());
}

/// An earlier owner keeps running after the next one is elected. On executors where it is not yet
/// fenced it can start any task of the job, so the runs that are known do not show what is not
/// running.
#[test]
fn a_job_may_run_unseen_wherever_an_earlier_owner_was_allowed_to_start_it() {
    let node = NodeName::new("node-1").expect("invalid name");
    let term = |fence| Record::TermStarted {
        fence,
        node: node.clone(),
    };
    let home = Partitions::home(job_id(1));
    let other = Partitions::home(job_id(2));
    assert_ne!(home, other);
    let after = Step {
        after: vec![0],
        ..step(1)
    };
    let accepted = Job {
        steps: vec![step(1), after],
        ..job(1)
    };
    let granted = |partitions| Record::Granted(vec![(job_id(1), partitions)]);
    let records = vec![
        term(1),
        Record::Accepted(accepted),
        granted(home),
        term(2),
        granted(other),
    ];
    let state = BatchState::fold(records, Vec::new());
    let entry = &state.jobs[&job_id(1)];
    assert!(entry.may_run_unseen(home));
    assert!(!entry.may_run_unseen(other), "granted by this owner");
}
