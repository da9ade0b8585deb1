//! Tests that what a start costs doesn't depend on how many jobs wait, and that every job gets its
//! turn all the same.

use std::sync::Arc;

use test_case::test_case;

use mimosastep::batch::JobId;
use mimosastep::batch::JobState;
use mimosastep::batch::OwnerRequest;
use mimosastep::batch::OwnerResponse;
use mimosastep::batch::Resources;
use mimosastep::batch::Step;
use mimosastep::name::QueueName;

use crate::simulation::HOST_CPU;
use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::step;
use crate::simulation::team;

const HOSTS: usize = 20;

/// Returns the number of jobs that the owner visits for each start, of `jobs` jobs that were handed
/// in at once, after `stuck` jobs of a team at its limit. The hosts have room for 40 of them.
fn visits_per_start(jobs: u64, stuck: u64) -> f64 {
    let mut sim = Simulation::new(&[("captions", HOSTS)]);
    sim.set_team("stopped", 0, 1);
    for number in 0..stuck {
        let stopped = Some(team("stopped"));
        sim.submit_as(stopped, 10_000 + number, "captions", vec![step(1)]);
    }
    for number in 0..jobs {
        sim.submit(number, "captions", vec![step(8)]);
    }
    sim.run(2_500);
    let before = sim.owner().dispatcher.effort();
    sim.run(3_000);
    let effort = sim.owner().dispatcher.effort().since(&before);
    assert!(effort.starts > 900, "only {} starts", effort.starts);
    (effort.ranked + effort.candidates) as f64 / effort.starts as f64
}

/// Guards against an owner that fell behind and never caught up: each placement, each balance of pools and each
/// check for due occurrences visited all jobs that waited.
#[test]
fn a_start_costs_no_more_with_4000_jobs_waiting_than_with_250() {
    let few = visits_per_start(250, 0);
    let many = visits_per_start(4_000, 0);
    assert!(
        many <= few * 1.1,
        "{few:.1} jobs visited a start with 250 jobs, {many:.1} with 4,000"
    );
}

/// Guards against placements that went through the jobs of a team at its limit one by one.
#[test_case(250 ; "few")]
#[test_case(4_000 ; "many")]
fn a_start_costs_no_more_beside_jobs_of_a_team_at_its_limit(stuck: u64) {
    let alone = visits_per_start(250, 0);
    let beside = visits_per_start(250, stuck);
    assert!(
        beside <= alone * 1.1,
        "{alone:.1} jobs visited a start with 250 jobs, {beside:.1} beside {stuck} of a team at \
         its limit"
    );
}

/// A task that needs more than any host has.
fn huge() -> Step {
    Step {
        demand: Resources {
            cpu: HOST_CPU + 1,
            ..step(1).demand
        },
        ..step(1)
    }
}

/// A task that needs a label that no host has.
fn labelled() -> Step {
    Step {
        label: Some(Arc::from("no-such-kind")),
        ..step(1)
    }
}

/// Guards against a bounded look that never comes to the jobs behind those that can't start.
#[test_case(huge(), None ; "more than any host has")]
#[test_case(labelled(), None ; "a label that no host has")]
#[test_case(step(1), Some("stopped") ; "of a team at its limit")]
fn a_job_behind_many_that_cant_start_is_served(stuck: Step, of_team: Option<&str>) {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.set_team("stopped", 0, 1);
    for number in 0..500 {
        sim.submit_as(of_team.map(team), number, "captions", vec![stuck.clone()]);
    }
    // It comes last in both orders: it has the most work left, and is drawn late.
    let last = (1_000..2_000).max_by_key(|&number| job_id(number).draw());
    let last = sim.submit(last.expect("a number"), "captions", vec![step(20)]);
    sim.run(3_000);
    assert_eq!(state(&sim, last), JobState::Completed);
}

/// Returns the number of placements in two seconds in which nothing changes, with `jobs` jobs that
/// can't start.
fn placements(jobs: u64) -> u64 {
    let mut sim = Simulation::new(&[("captions", HOSTS)]);
    for number in 0..jobs {
        sim.submit(number, "captions", vec![labelled()]);
    }
    sim.run(3_000);
    let before = sim.owner().dispatcher.effort();
    sim.run(2_000);
    sim.owner().dispatcher.effort().since(&before).placements
}

/// Guards against placements without end: with as many stuck jobs as a placement examines at the
/// front, the sweep behind it had nothing to examine and never counted as complete.
#[test_case(63 ; "fewer than the front takes")]
#[test_case(64 ; "as many as the front takes")]
#[test_case(65 ; "one more than the front takes")]
#[test_case(96 ; "as many as one placement examines")]
#[test_case(97 ; "one more than one placement examines")]
#[test_case(200 ; "many")]
fn jobs_that_cant_start_cause_no_placements_without_end(jobs: u64) {
    let few = placements(1);
    let found = placements(jobs);
    // A placement examines 64 of them, and 32 of the others.
    let most = few * jobs.saturating_sub(64).div_ceil(32).max(1);
    assert!(
        found <= most,
        "{found} placements with {jobs} jobs, {few} with one; at most {most} are of use"
    );
}

fn state(sim: &Simulation, job: JobId) -> JobState {
    sim.job_state("captions", job)
}

/// Guards against a service whose sweep behind its front began anew at each placement that the limit
/// on unanswered starts cut short: jobs further back were never examined.
#[test]
fn a_job_behind_many_that_cant_start_is_served_beside_a_service_without_answers() {
    let mut sim = Simulation::new(&[("captions", HOSTS), ("tags", 2)]);
    sim.lost_starts = usize::MAX;
    for number in 0..400 {
        sim.submit(number, "captions", vec![step(100)]);
    }
    sim.run(100);
    for number in 1_000..1_300 {
        sim.submit(number, "tags", vec![labelled()]);
    }
    let last = sim.submit(2_000, "tags", vec![step(4)]);
    sim.run(8_000);
    let first = sim.starts.iter().find(|start| start.1.job == last);
    assert!(first.is_some(), "no task of the last job was started");
}

/// Guards against a new owner that told clients that no jobs wait: it counted them only with its
/// first poll.
#[test]
fn a_new_owner_tells_at_once_how_many_jobs_wait() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    for number in 0..40 {
        sim.submit(number, "captions", vec![step(4)]);
    }
    sim.run(500);
    sim.replace_owner(2);
    // It does not know yet that four of them have started.
    assert_eq!(waiting(&mut sim), 40);
}

/// Returns how many jobs are told to wait.
fn waiting(sim: &mut Simulation) -> u64 {
    let queue = QueueName::new("captions").expect("invalid name");
    match sim.owner().dispatcher.answer(&OwnerRequest::Waiting(queue)) {
        OwnerResponse::Waiting(count) => count,
        answer => panic!("expected a count, got {answer:?}"),
    }
}
