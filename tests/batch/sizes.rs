//! Tests that large jobs do not exhaust an owner and that their records fit in the log.

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

use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::service;
use crate::simulation::step;

/// Odd factor that spreads small numbers over the 64-bit id space.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Largest record that the store accepts, in bytes.
const RECORD_BYTES: usize = 262_144;

fn job(number: u64, steps: Vec<Step>) -> Job {
    Job {
        id: job_id(number),
        queue: QueueName::new("captions").expect("invalid name"),
        service: service("captions"),
        team: None,
        spec: Arc::from("work"),
        steps,
        attempts: 3,
        schedule: None,
        accepted: 0,
    }
}

/// A request of a few bytes can ask for millions of tasks. Without a bound, each owner that reads
/// such a job from the log runs out of memory.
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

/// All occurrences of a job are due at once.
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

/// An owner takes over while tens of thousands of jobs are waiting without granted partitions.
#[test]
fn what_an_owner_writes_of_many_jobs_fits_in_records() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    for number in 0..40_000_u64 {
        sim.records.push(Record::Accepted(job(
            number.wrapping_mul(SPREAD),
            vec![step(1)],
        )));
    }
    sim.replace_owner(2);
    sim.run(30);
    let grants = |record: &&Record| matches!(record, Record::Granted(_));
    assert!(sim.records.iter().filter(grants).count() > 0);
    for record in &sim.records {
        assert!(record.encode().expect("record cannot be encoded").len() <= RECORD_BYTES);
    }
    let state = BatchState::fold(sim.records.clone(), Vec::new());
    assert!(
        state
            .jobs
            .values()
            .all(|entry| !entry.partitions.is_empty())
    );
}
