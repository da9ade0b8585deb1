//! Tests that the owner doesn't visit jobs for which nothing has changed.

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Schedule;

use crate::simulation::Simulation;
use crate::simulation::step;
use crate::simulation::team;

/// Guards against records of operators that made the owner rank all jobs anew, whatever they said.
#[test]
fn directives_that_change_no_queue_rank_no_job() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    for number in 0..4_000 {
        sim.submit(number, "captions", vec![step(8)]);
    }
    sim.run(1_000);
    let before = sim.owner().dispatcher.effort();
    for round in 0..10 {
        sim.write_directives(|_| {});
        sim.set_team("fitters", 1, 1_000 + round);
        sim.run(100);
    }
    let ranked = sim.owner().dispatcher.effort().since(&before).ranked;
    // In this second, each job becomes late and is ranked once for that.
    assert!(ranked < 5_000, "{ranked} jobs ranked in a second");
}

/// Jobs whose occurrences are all due and wait for earlier ones, with 2 hosts for them.
fn scheduled_jobs(jobs: u64) -> Simulation {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let schedule = Schedule {
        count: 1_000,
        start: sim.now.unix,
        interval: 100,
    };
    for number in 0..jobs {
        sim.submit_scheduled(number, "captions", vec![step(1_500)], schedule);
    }
    sim.run(2_000);
    sim
}

/// Guards against checks of jobs at their limit on tasks, all of them every 20 ms.
#[test]
fn jobs_whose_occurrences_wait_for_others_are_not_visited() {
    let mut sim = scheduled_jobs(100);
    let before = sim.owner().dispatcher.effort();
    sim.run(1_000);
    let effort = sim.owner().dispatcher.effort().since(&before);
    assert!(effort.starts > 0, "no starts");
    assert!(
        effort.ranked < 10 * effort.starts,
        "{} jobs visited for {} starts",
        effort.ranked,
        effort.starts
    );
}

/// Each occurrence starts when an earlier one has ended, also under an owner that takes over.
#[test]
fn occurrences_that_wait_for_others_all_run() {
    let mut sim = Simulation::new(&[("captions", 40)]);
    sim.script = Box::new(|_, _| (20, RunOutcome::Done));
    let schedule = Schedule {
        count: 5,
        start: 0,
        interval: 1,
    };
    let job = sim.submit_scheduled(1, "captions", vec![step(1_500)], schedule);
    sim.run(500);
    sim.replace_owner(2);
    sim.run(20_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// Guards against jobs that stay among those of teams without a limit after theirs was set, or the
/// other way round: at the end, the backlog is compared with one that is computed anew.
#[test]
fn jobs_of_a_team_are_found_again_after_its_limit_was_set_and_lifted() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    let fitters = team("fitters");
    for number in 0..40 {
        sim.submit_as(Some(fitters.clone()), number, "captions", vec![step(16)]);
    }
    sim.run(500);
    for limit in [1_000, 0] {
        sim.set_team("fitters", 1, limit);
        sim.run(500);
    }
}
