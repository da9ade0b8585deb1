//! Tests of jobs that wait because their team is at its limit, beside jobs of others.

use std::time::Instant;

use test_case::test_case;

use mimosastep::batch::JobId;

use crate::simulation::Simulation;
use crate::simulation::step;
use crate::simulation::team;

/// Number of hosts; each runs 16 tasks at a time.
const HOSTS: usize = 2;
/// Number of jobs that no longer meet their objective while the others arrive.
const LATE_JOBS: u64 = 400;
/// Number of jobs of others that can still meet their objective.
const TIMELY_JOBS: u64 = 20;

/// Time for which each play goes on, in milliseconds.
const PLAY_MS: u64 = 9_000;

/// Returns when the last of the jobs in time starts, in milliseconds after they were submitted. They
/// arrive while the hosts work on late jobs, and while `stuck` jobs of a team at its limit wait that
/// are in time as well.
fn longest_wait(stuck: u64) -> u64 {
    let mut sim = Simulation::new(&[("captions", HOSTS)]);
    sim.set_team("stopped", 0, 1);
    for number in 0..LATE_JOBS {
        sim.submit(number, "captions", vec![step(1)]);
    }
    sim.run(3_000);
    let stopped = team("stopped");
    for number in 1_000..1_000 + stuck {
        sim.submit_as(Some(stopped.clone()), number, "captions", vec![step(1)]);
    }
    sim.run(200);
    let submitted = sim.now.at;
    let timely = 2_000..2_000 + TIMELY_JOBS;
    let timely = timely.map(|number| sim.submit(number, "captions", vec![step(1)]));
    let timely: Vec<JobId> = timely.collect();
    sim.run(PLAY_MS);
    let waits = timely.iter().map(|&job| wait(&sim, job, submitted));
    waits.max().expect("no job")
}

/// Returns how long after `submitted` the first task of a job started, in milliseconds; the time of
/// the play if it didn't.
fn wait(sim: &Simulation, job: JobId, submitted: Instant) -> u64 {
    let first = sim.starts.iter().find(|start| start.1.job == job);
    first.map_or(PLAY_MS, |(at, ..)| {
        at.saturating_duration_since(submitted).as_millis() as u64
    })
}

/// Guards against late jobs that were served before those in time: jobs of a team at its limit
/// filled the front, and the jobs behind it were served in the order of the sweep.
#[test_case(40 ; "fewer than the front takes")]
#[test_case(100 ; "more than the front takes")]
#[test_case(300 ; "many more than the front takes")]
fn jobs_of_a_team_at_its_limit_hide_no_jobs_of_others(stuck: u64) {
    let alone = longest_wait(0);
    let beside = longest_wait(stuck);
    assert!(
        beside <= alone + 100,
        "the last of the jobs in time starts after {alone} ms, and after {beside} ms beside \
         {stuck} jobs of a team at its limit"
    );
}
