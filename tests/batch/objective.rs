//! Tests of the objectives of jobs and of their size classes.

use std::sync::Arc;

use mimosastep::batch::Job;
use mimosastep::batch::Lateness;
use mimosastep::batch::Objective;
use mimosastep::batch::Schedule;
use mimosastep::batch::SizeClass;
use mimosastep::batch::Step;
use mimosastep::name::QueueName;
use test_case::test_case;

use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::service;
use crate::simulation::step;

/// Objective of a job of one step of one second in no known queue, in milliseconds.
const OBJECTIVE_MS: u64 = 3_000;
const ACCEPTED: u64 = 5_000;

fn job(step: Step, schedule: Option<Schedule>) -> Job {
    Job {
        id: job_id(1),
        queue: QueueName::new("captions").expect("invalid name"),
        service: service("captions"),
        team: None,
        spec: Arc::from("work"),
        steps: vec![step],
        attempts: 3,
        schedule,
        accepted: ACCEPTED,
    }
}

#[test_case(OBJECTIVE_MS, Lateness::InTime; "at its objective")]
#[test_case(OBJECTIVE_MS + 1, Lateness::Late; "just after its objective")]
#[test_case(3 * OBJECTIVE_MS, Lateness::Late; "at three times its objective")]
#[test_case(3 * OBJECTIVE_MS + 1, Lateness::TooLate; "beyond that")]
fn lateness_follows_the_objective(took: u64, expected: Lateness) {
    let objective = Objective::of(&job(step(1), None), None);
    assert_eq!(objective.deadline(), Some(ACCEPTED + OBJECTIVE_MS));
    assert_eq!(objective.lateness(ACCEPTED + took), expected);
}

#[test]
fn jobs_without_an_end_of_their_own_are_never_late() {
    let schedule = Schedule {
        count: 2,
        start: 0,
        interval: 1_000,
    };
    for job in [job(long_running(1), None), job(step(1), Some(schedule))] {
        let objective = Objective::of(&job, None);
        assert_eq!(objective.deadline(), None);
        assert_eq!(objective.lateness(u64::MAX), Lateness::InTime);
    }
}

/// Guards against an overflow: an estimate is whatever the client sends.
#[test]
fn the_largest_estimate_overflows_nothing() {
    let mut endless = step(u32::MAX);
    endless.estimate = u64::MAX;
    endless.demand.cpu = u64::MAX;
    let job = job(endless, None);
    let objective = Objective::of(&job, None);
    assert_eq!(objective.lateness(u64::MAX - 1), Lateness::InTime);
    assert_eq!(SizeClass::of(job.work()).label(), "more");
}

#[test_case(0, "1")]
#[test_case(1_000, "1")]
#[test_case(1_001, "4")]
#[test_case(256_000, "256")]
#[test_case(256_001, "more")]
fn a_size_class_is_named_after_its_most_core_seconds(work: u64, label: &str) {
    assert_eq!(SizeClass::of(work).label(), label);
}
