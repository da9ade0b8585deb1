//! Jobs of any size: none takes the owner down, and all that is written of them fits in the log.

use std::sync::Arc;

use mimosastep::batch::BatchState;
use mimosastep::batch::Job;
use mimosastep::batch::JobError;
use mimosastep::batch::JobProgress;
use mimosastep::batch::Record;
use mimosastep::batch::Schedule;
use mimosastep::batch::Step;
use mimosastep::name::QueueName;
use test_case::test_case;

use crate::world::World;
use crate::world::id;
use crate::world::service;
use crate::world::step;

/// Odd factor that spreads small numbers over all ids.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Largest record of the users' store, in bytes.
const RECORD_BYTES: usize = 262_144;

fn job(number: u64, steps: Vec<Step>) -> Job {
    Job {
        id: id(number),
        queue: QueueName::new("captions").expect("a name"),
        service: service("captions"),
        team: None,
        spec: Arc::from("work"),
        steps,
        attempts: 3,
        schedule: None,
        accepted: 0,
    }
}

/// The pattern: a few bytes ask for millions of tasks, and each owner that reads them runs out of
/// memory.
#[test_case(1, 4_000, true; "as many as may be")]
#[test_case(1, 4_001, false; "one more")]
#[test_case(1_000, 10_000, false; "ten millions")]
fn a_job_has_a_bounded_number_of_tasks(steps: usize, count: u32, taken: bool) {
    let job = job(1, vec![step(count); steps]);
    let total = steps as u64 * u64::from(count);
    assert_eq!(
        job.check(),
        if taken {
            Ok(())
        } else {
            Err(JobError::Tasks(total))
        }
    );
}

/// The pattern: all occurrences of a job are due at once.
#[test]
fn occurrences_beyond_a_bounded_number_of_tasks_wait_for_earlier_ones() {
    let mut job = job(1, vec![step(40)]);
    job.schedule = Some(Schedule {
        count: 100_000,
        start: 0,
        interval: 0,
    });
    let mut entry = JobProgress::new(job);
    entry.open_due(1_000);
    assert_eq!(entry.occurrences.len(), 100);
    entry.occurrences.remove(&0);
    entry.open_due(1_000);
    assert_eq!(entry.opened, 101);
}

/// The pattern: an owner takes over while tens of thousands of jobs wait that nobody may start yet.
#[test]
fn what_an_owner_writes_of_many_jobs_fits_in_records() {
    let mut world = World::new(&[("captions", 1)]);
    for number in 0..40_000_u64 {
        world.records.push(Record::Accepted(job(
            number.wrapping_mul(SPREAD),
            vec![step(1)],
        )));
    }
    world.take_over(2);
    world.run(30);
    let claims = |record: &&Record| matches!(record, Record::Granted(_));
    assert!(world.records.iter().filter(claims).count() > 0);
    for record in &world.records {
        assert!(record.encode().expect("bytes").len() <= RECORD_BYTES);
    }
    let state = BatchState::fold(world.records.clone(), Vec::new());
    assert!(
        state
            .jobs
            .values()
            .all(|entry| !entry.partitions.is_empty())
    );
}
